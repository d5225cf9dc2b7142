"""Tests of the key-value store logic."""

from burdockrun_messages import (
    DeleteKey,
    GetKey,
    GrantLease,
    KeyEntry,
    KeysReply,
    ListKeys,
    ListVms,
    PlatformFailure,
    PutKey,
    PutReply,
    VmEntry,
    VmsReply,
    WatchKeys,
)
from burdockrun_platform import MAX_VALUE_BYTES, KeyValueStore
from hypothesis import given, settings
from hypothesis import strategies as st


def _put(store: KeyValueStore, key: str, expected: int | None = None) -> PutReply:
    reply = store.apply(PutKey(key=key, value="v", expected_revision=expected), 0)
    assert isinstance(reply, PutReply)
    return reply


def test_only_one_of_two_writers_creates_a_key() -> None:
    """Guards against two change tickets with the same number."""
    store = KeyValueStore()
    assert _put(store, "tickets/1", 0).accepted
    second = _put(store, "tickets/1", 0)
    assert not second.accepted
    assert second.entry.revision == 1


def test_keys_of_an_expired_lease_are_deleted_and_watched() -> None:
    """Guards against a coordinator that keeps its key after its lease has ended."""
    store = KeyValueStore()
    store.apply(GrantLease(lease="a", ttl_ms=100), 0)
    store.apply(PutKey(key="c/x", value="a", lease="a"), 10)
    revision = store.revision
    store.apply(GrantLease(lease="a", ttl_ms=100), 90)
    assert store.apply(GetKey(key="c/x"), 189) == KeyEntry(key="c/x", value="a", revision=1)
    store.expire(190)
    assert store.read_changes("c/", revision) == KeysReply(
        entries=(KeyEntry(key="c/x", value="", revision=0),), store_revision=2
    )
    late = store.apply(PutKey(key="c/x", value="a", lease="a"), 200)
    assert isinstance(late, PutReply)
    assert not late.accepted


def test_list_continues_after_a_key() -> None:
    """Guards against entries that are skipped between two pages."""
    store = KeyValueStore()
    for number in range(5):
        _put(store, f"k/{number}")
    page = store.apply(ListKeys(prefix="k/", limit=2, start_after="k/1"), 0)
    assert isinstance(page, KeysReply)
    assert [entry.key for entry in page.entries] == ["k/2", "k/3"]


def test_new_vm_list_is_visible_after_its_lag() -> None:
    """Guards against a stand-in whose VM list is more current than that of the real platform."""
    store = KeyValueStore(vm_list_lag_ms=1_000)
    vm = VmEntry(name="e", domain="d", host="127.0.0.1", port=1, kind="entry")
    store.set_vms((), 0)
    store.set_vms((vm,), 500)
    assert store.apply(ListVms(), 1_499) == VmsReply(vms=())
    assert store.apply(ListVms(), 1_500) == VmsReply(vms=(vm,))


def test_too_large_value_is_refused() -> None:
    """Guards against snapshots that the real platform would refuse."""
    reply = KeyValueStore().apply(PutKey(key="k", value="x" * (MAX_VALUE_BYTES + 1)), 0)
    assert isinstance(reply, PlatformFailure)


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.tuples(st.booleans(), st.sampled_from("abc"), st.booleans()), max_size=30))
def test_watcher_rebuilds_the_store_from_changes(steps: list[tuple[bool, str, bool]]) -> None:
    """Guards against watches that miss a change between two calls."""
    store = KeyValueStore()
    copy: dict[str, KeyEntry] = {}
    seen = 0
    for is_put, key, is_read in steps:
        store.apply(PutKey(key=key, value=key) if is_put else DeleteKey(key=key), 0)
        if not is_read:
            continue
        reply = store.apply(WatchKeys(prefix="", after_revision=seen, wait_ms=0), 0)
        assert isinstance(reply, KeysReply)
        seen = reply.store_revision
        for entry in reply.entries:
            copy[entry.key] = entry
    for entry in store.read_changes("", seen).entries:
        copy[entry.key] = entry
    listed = store.apply(ListKeys(prefix=""), 0)
    assert isinstance(listed, KeysReply)
    assert listed.entries == tuple(copy[key] for key in sorted(copy) if copy[key].revision)
