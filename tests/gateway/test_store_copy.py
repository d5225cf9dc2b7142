"""Tests of the copy of the store."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from burdockrun_base import Application, ManualClock
from burdockrun_gateway import Item, Listing, StoreFault
from burdockrun_gateway.const import (
    COPY_SOURCE_RETRY_MS,
    MAX_COPY_AGE_MS,
    OLD_COPY_RETRY_MS,
    STORE_RETRY_MS,
)
from burdockrun_gateway.peer_selector import PeerSelector
from burdockrun_gateway.store_copy import StoreCopy
from burdockrun_groups import NodeEntry
from result import Err, Ok, Result

Reply = Result[Listing, StoreFault]


class ScriptedStore:
    """Store that returns scripted answers, then does not answer."""

    def __init__(self, replies: list[tuple[str, Reply]]) -> None:
        self.replies = replies
        self.finished = asyncio.Event()

    async def async_list(self, prefix: str, *, on_progress: Callable[[], None]) -> Reply:
        """Return the next answer, which the script must have for a listing."""
        return await self._async_next("list")

    async def async_watch(
        self, prefix: str, after: int, wait_ms: int, *, on_progress: Callable[[], None]
    ) -> Reply:
        """Return the next answer, which the script must have for a watch."""
        return await self._async_next("watch")

    async def _async_next(self, kind: str) -> Reply:
        if not self.replies:
            self.finished.set()
            await asyncio.sleep(60)
        expected, reply = self.replies.pop(0)
        assert kind == expected
        return reply


class ScriptedCopies:
    """Copies of other nodes, with scripted answers."""

    def __init__(self, replies: list[Reply]) -> None:
        self.replies = replies
        self.requests: list[tuple[str, int]] = []
        self.eras: list[int] = []

    async def async_fetch_changes(
        self, peer: NodeEntry, after: int, era: int, timeout_ms: int
    ) -> Reply:
        """Return the next copy."""
        self.requests.append((peer.node, after))
        self.eras.append(era)
        return self.replies.pop(0) if self.replies else Err(StoreFault.UNREACHABLE)


def item(key: str, revision: int, value: bytes | None = b"v") -> Item:
    """Return an item."""
    return Item(key=key, revision=revision, value=value)


def listing(as_of: int, *items: Item, era: int = 0) -> Ok[Listing]:
    """Return a listing."""
    return Ok(Listing(items=items, as_of=as_of, era=era))


async def async_follow(
    replies: list[tuple[str, Reply]],
    *,
    written: Item | None = None,
    peer_copies: ScriptedCopies | None = None,
    substitutes: tuple[str, ...] = (),
) -> tuple[StoreCopy, list[list[str]], int]:
    """Return the store copy after the script, the keys of each change, and the confirmations.

    The node itself writes `written` after the first change.
    """
    store = ScriptedStore(replies)
    changes: list[list[str]] = []
    confirmed: list[int] = []

    def handle_change(items: list[Item]) -> None:
        changes.append([one.key for one in items])
        if written is not None and len(changes) == 1:
            store_copy.note_written(written, store_copy.era)

    store_copy = StoreCopy(
        Application(),
        store,  # type: ignore[arg-type]
        peer_copies=peer_copies or ScriptedCopies([]),
        rng=Random(1),
        on_change=handle_change,
        on_confirmed=confirmed.append,
    )
    if substitutes:
        store_copy.substitutes.entries = tuple(
            NodeEntry(node=node, domain="nbg") for node in substitutes
        )
    elif peer_copies is not None:
        store_copy.copy_sources.entries = (NodeEntry(node="n2", domain="nbg"),)
    task = asyncio.create_task(store_copy.async_run())
    async with asyncio.timeout(5.0):
        while not store.finished.is_set():
            store_copy.poll_now()
            await asyncio.sleep(0.01)
    task.cancel()
    return store_copy, changes, len(confirmed)


async def test_a_new_listing_replaces_dropped_history() -> None:
    """Guards against keys that stay known because their removal is no longer in the history."""
    store_copy, changes, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3), item("p/b", 4))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/b", 8))),
        ]
    )
    assert sorted(store_copy.items) == ["p/b"]
    assert changes == [["p/a", "p/b"], ["p/a", "p/b"]]


async def test_a_poll_without_an_answer_confirms_nothing() -> None:
    """Guards against a primary lease that rests on a poll that failed."""
    _, _, confirmed = await async_follow(
        [
            ("list", listing(5)),
            ("watch", Err(StoreFault.UNREACHABLE)),
            ("watch", listing(6, item("p/a", 6))),
        ]
    )
    assert confirmed == 2


async def test_a_removed_key_is_dropped() -> None:
    """Guards against members that stay known after they have stopped."""
    store_copy, _, _ = await async_follow(
        [("list", listing(5, item("p/a", 3))), ("watch", listing(6, item("p/a", 6, None)))]
    )
    assert store_copy.items == {}


async def test_answers_from_before_an_own_write_do_not_undo_it() -> None:
    """Guards against a record that is reverted by an older answer after a write."""
    own = item("p/a", 9, b"own")
    store_copy, changes, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", listing(7, item("p/a", 7, b"old"))),
            ("watch", listing(8, item("p/a", 8, None))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(8)),
            ("watch", listing(9, own)),
        ],
        written=own,
    )
    assert store_copy.items == {"p/a": own}
    assert changes[0] == ["p/a"]
    assert [key for keys in changes[1:] for key in keys] == []


async def test_an_own_write_can_be_removed_later() -> None:
    """Guards against a key that stays known after its lease has ended."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", listing(10, item("p/a", 10, None))),
        ],
        written=item("p/a", 9, b"own"),
    )
    assert store_copy.items == {}


async def test_a_late_answer_to_an_own_write_does_not_bring_back_a_removed_key() -> None:
    """Guards against a lease that is held for good in the copy of one node.

    The answer to the write arrives after the copy has been polled at a later revision.
    """
    store_copy, _, _ = await async_follow(
        [("list", listing(5, item("p/b", 3)))], written=item("p/a", 4, b"own")
    )
    assert sorted(store_copy.items) == ["p/b"]


async def test_an_older_listing_changes_nothing() -> None:
    """Guards against removed keys that come back, and known ones that are dropped, for good."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(9, item("p/a", 3))),
            ("watch", listing(12, item("p/a", 10, None), item("p/b", 4), item("p/c", 12))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/a", 3))),
            ("watch", listing(12)),
        ]
    )
    assert sorted(store_copy.items) == ["p/c"]


async def test_changes_are_not_applied_to_an_empty_copy() -> None:
    """Guards against a node that starts with a few changes in place of all items."""
    peer_copies = ScriptedCopies([listing(7, item("p/b", 7))])
    store_copy, _, _ = await async_follow(
        [("list", listing(8, item("p/a", 3), item("p/b", 7)))], peer_copies=peer_copies
    )
    assert store_copy.loaded
    assert sorted(store_copy.items) == ["p/a", "p/b"]


async def test_a_copy_of_another_node_confirms_the_time_of_its_poll_of_the_store() -> None:
    """Guards against a primary lease that starts when another node was asked for its copy."""
    peer_copies = ScriptedCopies(
        [
            Ok(Listing(items=(item("p/a", 3),), as_of=5, complete=True, age_ms=400)),
            Ok(Listing(items=(item("p/b", 6),), as_of=6, age_ms=100)),
        ]
    )
    store_copy, changes, confirmed = await async_follow(
        [("watch", listing(7))], peer_copies=peer_copies
    )
    assert [after for _, after in peer_copies.requests] == [0, 5, 6]
    assert sorted(store_copy.items) == ["p/a", "p/b"]
    assert changes == [["p/a"], ["p/b"]]
    assert confirmed == 3
    assert store_copy.confirmed_ms is not None
    changed = store_copy.list_changes(5, 0)
    assert [one.key for one in changed.items] == ["p/b"]
    assert not changed.complete
    assert store_copy.list_changes(2, 0).complete


async def test_an_old_copy_is_not_followed() -> None:
    """Guards against a node that follows the copy of one which has lost the store."""
    old = Ok(Listing(items=(), as_of=5, complete=True, age_ms=MAX_COPY_AGE_MS + 1))
    peer_copies = ScriptedCopies([old, old])
    store_copy, _, confirmed = await async_follow(
        [("list", listing(8, item("p/a", 3))), ("watch", listing(9))], peer_copies=peer_copies
    )
    assert sorted(store_copy.items) == ["p/a"]
    assert peer_copies.requests == [("n2", 0)]
    assert confirmed == 2


async def test_the_return_of_an_unresponsive_store_is_detected_soon() -> None:
    """Guards against a long wait for an answer that was lost in an outage of the store."""
    store = ScriptedStore([("list", listing(5)), ("watch", Err(StoreFault.UNREACHABLE))])
    confirmed: asyncio.Queue[int] = asyncio.Queue()
    store_copy = StoreCopy(
        Application(),
        store,  # type: ignore[arg-type]
        peer_copies=ScriptedCopies([]),
        rng=Random(1),
        on_change=lambda items: None,
        on_confirmed=confirmed.put_nowait,
    )
    task = asyncio.create_task(store_copy.async_run())
    store_copy.poll_now()
    await asyncio.wait_for(store.finished.wait(), 3.0)
    store.replies = [("watch", listing(9))]
    await confirmed.get()
    await asyncio.wait_for(confirmed.get(), 0.9)
    task.cancel()


def test_a_copy_that_was_too_old_is_asked_for_again_soon() -> None:
    """Guards against nodes that all poll the store for seconds after they have started."""
    clock = ManualClock(100_000)
    selector = PeerSelector(clock, COPY_SOURCE_RETRY_MS)
    entry = NodeEntry(node="n2", domain="nbg")
    selector.entries = (entry,)
    selector.note_failure(entry, OLD_COPY_RETRY_MS)
    assert selector.pick_working() is None
    clock.advance(OLD_COPY_RETRY_MS)
    assert selector.pick_working() == entry
    selector.note_failure(entry)
    clock.advance(OLD_COPY_RETRY_MS)
    assert selector.pick_working() is None


def test_a_node_without_data_offers_no_usable_copy() -> None:
    """Guards against an empty copy that other nodes would follow."""
    store_copy = StoreCopy(
        Application(),
        ScriptedStore([]),  # type: ignore[arg-type]
        peer_copies=ScriptedCopies([]),
        rng=Random(1),
        on_change=lambda items: None,
        on_confirmed=lambda sent_ms: None,
    )
    assert store_copy.list_changes(0, 0).age_ms > MAX_COPY_AGE_MS


async def test_only_the_newest_of_many_configurations_is_applied() -> None:
    """Guards against each version of a storm being decoded, and sent on to all followers."""
    storm = [item("op/config", 10 + number, b"%d" % number) for number in range(24)]
    store_copy, changes, _ = await async_follow(
        [("list", listing(5, item("op/config", 3))), ("watch", listing(40, *storm))]
    )
    assert changes == [["op/config"], ["op/config"]]
    assert store_copy.items["op/config"].value == b"23"
    assert [one.value for one in store_copy.list_changes(5, 0).items] == [b"23"]
    assert store_copy.list_changes(33, 0).items == ()


async def test_a_follower_gets_a_key_that_changed_twice_in_one_poll() -> None:
    """Guards against a follower that never learns of a change between two of another key."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("op/config", 3), item("p/a", 4))),
            ("watch", listing(12, item("op/config", 6), item("p/a", 8), item("op/config", 11))),
        ]
    )
    assert [one.key for one in store_copy.list_changes(7, 0).items] == ["p/a", "op/config"]
    assert [one.key for one in store_copy.list_changes(9, 0).items] == ["op/config"]


async def test_followers_get_what_a_new_listing_has_changed_and_not_the_whole_copy() -> None:
    """Guards against a source whose link is filled by complete copies after a lost history."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3), item("p/b", 4), item("p/c", 5))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/a", 3), item("p/b", 8))),
        ]
    )
    changed = store_copy.list_changes(5, 0)
    assert not changed.complete
    assert [(one.key, one.value) for one in changed.items] == [("p/b", b"v"), ("p/c", None)]


async def test_a_follower_that_may_have_seen_a_key_within_a_gap_gets_all_items() -> None:
    """Guards against a key for good that came and went while its source lost the history.

    The follower has polled the store itself in between, the source has not. A follower of the
    follower may have done so as well.
    """
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/a", 3), item("p/b", 8))),
        ]
    )
    assert store_copy.list_changes(7, 0).complete
    sent = store_copy.list_changes(5, 0)
    assert [one.key for one in sent.items] == ["p/b"]
    assert store_copy.list_changes(9, 0).gap is None
    follower, _, _ = await async_follow(
        [("list", listing(5, item("p/a", 3))), ("watch", Ok(sent)), ("watch", listing(9))]
    )
    assert follower.list_changes(7, 0).complete
    assert not follower.list_changes(5, 0).complete


@pytest.mark.parametrize("is_polled", [False, True])
async def test_a_follower_that_may_have_a_key_removed_between_two_pages_gets_all_items(
    is_polled: bool,
) -> None:
    """Guards against a key that was removed while the source listed, and stays at a follower.

    The source learns of the removal by the poll after the listing, unless the history is lost.
    """
    pages = replace(listing(7, item("p/a", 3)).ok_value, last_page_as_of=8)
    polls: list[tuple[str, Reply]] = [("watch", listing(8, item("p/b", 8, None)))]
    store_copy, _, _ = await async_follow(
        [
            ("list", Ok(pages)),
            *(polls if is_polled else []),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/a", 3))),
        ]
    )
    assert store_copy.list_changes(7, 0).complete is not is_polled


async def test_a_key_that_is_known_ahead_is_dropped_when_changes_do_not_have_it() -> None:
    """Guards against an own write that stays for good since its removal is lost in a gap."""
    store_copy, changes, _ = await async_follow(
        [("list", listing(5, item("p/a", 3))), ("watch", listing(8, item("p/c", 7)))],
        written=item("p/b", 6, b"own"),
    )
    assert sorted(store_copy.items) == ["p/a", "p/c"]
    assert changes[1] == ["p/b", "p/c"]


async def test_a_key_that_is_known_ahead_of_a_poll_is_kept() -> None:
    """Guards against an own write that is taken for removed by an answer from before it."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", listing(7, item("p/c", 7))),
            ("watch", listing(9, item("p/b", 8, b"own"))),
        ],
        written=item("p/b", 8, b"own"),
    )
    assert sorted(store_copy.items) == ["p/a", "p/b", "p/c"]


async def test_a_copy_that_is_far_behind_is_listed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the history of a storm that a slow link cannot carry, asked for repeatedly."""
    monkeypatch.setattr("burdockrun_gateway.store_copy.RELIST_AFTER_MS", 150)
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5)),
            ("watch", Err(StoreFault.REFUSED)),
            ("watch", Err(StoreFault.REFUSED)),
            ("list", listing(90, item("op/config", 80))),
            ("watch", listing(91)),
        ]
    )
    assert store_copy.items["op/config"].revision == 80


class SlowLinkStore(ScriptedStore):
    """Store whose answers arrive in parts, over a link that takes longer than any time-out."""

    async def async_watch(
        self, prefix: str, after: int, wait_ms: int, *, on_progress: Callable[[], None]
    ) -> Reply:
        """Return the next answer after 0.9 s, with a part of it each 100 ms."""
        if len(self.replies) < 2:
            for _ in range(9):
                await asyncio.sleep(0.1)
                on_progress()
        return await super().async_watch(prefix, after, wait_ms, on_progress=on_progress)


async def test_an_answer_that_keeps_arriving_is_not_cut_off() -> None:
    """Guards against a node on a slow link that stays without the store after its return."""
    store = SlowLinkStore(
        [
            ("list", listing(5)),
            ("watch", Err(StoreFault.REFUSED)),
            ("watch", listing(9)),
        ]
    )
    confirmed: asyncio.Queue[int] = asyncio.Queue()
    store_copy = StoreCopy(
        Application(),
        store,  # type: ignore[arg-type]
        peer_copies=ScriptedCopies([]),
        rng=Random(1),
        on_change=lambda items: None,
        on_confirmed=confirmed.put_nowait,
    )
    task = asyncio.create_task(store_copy.async_run())
    store_copy.poll_now()
    await confirmed.get()
    await asyncio.wait_for(confirmed.get(), 2.0)
    assert store_copy.as_of == 9
    task.cancel()


async def test_an_item_under_a_revision_that_is_given_out_again_is_applied() -> None:
    """Guards against a value from before the store was restored that stays for a newer one."""
    store_copy, changes, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 4, b"1"), item("p/b", 5, b"lost"), era=1)),
            ("watch", listing(5, item("p/c", 5, b"new"), era=2)),
            ("list", listing(5, item("p/a", 4, b"1"), item("p/c", 5, b"new"), era=2)),
            ("watch", listing(6, item("p/b", 6, b"again"), era=2)),
        ]
    )
    values = {key: one.value for key, one in store_copy.items.items()}
    assert values == {"p/a": b"1", "p/b": b"again", "p/c": b"new"}
    assert "p/b" in changes[1]


async def test_an_answer_from_before_the_store_was_restored_changes_nothing() -> None:
    """Guards against contents that the store has lost and a late answer brings back."""
    store_copy, _, confirmed = await async_follow(
        [
            ("list", listing(5, item("p/a", 5, b"lost"), era=1)),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(4, item("p/a", 4, b"old"), era=2)),
            ("watch", listing(5, era=1)),
            ("list", listing(9, item("p/a", 9, b"lost"), era=1)),
        ]
    )
    assert (store_copy.era, store_copy.items["p/a"].value) == (2, b"old")
    assert confirmed == 2


async def test_a_copy_source_that_does_not_know_the_return_is_passed_over() -> None:
    """Guards against a node that goes back to contents which the store has lost."""
    peer_copies = ScriptedCopies(
        [
            listing(4, item("p/a", 4, b"old"), era=2).map(lambda one: replace(one, complete=True)),
            listing(9, item("p/a", 9, b"lost"), era=1).map(lambda one: replace(one, complete=True)),
        ]
    )
    store_copy, _, _ = await async_follow([("watch", listing(4, era=2))], peer_copies=peer_copies)
    assert (store_copy.era, store_copy.items["p/a"].value) == (2, b"old")
    assert peer_copies.eras[:2] == [0, 2]


async def test_followers_of_an_earlier_era_get_all_items() -> None:
    """Guards against a follower that asks for changes after a revision of an earlier era."""
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 4), item("p/b", 5), era=1)),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(4, item("p/a", 4), era=2)),
            ("watch", listing(6, item("p/c", 6), era=2)),
        ]
    )
    assert store_copy.list_changes(5, 1).complete
    assert [one.key for one in store_copy.list_changes(5, 2).items] == ["p/c"]
    assert not store_copy.list_changes(5, 2).complete


async def test_a_node_that_the_store_refuses_uses_the_copies_of_others() -> None:
    """Guards against keys and primaries that a copy source and its followers do not learn of.

    A copy that is too old is not used, and the next node is asked.
    """
    refused: Reply = Err(StoreFault.REFUSED)
    peer_copies = ScriptedCopies(
        [
            Ok(Listing(items=(), as_of=6, age_ms=MAX_COPY_AGE_MS + 1)),
            Ok(Listing(items=(item("p/b", 6),), as_of=6)),
        ]
    )
    store_copy, changes, confirmed = await async_follow(
        [
            ("list", listing(5, item("p/a", 5))),
            ("watch", refused),
            ("watch", refused),
            ("watch", listing(7, item("p/c", 7))),
        ],
        peer_copies=peer_copies,
        substitutes=("n2", "n3"),
    )
    assert peer_copies.requests == [("n2", 5), ("n3", 5)]
    assert changes == [["p/a"], ["p/b"], ["p/c"]]
    assert confirmed == 3
    assert sorted(store_copy.items) == ["p/a", "p/b", "p/c"]


async def test_a_listing_that_breaks_off_again_is_repeated_after_a_pause() -> None:
    """Guards against a node that lists without a pause from a store that cannot finish a listing.

    The store is restored between two pages each time, or answers the wrong status.
    """
    started_s = asyncio.get_running_loop().time()
    store_copy, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", Err(StoreFault.COMPACTED)),
            *[("list", Err(StoreFault.COMPACTED))] * 3,
            ("list", listing(9, item("p/b", 8))),
        ]
    )
    assert asyncio.get_running_loop().time() - started_s > 0.6 * 3 * STORE_RETRY_MS / 1000
    assert list(store_copy.items) == ["p/b"]
