"""Report directory: `report.json`, plots and `report.html`."""

import base64
import html
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from burdockrun_load.plots import write_plots
from burdockrun_load.recorder import Recorder
from burdockrun_load.scenario import Scenario

_STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
    "td,th{padding:.2em 1em;text-align:right}"
)


def compare_runs(proxy: Mapping[str, Any], direct: Mapping[str, Any]) -> dict[str, Any]:
    """Return the latency that the proxy adds to direct access, in ms by rank, and both rates."""
    added = {}
    for rank, proxy_values in proxy["ranks"].items():
        direct_ms = direct["ranks"][rank]["latency_ms"]
        added[rank] = {
            name: value - direct_ms[name]
            for name, value in proxy_values["latency_ms"].items()
            if name in direct_ms
        }
    return {
        "added_latency_ms": added,
        "requests_per_s": {
            "proxy": proxy["requests_per_s"],
            "direct": direct["requests_per_s"],
        },
    }


def write_report(
    directory: Path, scenario: Scenario, mode: str, runs: Mapping[str, Recorder]
) -> dict[str, Any]:
    """Write the report of all runs and return its JSON values.

    `runs` maps `proxy` and `direct` to their statistics. The values of the first run are at the
    top level. Raises OSError when the directory cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    described = {name: recorder.describe() for name, recorder in runs.items()}
    first = next(iter(described))
    report: dict[str, Any] = {"mode": mode, "seed": scenario.seed, **described[first]}
    if len(described) > 1:
        report["direct"] = described["direct"]
        report["comparison"] = compare_runs(described["proxy"], described["direct"])
    (directory / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    plots = write_plots(directory, scenario, runs[first])
    (directory / "report.html").write_text(_build_page(directory, scenario, report, plots))
    return report


def _build_page(
    directory: Path, scenario: Scenario, report: Mapping[str, Any], plots: list[str]
) -> str:
    images = "".join(
        f'<p><img alt="{name}" src="data:image/png;base64,'
        f'{base64.b64encode((directory / name).read_bytes()).decode()}"></p>'
        for name in plots
    )
    details = html.escape(json.dumps(report, indent=2))
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Load report</title>'
        f"<style>{_STYLE}</style><h1>Load of {html.escape(scenario.account)}</h1>"
        f"{_build_table(report)}{images}<h2>All figures</h2><pre>{details}</pre></html>\n"
    )


def _build_table(report: Mapping[str, Any]) -> str:
    head = (
        "<tr><th>rank<th>requests<th>done<th>not run<th>unknown<th>p50 ms<th>p99 ms<th>max ms</tr>"
    )
    rows = ""
    for rank, values in report["ranks"].items():
        outcomes, latency = values["outcomes"], values["latency_ms"]
        cells = [
            html.escape(rank),
            values["requests"],
            *(outcomes[name] for name in ("done", "not_run", "unknown")),
            *(f"{latency[name]:.2f}" if name in latency else "-" for name in ("p50", "p99", "max")),
        ]
        rows += "<tr>" + "".join(f"<td>{cell}" for cell in cells) + "</tr>"
    share, gap = report["replica_read_share"], report["write_gap_ms"]
    summary = (
        f"<p>Reads served by replicas: {'not known' if share is None else f'{share:.1%}'}. "
        f"Longest time without an acknowledged write: "
        f"{'no writes' if gap is None else f'{gap:.0f} ms'}. "
        f"Finished requests: {report['requests_per_s']:.1f} per s. "
        f"Consistency violations: {report['violations']}.</p>"
    )
    return f"{summary}<table>{head}{rows}</table>"
