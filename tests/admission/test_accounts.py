"""Tests of the limit for each client account."""

from burdockrun_admission import AccountLimiter


def test_account_under_flood_leaves_room_for_another() -> None:
    """Guards against one account that uses the whole in-flight limit of an entry proxy."""
    limiter = AccountLimiter(100)
    flood = sum(limiter.try_acquire("bayern") for _ in range(1_000))
    assert flood >= 75
    assert sum(limiter.try_acquire("andes") for _ in range(1_000)) >= 15


def test_last_free_request_is_for_another_account() -> None:
    """Guards against one account that uses the whole limit when the limit is small."""
    limiter = AccountLimiter(3)
    assert sum(limiter.try_acquire("bayern") for _ in range(10)) == 2
    assert limiter.try_acquire("andes")


def test_released_requests_can_be_acquired_again() -> None:
    """Guards against finished requests that stay counted or are subtracted twice."""
    limiter = AccountLimiter(4)
    for _ in range(100):
        assert limiter.try_acquire("bayern")
        limiter.release("bayern")
        limiter.release("bayern")
    assert sum(limiter.try_acquire("bayern") for _ in range(10)) <= 4
