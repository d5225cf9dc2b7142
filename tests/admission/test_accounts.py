"""Tests of the limit for each client account."""

from burdockrun_admission import AccountLimiter


def test_a_flooding_account_leaves_room_for_another() -> None:
    """Guards against one account that takes every place of an entry proxy."""
    limiter = AccountLimiter(100)
    flood = sum(limiter.try_enter("bayern") for _ in range(1_000))
    assert flood >= 75
    assert sum(limiter.try_enter("andes") for _ in range(1_000)) >= 15


def test_last_place_is_for_another_account() -> None:
    """Guards against one account that takes every place of a small entry proxy."""
    limiter = AccountLimiter(3)
    assert sum(limiter.try_enter("bayern") for _ in range(10)) == 2
    assert limiter.try_enter("andes")


def test_places_come_back() -> None:
    """Guards against places that are lost, or returned twice."""
    limiter = AccountLimiter(4)
    for _ in range(100):
        assert limiter.try_enter("bayern")
        limiter.leave("bayern")
        limiter.leave("bayern")
    assert sum(limiter.try_enter("bayern") for _ in range(10)) <= 4
