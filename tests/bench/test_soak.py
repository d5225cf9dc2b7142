"""Tests of the soak run with real proxy nodes."""

from burdockrun_bench import run_soak


def test_same_seed_gives_the_same_result() -> None:
    """Guards against runs that cannot be reproduced."""
    first, second = run_soak(3, 300), run_soak(3, 300)
    assert first == second
    assert first.acknowledged_writes > 0
