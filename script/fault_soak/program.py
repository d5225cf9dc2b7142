"""Command line of the fault soak."""

import argparse
import asyncio
import random
import shutil
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

from script.fault_soak.checks import READY_AFTER_S, Violation, count_route_checks, find_violations
from script.fault_soak.clients import start_clients
from script.fault_soak.deployment import Deployment, async_wait_until
from script.fault_soak.endings import ENDINGS
from script.fault_soak.faults import FAULTS, Planned, async_play, build_schedule
from script.fault_soak.journal import Journal
from script.fault_soak.processes import GRACE_S, Checkout

ROOT: Final = Path(__file__).resolve().parents[2]
# Time after the last fault, and then until all nodes are ready: at most a grace period, a start and
# the time after which a node that is not ready is a fault.
MIN_SETTLE_S: Final = 3.0
MAX_SETTLE_S: Final = GRACE_S + 1.0 + READY_AFTER_S
WARM_UP_S: Final = 2.0
CLIENTS_PER_GATEWAY: Final = 4
MIN_CLIENTS: Final = 21  # each kind of session at least once
OPEN_CODES: Final = {"INDOUBT", "TIMEOUT"}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="fault-soak", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0, help="time in which faults begin")
    parser.add_argument("--gateways", type=int, default=0, help="number; 0 lets the seed choose")
    parser.add_argument("--ending", choices=list(ENDINGS), help="default: the seed chooses")
    parser.add_argument("--fault", choices=list(FAULTS), help="begin the schedule with this fault")
    parser.add_argument("--root", type=Path, default=ROOT, help="checkout whose gateways run")
    parser.add_argument("--sources", action="store_true", help="run the sources, not target/deps")
    parser.add_argument(
        "--logs", type=Path, help="folder that keeps the logs of the gateways and what was seen"
    )
    parser.add_argument("--plan", action="store_true", help="print the schedule and stop")
    return parser


async def async_soak(deployment: Deployment, schedule: list[Planned], ending: str) -> None:
    """Play a schedule and an ending on a new deployment."""
    journal = deployment.journal
    try:
        await deployment.async_start()
        count = max(MIN_CLIENTS, CLIENTS_PER_GATEWAY * len(deployment.gateways))
        clients = start_clients(deployment, count)
        await asyncio.sleep(WARM_UP_S)
        await async_play(deployment, schedule)
        await asyncio.sleep(MIN_SETTLE_S)
        await async_wait_until(deployment.is_serving, MAX_SETTLE_S)
        await ENDINGS[ending](deployment)
        journal.finished_s = journal.now()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    finally:
        await deployment.async_stop()


def print_summary(seed: int, journal: Journal, violations: list[Violation], logs: Path) -> None:
    """Print violations, findings and the last line."""
    for violation in violations:
        print(violation)
    requests = journal.requests.values()
    writes = [one for one in requests if one.writes and one.sent_s]
    unknown = [one for one in writes if one.cut or one.given_up or one.error in OPEN_CODES]
    tracebacks = sum(
        one.read_text(errors="replace").count("Traceback") for one in logs.glob("*.log")
    )
    counts = Counter(one.rule for one in violations)
    early = sum("(early)" in one.detail for one in violations)
    kinds = Counter(one.name.split(" ")[0] for one in journal.faults)
    print("faults", " ".join(f"{name}={count}" for name, count in sorted(kinds.items())))
    print(
        "found",
        " ".join(f"{rule}={count}" for rule, count in sorted(counts.items())) or "nothing",
        f"answered={sum(one.succeeded for one in requests)} requests={len(requests)}"
        f" cut={sum(one.cut for one in requests)} routes_checked={count_route_checks(journal)}"
        f" ends_before_signals_are_set_up={early} tracebacks={tracebacks}",
    )
    print(
        f"fault-soak seed={seed} processes={len(journal.starts)} faults={len(journal.faults)}"
        f" acknowledged_writes={sum(one.succeeded for one in writes)}"
        f" failovers={len(journal.leads)} unknown={len(unknown)} violations={len(violations)}"
    )


def run(arguments: list[str] | None = None) -> int:
    """Run one soak and return the exit status."""
    options = build_parser().parse_args(arguments)
    checkout = Checkout(root=options.root.resolve(), from_sources=options.sources)
    if not (options.sources or (checkout.root / "target/deps").is_dir()):
        print(f"{checkout.root}/target/deps is missing: run deploy/build there")
        return 2
    rng = Random(options.seed)
    gateways = options.gateways or rng.choice([2, 3, 3, 4, 5])
    journal = Journal(sync_replicas=rng.choice([0, 0, 1]))
    schedule = build_schedule(rng, options.seconds)
    if options.fault:
        schedule.insert(0, Planned(at_s=0.0, name=options.fault, seed=rng.getrandbits(32)))
    ending = options.ending or rng.choice(list(ENDINGS))
    if options.plan:
        print(f"gateways={gateways}", *schedule, f"ending={ending}", sep="\n")
        return 0
    random.seed(options.seed)
    logs = options.logs or Path(tempfile.mkdtemp(prefix="burdockrun-fault-soak-"))
    logs.mkdir(parents=True, exist_ok=True)
    for log in logs.glob("*.log"):
        log.unlink()
    deployment = Deployment(checkout, logs, journal, gateways)
    asyncio.run(async_soak(deployment, schedule, ending))
    violations = find_violations(journal)
    print_summary(options.seed, journal, violations, logs)
    if options.logs is not None:
        journal.write(logs / "journal.jsonl")
    else:
        shutil.rmtree(logs, ignore_errors=True)
    return 1 if violations else 0
