"""Entry point of `script/measure`."""

import argparse
import json
import sys
from collections.abc import Mapping, Sequence

from burdockrun_proxy import DEFAULT_POLICIES, NAIVE_POLICIES, Policies

from burdockrun_bench.arrivals import Arrivals, Tally
from burdockrun_bench.cluster import ClusterPlan
from burdockrun_bench.measures import FloodResult, GapResult, Measurement, summarise
from burdockrun_bench.topologies import plan_andes, plan_bayern

PLANS = {"bayern": plan_bayern, "andes": plan_andes}
VERSIONS: dict[str, Policies] = {"burdockrun": DEFAULT_POLICIES, "naive": NAIVE_POLICIES}
DEFAULT_CHANGES = 24

Json = dict[str, object]


def main(argv: Sequence[str] | None = None) -> int:
    """Measure one deployment, print the measures and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="script/measure",
        description="Measures one deployment in virtual time.",
        epilog="exit status: 0 measured, 2 bad arguments",
    )
    parser.add_argument("deployment", choices=sorted(PLANS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--baseline", action="store_true", help="measure the naive version only")
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES, help="primary changes")
    arguments = parser.parse_args(argv)
    versions = {"naive": NAIVE_POLICIES} if arguments.baseline else VERSIONS
    plan = PLANS[arguments.deployment]()
    report = build_report(plan, versions, arguments.seed, arguments.changes)
    for key, values in report.items():
        print(key)
        print(json.dumps(values, indent=2))
    print(json.dumps(report, separators=(",", ":")))
    return 0


def build_report(
    plan: ClusterPlan, versions: Mapping[str, Policies], seed: int, changes: int
) -> dict[str, Json]:
    """Return the four measures of each version."""
    report: dict[str, Json] = {
        "replica_read_share": {},
        "write_gap_ms": {},
        "ranks": {},
        "flood": {},
    }
    for name, policies in versions.items():
        measurement = Measurement(plan, policies, seed)
        load = measurement.measure_load()
        report["replica_read_share"][name] = describe_share(load)
        report["ranks"][name] = describe_ranks(load.tallies)
        report["write_gap_ms"][name] = describe_gaps(measurement.measure_gaps(changes))
        report["flood"][name] = describe_flood(measurement.measure_flood())
    return report


def describe_share(arrivals: Arrivals) -> float:
    """Return the share of reads that replicas served."""
    reads = arrivals.replica_reads + arrivals.primary_reads
    return round(arrivals.replica_reads / reads, 4) if reads else 0.0


def describe_ranks(tallies: Mapping[str, Tally]) -> Json:
    """Return counts and latencies of each rank."""
    return {
        name: {
            "offered": tally.offered,
            "admitted": tally.admitted,
            "done": tally.done,
            "in_target_of_admitted": round(tally.in_target / max(1, tally.admitted), 4),
            "codes": dict(sorted(tally.codes.items())),
            "p50_ms": tally.find_percentile(0.5),
            "p99_ms": tally.find_percentile(0.99),
        }
        for name, tally in tallies.items()
    }


def describe_gaps(gaps: GapResult) -> Json:
    """Return the median and the longest write gap, unplanned and planned."""
    return {"unplanned": summarise(gaps.unplanned_ms), "planned": summarise(gaps.planned_ms)}


def describe_flood(flood: FloodResult) -> Json:
    """Return the ranks and the share of slot capacity used, by phase."""
    return {
        phase: {"useful_share": round(flood.useful_share[phase], 4), **describe_ranks(tallies)}
        for phase, tallies in flood.phases.items()
    }


if __name__ == "__main__":
    sys.exit(main())
