"""Tests of the copy of the store."""

import asyncio
from random import Random

from burdockrun_base import Application
from burdockrun_gateway import Item, Listing, StoreFault
from burdockrun_gateway.mirror import Mirror
from result import Err, Ok, Result

Reply = Result[Listing, StoreFault]


class ScriptedStore:
    """Gives the answers of a script, then waits."""

    def __init__(self, replies: list[tuple[str, Reply]]) -> None:
        self.replies = replies
        self.finished = asyncio.Event()

    async def async_list(self, prefix: str) -> Reply:
        """Return the next answer, which must be to a listing."""
        return await self._async_next("list")

    async def async_watch(self, prefix: str, after: int, wait_ms: int) -> Reply:
        """Return the next answer, which must be to a watch."""
        return await self._async_next("watch")

    async def _async_next(self, kind: str) -> Reply:
        if not self.replies:
            self.finished.set()
            await asyncio.sleep(60)
        expected, reply = self.replies.pop(0)
        assert kind == expected
        return reply


def item(key: str, revision: int, value: bytes | None = b"v") -> Item:
    """Return an item."""
    return Item(key=key, revision=revision, value=value)


def listing(as_of: int, *items: Item) -> Ok[Listing]:
    """Return a listing."""
    return Ok(Listing(items=items, as_of=as_of))


async def async_follow(
    replies: list[tuple[str, Reply]], *, written: Item | None = None
) -> tuple[Mirror, list[list[str]], int]:
    """Return the mirror after the script, the keys of each change, and the confirmations.

    The node itself writes `written` after the first change.
    """
    store = ScriptedStore(replies)
    changes: list[list[str]] = []
    confirmed: list[int] = []

    def handle_change(items: list[Item]) -> None:
        changes.append([one.key for one in items])
        if written is not None and len(changes) == 1:
            mirror.note_written(written)

    mirror = Mirror(
        Application(),
        store,  # type: ignore[arg-type]
        rng=Random(1),
        on_change=handle_change,
        on_confirmed=confirmed.append,
    )
    task = asyncio.create_task(mirror.async_run())
    async with asyncio.timeout(5.0):
        while not store.finished.is_set():
            mirror.hurry()
            await asyncio.sleep(0.01)
    task.cancel()
    return mirror, changes, len(confirmed)


async def test_dropped_history_is_made_up_by_a_new_listing() -> None:
    """Guards against keys that were removed while no history was kept."""
    mirror, changes, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3), item("p/b", 4))),
            ("watch", Err(StoreFault.COMPACTED)),
            ("list", listing(9, item("p/b", 8))),
        ]
    )
    assert sorted(mirror.items) == ["p/b"]
    assert changes == [["p/a", "p/b"], ["p/a", "p/b"]]


async def test_a_call_without_an_answer_confirms_nothing() -> None:
    """Guards against a grant that rests on a call that failed."""
    _, _, confirmed = await async_follow(
        [
            ("list", listing(5)),
            ("watch", Err(StoreFault.UNREACHABLE)),
            ("watch", listing(6, item("p/a", 6))),
        ]
    )
    assert confirmed == 2


async def test_a_removed_key_is_forgotten() -> None:
    """Guards against members that stay known after they have left."""
    mirror, _, _ = await async_follow(
        [("list", listing(5, item("p/a", 3))), ("watch", listing(6, item("p/a", 6, None)))]
    )
    assert mirror.items == {}


async def test_answers_from_before_an_own_write_do_not_undo_it() -> None:
    """Guards against a record that goes back when an older answer arrives after a write."""
    own = item("p/a", 9, b"own")
    mirror, changes, _ = await async_follow(
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
    assert mirror.items == {"p/a": own}
    assert changes[0] == ["p/a"]
    assert [key for keys in changes[1:] for key in keys] == []


async def test_an_own_write_can_be_removed_later() -> None:
    """Guards against a key that stays known after its lease has ended."""
    mirror, _, _ = await async_follow(
        [
            ("list", listing(5, item("p/a", 3))),
            ("watch", listing(10, item("p/a", 10, None))),
        ],
        written=item("p/a", 9, b"own"),
    )
    assert mirror.items == {}
