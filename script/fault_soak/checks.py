"""Rules over what was seen; each check returns the violations of one rule."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from script.fault_soak.journal import (
    Arrival,
    Committed,
    Journal,
    Request,
    Run,
    Signal,
)
from script.fault_soak.processes import GRACE_S

STABLE_S: Final = 4.0
LOSS_SLACK_S: Final = 0.2
CONFIG_APPLY_S: Final = 3.0
DRAIN_S: Final = 7.0
TIMEOUT_S: Final = 0.8
MAX_STALENESS_S: Final = 2.5  # of all routes
THAW_SLACK_S: Final = 0.3
RECOVERY_S: Final = 12.0
# Share of the requests that must be served once that time has passed, if it was before.
RECOVERED_SHARE: Final = 0.25
# A node that has been undisturbed for this long must be ready.
READY_AFTER_S: Final = 10.0
# Nodes that still count as ready so long after SIGTERM.
STILL_READY_S: Final = 4.0
# A loaded process cuts this much more often beside a configuration than at other times.
CUT_RATIO: Final = 3.0
PROMISES: Final = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
STOPS: Final = {"SIGTERM", "SIGINT"}
PLANNED_NAMES: Final = {"config"}
# Faults that freeze, slow or cut off the nodes that they name, or all nodes if they name none.
HOLDING_UP: Final = {"frozen", "link_cut", "busy_neighbours", "soak_late"}


@dataclass(frozen=True, kw_only=True)
class Violation:
    """Broken rule, with the place at which it was seen."""

    rule: str
    node: str
    at_s: float
    request_id: str
    detail: str

    def __str__(self) -> str:
        return (
            f"{self.rule} node={self.node or '-'} at_s={self.at_s:.3f} "
            f"request={self.request_id or '-'} {self.detail}"
        )


Check = Callable[[Journal], Iterator[Violation]]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check."""
    CHECKS.append(function)
    return function


def find_violations(journal: Journal) -> list[Violation]:
    """Return what all checks have found, in order of time."""
    found = [one for function in CHECKS for one in function(journal)]
    return sorted(found, key=lambda one: one.at_s)


def is_disturbed(journal: Journal, node: str, start_s: float, end_s: float) -> bool:
    """Return whether an unplanned fault was in force in a span, anywhere if `node` is empty."""
    return any(
        fault.start_s <= end_s and fault.end_s >= start_s
        for fault in journal.faults
        if not fault.planned and (not node or not fault.node or fault.node == node)
    )


def _at_request(rule: str, request: Request, detail: str) -> Violation:
    return Violation(
        rule=rule,
        node=request.node,
        at_s=request.ended_s if request.ended_s != float("inf") else request.sent_s,
        request_id=request.id,
        detail=f"{detail} text={request.text!r} sent_s={request.sent_s:.3f}",
    )


@check
def check_ends(journal: Journal) -> Iterator[Violation]:
    """Find processes that ended by themselves, badly, or not in time."""
    signals: dict[tuple[str, int], list[Signal]] = defaultdict(list)
    for signal in journal.signals:
        signals[signal.node, signal.life].append(signal)
    started = {(node, life): at_s for node, life, at_s in journal.starts}
    for end in journal.ends:
        sent = signals[end.node, end.life]
        names = {one.name for one in sent}
        frozen = any(one.name == "frozen" and one.node == end.node for one in journal.faults)
        detail = (
            f"status={end.status} age_s={end.at_s - started[end.node, end.life]:.3f} signals="
            + ",".join(
                f"{one.name}@{one.age_s:.3f}{'' if one.handles else '(early)'}" for one in sent
            )
        )
        reason = ""
        if "grace" in names and not (frozen and "SIGSTOP" in names):
            reason = "killed after the grace period"
        elif "SIGKILL" in names or "grace" in names:
            continue
        elif not names & STOPS:
            reason = "ended by itself"
        elif end.status != 0:
            reason = "bad status"
        if reason:
            yield Violation(
                rule="FAULT",
                node=end.node,
                at_s=end.at_s,
                request_id="",
                detail=f"{reason} {detail}",
            )


@check
def check_readiness(journal: Journal) -> Iterator[Violation]:
    """Find nodes that are not ready though nothing has happened to them for a while."""
    quiet_from = defaultdict(float)
    events = [(at_s, node) for node, _, at_s in journal.starts]
    events += [(one.at_s, one.node) for one in journal.signals]
    missed: dict[str, int] = defaultdict(int)
    reported: set[tuple[str, int]] = set()
    for probe in sorted(journal.probes, key=lambda one: one.at_s):
        missed[probe.node] = 0 if probe.ready else missed[probe.node] + 1
        if missed[probe.node] < 2:
            continue
        last_s = max((at_s for at_s, node in events if node == probe.node and at_s <= probe.at_s))
        quiet_from[probe.node] = last_s
        since_s = probe.at_s - READY_AFTER_S
        if last_s > since_s or is_disturbed(journal, probe.node, since_s, probe.at_s):
            continue
        if (probe.node, int(last_s)) not in reported:
            reported.add((probe.node, int(last_s)))
            yield Violation(
                rule="FAULT", node=probe.node, at_s=probe.at_s, request_id="", detail="not ready"
            )


def _index_arrivals(journal: Journal) -> dict[str, list[Arrival]]:
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in journal.arrivals:
        arrivals[arrival.request_id].append(arrival)
    return arrivals


def _is_cut_short(request: Request, arrivals: list[Arrival], journal: Journal) -> bool:
    """Return whether a connection ended too early, around whatever work."""
    if not request.cut or not request.sent_s:
        return False
    if is_disturbed(journal, "", request.sent_s - STABLE_S, request.ended_s):
        return False
    if any(arrival.broken for arrival in arrivals):
        return False
    age_s = request.ended_s - request.sent_s
    if age_s >= TIMEOUT_S:
        return False
    return bool(arrivals) or age_s > LOSS_SLACK_S


def _has_read(journal: Journal, request: Request) -> bool:
    """Return whether the life of the node that was asked had answered a statement before."""
    starts = [at_s for node, _, at_s in journal.starts if node == request.node]
    since_s = max((at_s for at_s in starts if at_s <= request.ended_s), default=0.0)
    return any(
        one.node == request.node and not one.cut and since_s <= one.sent_s
        and one.ended_s <= request.ended_s
        for one in journal.requests.values()
    )  # fmt: skip


@check
def check_lost(journal: Journal) -> Iterator[Violation]:
    """Find requests that ended without an answer around planned work.

    Work of a member in the last sixth of the grace period, on a statement sent up to 3 s after the
    signal, needs no case of its own: the time-out of the routes has passed by then.
    """
    index = _index_arrivals(journal)
    cut = [
        one
        for one in journal.requests.values()
        if _is_cut_short(one, index[one.id], journal) and (index[one.id] or _has_read(journal, one))
    ]
    others: list[Request] = []
    for request in cut:
        arrivals = index[request.id]
        stops = [
            one.at_s
            for one in journal.signals
            if one.node == request.node
            and one.name in STOPS
            and one.at_s <= request.ended_s <= one.at_s + GRACE_S + 1.0
        ]
        hups = [
            one.at_s
            for one in journal.signals
            if one.node == request.node
            and one.name == "SIGHUP"
            and request.sent_s - CONFIG_APPLY_S <= one.at_s <= request.ended_s
        ]
        place = "at a member" if arrivals else "not at a member"
        if stops:
            after_s = request.ended_s - stops[0]
            yield _at_request("LOST", request, f"cut {after_s:.3f} s after SIGTERM, {place}")
        elif hups:
            yield _at_request("LOST", request, f"cut after SIGHUP, {place}")
        else:
            others.append(request)
    yield from _check_lost_beside_configurations(journal, others)


def _check_lost_beside_configurations(journal: Journal, cut: list[Request]) -> Iterator[Violation]:
    changes = [one.start_s for one in journal.faults if one.name in PLANNED_NAMES]
    spans = [(at_s, at_s + CONFIG_APPLY_S + 1.0) for at_s in changes]
    covered_s = _measure(spans)
    by_node: dict[str, tuple[list[Request], list[Request]]] = defaultdict(lambda: ([], []))
    for request in cut:
        inside = any(start_s <= request.ended_s <= end_s for start_s, end_s in spans)
        by_node[request.node][0 if inside else 1].append(request)
    for beside, elsewhere in by_node.values():
        rest_s = max(1.0, journal.finished_s - covered_s)
        if len(beside) / max(covered_s, 1.0) <= CUT_RATIO * len(elsewhere) / rest_s:
            continue
        for request in beside:
            if request.ended_s - request.sent_s < 0.7 * TIMEOUT_S:
                yield _at_request("LOST", request, "cut beside a configuration")


def _measure(spans: list[tuple[float, float]]) -> float:
    total_s, until_s = 0.0, 0.0
    for start_s, end_s in sorted(spans):
        total_s += max(0.0, end_s - max(start_s, until_s))
        until_s = max(until_s, end_s)
    return total_s


def _is_rolled_back(commit: Committed, journal: Journal) -> bool:
    return commit.superseded or any(
        lead.at_s > commit.at_s and commit.request_id not in lead.kept for lead in journal.leads
    )


@check
def check_commits(journal: Journal) -> Iterator[Violation]:
    """Find writes that took effect twice, without being asked for, or after a refusal."""
    effects: Counter[str] = Counter()
    for commit in journal.commits:
        request = journal.requests.get(commit.request_id)
        if request is None or not commit.items.items() <= request.writes.items():
            yield Violation(
                rule="UNASKED",
                node="",
                at_s=commit.at_s,
                request_id=commit.request_id,
                detail=f"committed {commit.items}",
            )
            continue
        if request.error in PROMISES:
            yield _at_request("REFUSED", request, f"committed after {request.error}")
        if commit.superseded and request.succeeded and not _is_held_up(journal, request, commit):
            yield _at_request("ONE", request, f"acknowledged at former primary {commit.member}")
        if not _is_rolled_back(commit, journal):
            effects[request.id] += 1
        elif journal.sync_replicas and request.succeeded and not commit.superseded:
            yield _at_request("LOST", request, "acknowledged commit is not in the promoted log")
    for request_id, count in effects.items():
        if count > 1:
            yield _at_request("TWICE", journal.requests[request_id], f"took effect {count} times")


def _is_held_up(journal: Journal, request: Request, commit: Committed) -> bool:
    """Return whether the node that sent a write to the member was frozen, slowed or cut off."""
    senders = {
        one.sender
        for one in journal.arrivals
        if one.request_id == request.id and one.member == commit.member and one.sender
    }
    return any(
        fault.name in HOLDING_UP
        and fault.node in {"", *(senders or {request.node})}
        and fault.start_s <= request.ended_s
        and fault.end_s >= request.sent_s - THAW_SLACK_S
        for fault in journal.faults
    )


@check
def check_answers(journal: Journal) -> Iterator[Violation]:
    """Find successes without the member's signature or with other rows."""
    runs = defaultdict(list)
    for run in journal.runs:
        runs[run.request_id].append(run)
    for request in journal.requests.values():
        if not request.succeeded or request.text.split(" ")[0] not in {"READ", "WRITE", "EXECUTE"}:
            continue
        signature = request.answer[-2].removeprefix("COMPLETE ")
        rows = [line for line in request.answer if line.startswith("ROW")]
        if not any(
            signature == f"{run.member}-{run.request_id}" and rows == run.rows
            for run in runs[request.id]
        ):
            yield _at_request("MIXED", request, f"answer={request.answer}")


@check
def check_runs(journal: Journal) -> Iterator[Violation]:
    """Find statements that ran changed, unasked, or at the wrong place."""
    places: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        request = journal.requests.get(run.request_id)
        if request is None:
            yield Violation(
                rule="UNASKED", node="", at_s=run.at_s, request_id=run.request_id, detail=run.text
            )
            continue
        word, *fields = request.text.split(" ")
        text = " ".join([word, *(fields[1:] if word == "EXECUTE" else fields)])
        if text != run.text:
            yield _at_request("UNASKED", request, f"ran as {run.text!r}")
        if run.values != request.values:
            yield _at_request("PINNED", request, f"ran with {run.values}, not {request.values}")
        if run.shape != request.shape:
            yield _at_request("PINNED", request, f"ran shape {run.shape!r}, not {request.shape!r}")
        if (run.state == "T") != bool(request.transaction) and request.text != "COMMIT":
            yield _at_request("PINNED", request, f"ran in state {run.state}")
        if request.transaction:
            places[request.transaction].append(run)
    for transaction, runs in places.items():
        # The first statement may run again elsewhere while it is the only one.
        first = [one for one in runs if one.request_id == runs[0].request_id][-1]
        others = [one for one in runs if one.request_id != first.request_id]
        if any(one.connection != first.connection for one in others):
            where = ", ".join(f"{one.request_id} at {one.member}/{one.connection}" for one in runs)
            yield _at_request("PINNED", journal.requests[transaction], f"ran {where}")


@check
def check_staleness(journal: Journal) -> Iterator[Violation]:
    """Find reads that lack a commit which was acknowledged before."""
    lasting = {one.request_id for one in journal.commits if not _is_rolled_back(one, journal)}
    acknowledged: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
    for request in journal.requests.values():
        if request.succeeded and request.id in lasting:
            for item, data in request.writes.items():
                acknowledged[item].append((request.ended_s, request.session, _number(data)))
    for request in journal.requests.values():
        rows = [line.removeprefix("ROW ") for line in request.answer if line.startswith("ROW ")]
        if not request.succeeded or not rows:
            continue
        item = request.text.rsplit(" ", 1)[1]
        needed = [
            number
            for at_s, session, number in acknowledged[item]
            if at_s < request.began_s - _find_staleness_s(request, session)
        ]
        if needed and _number(rows[0]) < max(needed):
            yield _at_request("STALE", request, f"read {rows[0]}, {max(needed)} was acknowledged")


def _find_staleness_s(request: Request, writer: str) -> float:
    """Return how long ago a commit of a session may be acknowledged and still be missing."""
    own = request.kind == "session" and writer == request.session
    return 0.0 if own or request.kind == "primary" else MAX_STALENESS_S


def _number(data: str) -> int:
    """Return the number in the data of a write, -1 for data that no client sent."""
    number = data.rpartition(".")[2]
    return int(number) if number.isdecimal() else -1


@check
def check_routes(journal: Journal) -> Iterator[Violation]:
    """Find nodes in touch that refuse a route after its bound."""
    for one in journal.route_checks:
        if one.answer.startswith("ERROR NODB") and _is_in_touch(journal, one.node, one.at_s):
            yield Violation(
                rule="CONFIG",
                node=one.node,
                at_s=one.at_s,
                request_id="",
                detail=f"{one.database} answered {one.answer!r}",
            )


def count_route_checks(journal: Journal) -> int:
    """Return how many sessions asked a node in touch for a route."""
    return sum(_is_in_touch(journal, one.node, one.at_s) for one in journal.route_checks)


def _is_in_touch(journal: Journal, node: str, at_s: float) -> bool:
    """Return whether a node was undisturbed for long enough before a moment."""
    since_s = at_s - STABLE_S
    events = [started_s for name, _, started_s in journal.starts if name == node]
    signals = [one for one in journal.signals if one.node == node]
    events += [one.at_s for one in signals if one.name != "SIGHUP"]
    touched = any(since_s <= event_s <= at_s + 1.0 for event_s in events)
    return not touched and not is_disturbed(journal, node, since_s, at_s)


@check
def check_drained_members(journal: Journal) -> Iterator[Violation]:
    """Find requests that reach a member long after it was known to be draining."""
    for drained in journal.drained:
        for arrival in journal.arrivals:
            if arrival.member != drained.member or arrival.at_s <= drained.at_s + DRAIN_S:
                continue
            request = journal.requests.get(arrival.request_id)
            if request is None or request.began_s <= drained.at_s + DRAIN_S:
                continue
            stable = not is_disturbed(journal, "", drained.at_s - STABLE_S, drained.at_s)
            if stable and _is_in_touch(journal, request.node, arrival.at_s):
                yield _at_request("DRAIN", request, f"reached draining {drained.member}")


@check
def check_stopping_nodes(journal: Journal) -> Iterator[Violation]:
    """Find nodes that still count as ready long after SIGTERM."""
    ends = {(end.node, end.life): end.at_s for end in journal.ends}
    late: list[Signal] = []
    for signal in journal.signals:
        until_s = signal.at_s + STILL_READY_S
        if signal.name != "SIGTERM" or ends.get((signal.node, signal.life), until_s) < until_s:
            continue
        own = [one for one in journal.probes if one.node == signal.node and one.at_s <= until_s]
        is_ready = any(one.ready for one in own[-2:]) and own[-1].at_s > until_s - 2.0
        if is_ready and not is_disturbed(journal, "", signal.at_s - STABLE_S, until_s):
            late.append(signal)
    nodes = {one.node for one in journal.probes}
    if len({one.node for one in late}) >= max(2, len(nodes) / 4):
        for one in late:
            yield Violation(
                rule="DRAIN", node=one.node, at_s=one.at_s, request_id="", detail="still ready"
            )


@check
def check_recovery(journal: Journal) -> Iterator[Violation]:
    """Find ends of all nodes after which hardly anything is served again."""
    for outage in journal.outages:
        before = _find_served_share(journal, outage.at_s - RECOVERY_S, outage.at_s)
        after = _find_served_share(journal, outage.back_s + RECOVERY_S, journal.finished_s)
        if before >= RECOVERED_SHARE > after:
            yield Violation(
                rule="RECOVER",
                node="",
                at_s=outage.at_s,
                request_id="",
                detail=f"served {before:.2f} before and {after:.2f} after",
            )


def _find_served_share(journal: Journal, start_s: float, end_s: float) -> float:
    """Return the share of the requests sent in a span that were answered with success."""
    sent = [one for one in journal.requests.values() if start_s < one.sent_s <= end_s]
    return sum(one.succeeded for one in sent) / len(sent) if sent else 0.0
