"""Tests of the retry budget."""

from burdockrun_routing import RetryBudget


def test_retries_stay_a_share_of_the_requests() -> None:
    """Guards against retries that multiply the load of a fault."""
    budget = RetryBudget(ratio=0.1, burst=20)
    spent = 0
    for _ in range(1_000):
        budget.note_request()
        spent += budget.try_spend()
    assert 100 <= spent <= 120


def test_quiet_time_does_not_add_to_the_burst() -> None:
    """Guards against a burst that grows while there are no faults."""
    budget = RetryBudget(ratio=0.1, burst=20)
    for _ in range(10_000):
        budget.note_request()
    assert sum(budget.try_spend() for _ in range(100)) == 20
