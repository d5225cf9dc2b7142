"""Plots of a run."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl
from matplotlib.figure import Figure

from burdockrun_load.const import TIME_BUCKET_MS
from burdockrun_load.recorder import Recorder
from burdockrun_load.scenario import Scenario

mpl.use("Agg")

_SIZE_INCHES: Final = (9.0, 4.0)
_DOTS_PER_INCH: Final = 100
_BUCKET_S: Final = TIME_BUCKET_MS / 1_000


def write_plots(directory: Path, scenario: Scenario, recorder: Recorder) -> list[str]:
    """Write the plots of a run and return their file names.

    The time axis shows the intended time of sending; flood phases are shaded.
    """
    plots: dict[str, Callable[[Any], None]] = {
        "latency.png": lambda axes: _draw_latency(axes, scenario, recorder),
        "not_done.png": lambda axes: _draw_not_done(axes, scenario, recorder),
        "replica_reads.png": lambda axes: _draw_replica_reads(axes, recorder),
        "write_gap.png": lambda axes: _draw_write_gaps(axes, recorder),
    }
    for name, draw in plots.items():
        figure = Figure(figsize=_SIZE_INCHES, dpi=_DOTS_PER_INCH, layout="constrained")
        axes = figure.subplots()
        draw(axes)
        if name != "write_gap.png":
            _mark_floods(axes, scenario)
            axes.set_xlabel("time of sending (s)")
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
        axes.grid(alpha=0.3)
        figure.savefig(directory / name)
    return list(plots)


def find_percentile(values: Sequence[float], share: float) -> float:
    """Return the approximate percentile of the values for a `share` between 0 and 1.

    >>> find_percentile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, min(len(ordered) - 1, round(share * len(ordered)) - 1))]


def _draw_latency(axes: Any, scenario: Scenario, recorder: Recorder) -> None:
    for rank in scenario.ranks:
        points = [
            (number * _BUCKET_S, bucket.latencies_ms[rank])
            for number, bucket in sorted(recorder.buckets.items())
            if bucket.latencies_ms.get(rank)
        ]
        times = [at_s for at_s, _ in points]
        (line,) = axes.plot(
            times, [find_percentile(v, 0.99) for _, v in points], label=f"{rank} p99"
        )
        axes.plot(
            times,
            [find_percentile(values, 0.5) for _, values in points],
            linestyle=":",
            color=line.get_color(),
            label=f"{rank} p50",
        )
    axes.set_yscale("log")
    axes.set_ylabel("latency (ms)")
    axes.set_title("Latency of finished requests by work rank")


def _draw_not_done(axes: Any, scenario: Scenario, recorder: Recorder) -> None:
    buckets = sorted(recorder.buckets.items())
    for rank in scenario.ranks:
        axes.plot(
            [number * _BUCKET_S for number, _ in buckets],
            [bucket.not_done[rank] / _BUCKET_S for _, bucket in buckets],
            label=rank,
        )
    axes.set_ylabel("requests per s")
    axes.set_title("Requests that were refused or have no known outcome, by work rank")


def _draw_replica_reads(axes: Any, recorder: Recorder) -> None:
    points = [
        (number * _BUCKET_S, bucket.replica_reads / bucket.classified_reads)
        for number, bucket in sorted(recorder.buckets.items())
        if bucket.classified_reads
    ]
    axes.plot([at_s for at_s, _ in points], [share for _, share in points])
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("share")
    axes.set_title("Share of finished reads served by replicas")


def _draw_write_gaps(axes: Any, recorder: Recorder) -> None:
    gaps = recorder.describe()["write_gaps"]
    axes.barh(list(gaps), [gap["gap_ms"] for gap in gaps.values()])
    axes.set_xlabel("ms")
    axes.set_title("Longest time without an acknowledged write")


def _mark_floods(axes: Any, scenario: Scenario) -> None:
    start_ms = 0
    for phase in scenario.phases:
        end_ms = start_ms + phase.duration_ms
        if phase.flood:
            axes.axvspan(start_ms / 1_000, end_ms / 1_000, alpha=0.12, color="tab:red")
            axes.text(start_ms / 1_000, 0.02, phase.name, transform=axes.get_xaxis_transform())
        start_ms = end_ms
