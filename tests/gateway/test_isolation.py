"""Tests of the judgement that a node is cut off."""

from dataclasses import dataclass

from burdockrun_gateway.isolation import Isolation


@dataclass(kw_only=True)
class Pool:
    """Connections to a member of another domain."""

    last_contact_ms: int
    waiting_ms: int = 0

    def is_waiting_longer(self, duration_ms: int) -> bool:
        """Return whether a statement has waited for so long."""
        return self.waiting_ms >= duration_ms


@dataclass(kw_only=True)
class Copy:
    """Copy of the store."""

    failing: bool = True
    asked_ms: int | None = None
    last_contact_ms: int = 0
    hurried: int = 0

    def poll_now(self, *, direct: bool = False) -> None:
        """Count questions that go to the store itself."""
        self.hurried += direct

    def is_failing(self) -> bool:
        """Return whether the last question failed."""
        return self.failing


def judge(pools: list[Pool], copy: Copy, now_ms: int = 10_000) -> bool:
    """Return whether a node with these pools is isolated."""
    isolation = Isolation(copy)  # type: ignore[arg-type]
    isolation.update(pools, now_ms)  # type: ignore[arg-type]
    return isolation.since_ms is not None


def test_a_node_that_reaches_neither_members_nor_store_is_isolated() -> None:
    """Guards against a node that keeps its clients behind a cut."""
    pools = [
        Pool(last_contact_ms=9_000, waiting_ms=500),
        Pool(last_contact_ms=9_000, waiting_ms=500),
    ]
    assert judge(pools, Copy())
    assert judge(pools, Copy(failing=False, asked_ms=9_500))


def test_one_dark_member_does_not_isolate_a_node_that_has_lost_the_store() -> None:
    """Guards against a node with little work that goes out of rotation for one lost member."""
    pools = [Pool(last_contact_ms=9_000, waiting_ms=500), Pool(last_contact_ms=9_000)]
    assert not judge(pools, Copy())


def test_a_question_that_may_still_be_waiting_for_a_change_isolates_nobody() -> None:
    """Guards against false alarms from the wait of a question to the store."""
    pools = [
        Pool(last_contact_ms=9_000, waiting_ms=500),
        Pool(last_contact_ms=9_000, waiting_ms=500),
    ]
    copy = Copy(failing=False, asked_ms=9_850)
    assert not judge(pools, copy)
    assert copy.hurried == 1
