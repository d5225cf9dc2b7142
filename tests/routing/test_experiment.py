"""Tests of the target share of reads served by replicas."""

import pytest
from burdockrun_routing.experiment import TOPOLOGIES, measure
from burdockrun_routing.trace import Load


@pytest.mark.parametrize("account", ["bayern", "andes"])
@pytest.mark.parametrize(
    "load",
    [
        Load(visits_per_s=100.0, duration_ms=60_000.0),
        Load(visits_per_s=100.0, duration_ms=60_000.0, by_majority=False),
        Load(visits_per_s=1.2, duration_ms=2_400_000.0),
    ],
    ids=["usual", "primary_rule", "sparse"],
)
def test_replicas_serve_nearly_as_many_reads_as_with_an_oracle(account: str, load: Load) -> None:
    """Guards against reads sent to the primary although a replica could serve them."""
    score = measure(TOPOLOGIES[account], load, seed=1)
    assert score["of_oracle"] >= 0.98
    assert score["oracle_share"] > 0.5
