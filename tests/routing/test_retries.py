"""Tests of the retry budget."""

from burdockrun_routing import RetryBudget


def test_retries_are_limited_to_a_share_of_the_requests() -> None:
    """Guards against retries that multiply the load during a fault."""
    budget = RetryBudget(ratio=0.1, burst=20)
    spent = 0
    for _ in range(1_000):
        budget.note_request()
        spent += budget.try_spend()
    assert 100 <= spent <= 120


def test_requests_without_retries_do_not_raise_the_burst() -> None:
    """Guards against a burst that grows while there are no faults."""
    budget = RetryBudget(ratio=0.1, burst=20)
    for _ in range(10_000):
        budget.note_request()
    assert sum(budget.try_spend() for _ in range(100)) == 20
