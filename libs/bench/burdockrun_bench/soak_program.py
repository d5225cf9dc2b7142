"""Entry point of `script/soak`."""

import argparse
import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from importlib import metadata

from burdockrun_bench.const import EXIT_CLEAN, EXIT_USAGE, EXIT_VIOLATIONS, MAX_PRINTED_VIOLATIONS
from burdockrun_bench.soak import SoakResult, run_soak

FORMAT_JSON = "json"
_EXIT_STATUSES = f"""exit status:
  {EXIT_CLEAN}  no violation
  {EXIT_VIOLATIONS}  at least one violation
  {EXIT_USAGE}  bad arguments"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the seeds and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="soak",
        description="Runs proxy nodes under faults in virtual time and checks the invariants.",
        epilog=_EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = metadata.version("burdockrun-bench")
    parser.add_argument("--version", action="version", version=f"soak {version}")
    parser.add_argument("--log-format", choices=(FORMAT_JSON, "text"), default="text")
    parser.add_argument("--seed", type=parse_seeds, default=range(1, 2), help="N or A..B")
    parser.add_argument("--steps", type=int, default=20_000, help="steps of 10 ms")
    parser.add_argument("--jobs", type=int, default=1, help="processes for several seeds")
    parser.add_argument("--trace", action="store_true", help="print the trace of each violation")
    arguments = parser.parse_args(argv)
    run = partial(run_soak, steps=arguments.steps)
    failed = False
    with ProcessPoolExecutor(max(1, arguments.jobs)) as pool:
        for result in pool.map(run, arguments.seed):
            failed = failed or bool(result.violations)
            print_result(result, arguments)
    return EXIT_VIOLATIONS if failed else EXIT_CLEAN


def parse_seeds(text: str) -> range:
    """Return the seeds of `N` or `A..B`.

    >>> list(parse_seeds("2..4"))
    [2, 3, 4]
    """
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def print_result(result: SoakResult, arguments: argparse.Namespace) -> None:
    """Print the first violations and details to standard error, the summary to standard output."""
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        if arguments.log_format == FORMAT_JSON:
            fields = {
                "invariant": violation.invariant,
                "at_ms": violation.at_ms,
                "text": violation.text,
            }
            print(json.dumps(fields), file=sys.stderr)
        else:
            print(
                f"{violation.invariant} at {violation.at_ms} ms: {violation.text}", file=sys.stderr
            )
        if arguments.trace:
            print("\n".join(violation.trace), file=sys.stderr)
    details = {"events": result.events, "codes": result.codes, "checked": result.checked}
    print(json.dumps(details), file=sys.stderr)
    print(result, flush=True)


if __name__ == "__main__":
    sys.exit(main())
