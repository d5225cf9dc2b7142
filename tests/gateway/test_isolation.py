"""Tests of the detection that a node is cut off."""

from dataclasses import dataclass

from burdockrun_gateway.isolation import IsolationDetector


@dataclass(kw_only=True)
class FakePool:
    """Connections to a member of another domain."""

    last_contact_ms: int
    waiting_ms: int = 0

    def is_lost_or_silent(self, duration_ms: int) -> bool:
        """Return whether a statement has waited for at least `duration_ms`."""
        return self.waiting_ms >= duration_ms


@dataclass(kw_only=True)
class FakeStoreCopy:
    """Copy of the store that counts the polls of the store itself."""

    failing: bool = True
    poll_sent_ms: int | None = None
    last_contact_ms: int = 0
    direct_polls: int = 0

    def poll_now(self, *, direct: bool = False) -> None:
        """Count polls of the store itself."""
        self.direct_polls += direct

    def is_failing(self) -> bool:
        """Return whether the last poll failed."""
        return self.failing


def is_isolated(pools: list[FakePool], store_copy: FakeStoreCopy, now_ms: int = 10_000) -> bool:
    """Return whether a node with these pools and this copy of the store is isolated."""
    isolation = IsolationDetector(store_copy)  # type: ignore[arg-type]
    isolation.update(pools, now_ms)  # type: ignore[arg-type]
    return isolation.since_ms is not None


def test_a_node_that_reaches_neither_members_nor_store_is_isolated() -> None:
    """Guards against a node that keeps its clients although it is cut off."""
    pools = [
        FakePool(last_contact_ms=9_000, waiting_ms=500),
        FakePool(last_contact_ms=9_000, waiting_ms=500),
    ]
    assert is_isolated(pools, FakeStoreCopy())
    assert is_isolated(pools, FakeStoreCopy(failing=False, poll_sent_ms=9_500))


def test_one_silent_member_does_not_isolate_a_node_that_has_lost_the_store() -> None:
    """Guards against a node with little work that sends clients away for one lost member."""
    pools = [FakePool(last_contact_ms=9_000, waiting_ms=500), FakePool(last_contact_ms=9_000)]
    assert not is_isolated(pools, FakeStoreCopy())


def test_a_poll_that_may_still_wait_for_a_change_does_not_isolate_a_node() -> None:
    """Guards against false alarms while the store waits for a change before it answers."""
    pools = [
        FakePool(last_contact_ms=9_000, waiting_ms=500),
        FakePool(last_contact_ms=9_000, waiting_ms=500),
    ]
    store_copy = FakeStoreCopy(failing=False, poll_sent_ms=9_850)
    assert not is_isolated(pools, store_copy)
    assert store_copy.direct_polls == 1
