"""Tests of the checks of the fault soak: planted violations are reported, allowed cases are not."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from script.fault_soak.checks import find_violations
from script.fault_soak.journal import (
    Arrival,
    Committed,
    Drained,
    End,
    Fault,
    Journal,
    Lead,
    Outage,
    Probe,
    Request,
    RouteCheck,
    Run,
    Signal,
)

Plant = Callable[[Journal], object]
SIGNAL = Signal(node="n1", life=1, name="SIGTERM", at_s=10.0, age_s=10.0, handles=True)


def build_journal() -> Journal:
    """Return a journal with two nodes and one answered read."""
    journal = Journal(finished_s=40.0)
    journal.starts = [("n1", 1, 0.0), ("n2", 1, 0.0)]
    add_read(journal, "q0", sent_s=1.0, ended_s=1.01)
    return journal


def add_request(journal: Journal, request_id: str, text: str, **fields: Any) -> Request:
    """Add a statement that a client has sent to n1."""
    sent_s = fields.pop("sent_s", 11.0)
    request = Request(id=request_id, session="s1", node="n1", kind="session", text=text)
    answered = {"began_s": sent_s, "ended_s": sent_s + 0.01, "answer": ["COMPLETE -", "READY I -"]}
    request = replace(request, sent_s=sent_s, **{**answered, **fields})
    journal.requests[request_id] = request
    return request


def add_run(journal: Journal, request_id: str, text: str, **fields: Any) -> None:
    """Add a run of a statement at member a."""
    run = Run(
        at_s=11.0,
        request_id=request_id, member="a", connection=1, text=text, state="I", values=(), shape="",
        rows=[],
    )  # fmt: skip
    journal.runs.append(replace(run, **fields))


def add_read(journal: Journal, request_id: str, data: str = "none", **fields: Any) -> None:
    """Add an answered read of item x."""
    answer = [f"ROW {data}", f"COMPLETE a-{request_id}", "READY I 1.1"]
    request = add_request(journal, request_id, "READ x", answer=answer, **fields)
    state = "T" if request.transaction else "I"
    add_run(journal, request_id, "READ x", rows=[f"ROW {data}"], state=state)


def add_write(journal: Journal, request_id: str, number: int, **fields: Any) -> Request:
    """Add an acknowledged write of item x, and its commit."""
    data = f"x.{number}"
    answer = [f"COMPLETE a-{request_id}", "READY I 1.1"]
    request = add_request(
        journal,
        request_id,
        f"WRITE x {data}",
        **{"answer": answer, "writes": {"x": data}, **fields},
    )
    add_run(journal, request_id, f"WRITE x {data}")
    add_commit(journal, request)
    return request


def add_commit(journal: Journal, request: Request, **fields: Any) -> None:
    """Add a commit of a statement at member a."""
    commit = Committed(
        request_id=request.id,
        member="a",
        items=dict(request.writes),
        at_s=request.sent_s,
        superseded=False,
    )
    journal.commits.append(replace(commit, **fields))


def add_cut(journal: Journal, **fields: Any) -> Request:
    """Add a read that reached a member and got no answer."""
    journal.arrivals.append(Arrival(request_id="q1", member="a", at_s=15.02))
    values = {"sent_s": 15.0, "ended_s": 15.05, "cut": True, "answer": [], **fields}
    return add_request(journal, "q1", "READ x", **values)


def stop(journal: Journal) -> None:
    """Send SIGTERM to n1 at 10 s; it ends as it should."""
    journal.signals.append(SIGNAL)
    journal.ends.append(End(node="n1", life=1, status=0, at_s=15.1))


def disturb(journal: Journal, at_s: float = 9.0, node: str = "") -> Journal:
    """Add an unplanned fault."""
    fault = Fault(name="store", node=node, planned=False, start_s=at_s, end_s=at_s + 0.5)
    journal.faults.append(fault)
    return journal


def start(journal: Journal) -> Journal:
    """Start n1 again."""
    journal.starts.append(("n1", 2, 18.0))
    return journal


def configure(journal: Journal, at_s: float) -> None:
    """Add a change of the configuration."""
    fault = Fault(name="config", node="", planned=True, start_s=at_s, end_s=at_s)
    journal.faults.append(fault)


def lead(journal: Journal, *kept: str) -> None:
    """Let member b lead from 20 s on, with the given commits."""
    journal.leads.append(Lead(member="b", term=2, at_s=20.0, kept=frozenset(kept)))


def end(journal: Journal, status: int, *names: str) -> None:
    """Let n1 end after some signals."""
    journal.signals += [replace(SIGNAL, name=name) for name in names]
    journal.ends.append(End(node="n1", life=1, status=status, at_s=10.5))


def stay_unready(journal: Journal, until_s: float = 14.0) -> None:
    """Let n1 fail its probes until some time."""
    times = [one * 1.0 for one in range(int(until_s))]
    journal.probes += [Probe(node="n1", at_s=at_s, ready=False) for at_s in times]


def stay_ready(journal: Journal, *nodes: str) -> None:
    """Let nodes be ready for longer than 4 s after SIGTERM."""
    for node in nodes:
        journal.starts.append((node, 1, 0.0))
        journal.signals.append(replace(SIGNAL, node=node))
        journal.ends.append(End(node=node, life=1, status=0, at_s=15.0))
        journal.probes += [Probe(node=node, at_s=9.5 + one, ready=True) for one in range(5)]


def cut_at_term(journal: Journal, **fields: Any) -> None:
    """Cut a read of n1 after its SIGTERM."""
    stop(journal)
    add_cut(journal, **fields)


def cut_after(journal: Journal, plant: Plant) -> None:
    """Cut a read of n1 after its SIGTERM, with something that excuses it."""
    cut_at_term(journal)
    plant(journal)


def cut_unread(journal: Journal, ended_s: float) -> None:
    """Cut a read that reached no member."""
    cut_at_term(journal, ended_s=ended_s)
    journal.arrivals.clear()


def cut_beside(journal: Journal, *elsewhere_s: float) -> None:
    """Cut a read of n1 beside a configuration, and others at other times."""
    configure(journal, 14.0)
    add_cut(journal)
    for number, at_s in enumerate(elsewhere_s):
        add_request(journal, f"e{number}", "READ x", sent_s=at_s, cut=True, answer=[])
        journal.arrivals.append(Arrival(request_id=f"e{number}", member="a", at_s=at_s))


def cut_at_hup(journal: Journal, at_s: float) -> None:
    """Cut a read around a SIGHUP."""
    journal.signals.append(replace(SIGNAL, name="SIGHUP", at_s=at_s))
    add_cut(journal)


def break_off(journal: Journal) -> None:
    """Let the member break off the work."""
    journal.arrivals[-1].broken = True


def write_twice(journal: Journal, *, rolled_back: bool = False) -> None:
    """Let a write take effect again, or after it was rolled back."""
    request = add_write(journal, "w1", 1)
    if rolled_back:
        lead(journal)
    add_commit(journal, request, at_s=25.0)


def refuse(journal: Journal, code: str) -> None:
    """Answer a committed write with an error."""
    add_write(journal, "w1", 1, answer=[f"ERROR {code} a", "READY I 1.1"])


def read_stale(journal: Journal, **fields: Any) -> None:
    """Read a value older than one that the session has written before."""
    add_write(journal, "w1", 1, sent_s=11.0)
    add_write(journal, "w2", 2, sent_s=12.0)
    add_read(journal, "q1", "x.1", **{"sent_s": 13.0, "began_s": 13.0, **fields})


def read_rolled_back(journal: Journal) -> None:
    """Read a value after a newer one was rolled back."""
    read_stale(journal, sent_s=30.0, began_s=30.0)
    lead(journal, "w1")


def write_superseded(journal: Journal) -> None:
    """Acknowledge a write at a former primary."""
    request = add_write(journal, "w1", 1)
    journal.commits = []
    add_commit(journal, request, superseded=True)


def write_beside(journal: Journal, name: str, node: str = "", sender: str = "n1") -> None:
    """Acknowledge a write at a former primary, sent on by a node, while a fault is in force."""
    write_superseded(journal)
    journal.arrivals.append(Arrival(request_id="w1", member="a", sender=sender, at_s=11.0))
    journal.faults.append(Fault(name=name, node=node, planned=False, start_s=10.9, end_s=11.4))


def lose_commit(journal: Journal, sync_replicas: int) -> None:
    """Promote a member that lacks an acknowledged commit."""
    journal.sync_replicas = sync_replicas
    add_write(journal, "w1", 1)
    lead(journal)


def run_transaction(journal: Journal, *places: tuple[str, int]) -> None:
    """Run statements of one transaction on connections of a member."""
    add_request(journal, "t1", "BEGIN")
    for request_id, connection in places:
        if request_id not in journal.requests:
            add_request(journal, request_id, "READ x", transaction="t1", given_up=True)
        add_run(journal, request_id, "READ x", state="T", connection=connection)


def run_read(journal: Journal, **fields: Any) -> None:
    """Run a read in some other way than it should."""
    add_request(journal, "q1", "READ x", given_up=True)
    add_run(journal, "q1", **{"text": "READ x", **fields})


def check_route(journal: Journal, answer: str = "ERROR NODB -") -> None:
    """Ask n1 for a route after its bound."""
    check = RouteCheck(node="n1", database="added", at_s=20.0, answer=answer)
    journal.route_checks.append(check)


def use_drained(journal: Journal, at_s: float) -> None:
    """Send a read to a member that drains since 5 s."""
    journal.drained.append(Drained(member="a", at_s=5.0))
    add_read(journal, "q1", sent_s=at_s)
    journal.arrivals.append(Arrival(request_id="q1", member="a", at_s=at_s))


def unread(journal: Journal) -> Journal:
    """Forget the read that every journal has."""
    journal.requests.clear()
    journal.runs.clear()
    return journal


def end_all(journal: Journal, *, served_before: bool = True, served_after: bool = False) -> None:
    """End all nodes at 10 s; they are back at 12 s."""
    journal.outages.append(Outage(at_s=10.0, back_s=12.0))
    for number, (at_s, served) in enumerate([(9.0, served_before), (25.0, served_after)]):
        if served:
            add_read(journal, f"r{number}", sent_s=at_s)
        else:
            add_request(journal, f"r{number}", "READ x", sent_s=at_s, answer=["ERROR BUSY -"])


PLANTED: dict[str, tuple[str, Plant]] = {
    "end by itself": ("FAULT", lambda j: end(j, 0)),
    "end by SIGHUP": ("FAULT", lambda j: end(j, -1, "SIGHUP")),
    "end by SIGTERM's default action": ("FAULT", lambda j: end(j, -15, "SIGTERM")),
    "SIGKILL after the grace period": ("FAULT", lambda j: end(j, -9, "SIGTERM", "grace")),
    "not ready for 10 s": ("FAULT", stay_unready),
    "cut at a member after SIGTERM": ("LOST", cut_at_term),
    "cut late, not at a member": ("LOST", lambda j: cut_unread(j, 15.3)),
    "cut at a member after SIGHUP": ("LOST", lambda j: cut_at_hup(j, 14.0)),
    "cut beside a configuration": ("LOST", cut_beside),
    "lost by a promotion": ("LOST", lambda j: lose_commit(j, 1)),
    "two effects": ("TWICE", write_twice),
    "commit after a promise": ("REFUSED", lambda j: refuse(j, "BUSY")),
    "commit that nobody asked for": (
        "UNASKED",
        lambda j: add_commit(j, add_request(j, "w1", "ROLLBACK"), items={"x": "x.9"}),
    ),
    "unknown statement": ("UNASKED", lambda j: add_run(j, "nobody", "READ x")),
    "changed statement": ("UNASKED", lambda j: run_read(j, text="READ y")),
    "signature of another request": (
        "MIXED",
        lambda j: add_request(j, "q1", "READ x", answer=["COMPLETE a-q0", "READY I -"]),
    ),
    "other values": ("PINNED", lambda j: run_read(j, values=(("zone", "z"),))),
    "other shape": ("PINNED", lambda j: run_read(j, shape="q1a")),
    "in another transaction": ("PINNED", lambda j: run_read(j, state="T")),
    "on two connections": ("PINNED", lambda j: run_transaction(j, ("r1", 1), ("r2", 2))),
    "older than the session's write": ("STALE", read_stale),
    "bounded read, 3 s old": ("STALE", lambda j: read_stale(j, kind="bounded", began_s=15.1)),
    "read of another session, 3 s old": (
        "STALE",
        lambda j: read_stale(j, session="s2", began_s=15.1),
    ),
    "write at a former primary": ("ONE", write_superseded),
    "write at a primary that is cut off": ("ONE", lambda j: write_beside(j, "primary_cut")),
    "write beside a crash of a member": ("ONE", lambda j: write_beside(j, "member_crash")),
    "write while the store is away": ("ONE", lambda j: write_beside(j, "store")),
    "write beside another frozen node": ("ONE", lambda j: write_beside(j, "frozen", "n2")),
    "write of a node that only received it": (
        "ONE",
        lambda j: write_beside(j, "frozen", "n1", sender="n2"),
    ),
    "old read while a node is frozen": ("STALE", lambda j: read_stale(disturb(j, 12.9, "n1"))),
    "old read while anything is disturbed": ("STALE", lambda j: read_stale(disturb(j, 12.9))),
    "route is not served": ("CONFIG", check_route),
    "use of a draining member": ("DRAIN", lambda j: use_drained(j, 12.5)),
    "nothing is served after an end of all nodes": ("RECOVER", end_all),
    "two nodes still ready": ("DRAIN", lambda j: stay_ready(j, "n3", "n4")),
}

ALLOWED: dict[str, Plant] = {
    "end after SIGTERM": stop,
    "end by SIGKILL": lambda j: end(j, -9, "SIGKILL"),
    "not ready for 9 s": lambda j: stay_unready(j, 10.0),
    "not ready while the store was away": lambda j: stay_unready(disturb(j)),
    "cut after a fault": lambda j: cut_after(j, lambda one: disturb(one, 11.5)),
    "cut by the member": lambda j: cut_after(j, break_off),
    "cut after the timeout": lambda j: cut_at_term(j, sent_s=14.0, ended_s=14.9),
    "cut soon, not at a member": lambda j: cut_unread(j, 15.1),
    "cut without planned work": add_cut,
    "cut before SIGHUP": lambda j: cut_at_hup(j, 15.1),
    "sent long after SIGHUP": lambda j: cut_at_hup(j, 11.0),
    "cut as often at other times": lambda j: cut_beside(j, 5.0, 25.0, 30.0, 35.0),
    "lost without synchronous replicas": lambda j: lose_commit(j, 0),
    "second effect after a rollback": lambda j: write_twice(j, rolled_back=True),
    "commit with open outcome": lambda j: refuse(j, "INDOUBT"),
    "first statement runs again": lambda j: run_transaction(j, ("r1", 1), ("r1", 2), ("r2", 2)),
    "newer write was rolled back": read_rolled_back,
    "bounded read, 2 s old": lambda j: read_stale(j, kind="bounded", began_s=14.0),
    "read of another session, 2 s old": lambda j: read_stale(j, session="s2", began_s=14.0),
    "read that began before": lambda j: read_stale(j, began_s=11.5),
    "frozen sender": lambda j: write_beside(j, "frozen", "n1"),
    "frozen sender of another node's client": lambda j: write_beside(j, "frozen", "n2", "n2"),
    "sender without a path to the member": lambda j: write_beside(j, "link_cut", "n1"),
    "sender beside busy processes": lambda j: write_beside(j, "busy_neighbours"),
    "write held up by this program": lambda j: write_beside(j, "soak_late"),
    "route is served": lambda j: check_route(j, "READY I -"),
    "route asked of a node that has just started": lambda j: check_route(start(j)),
    "use of a member that drains since 6 s": lambda j: use_drained(j, 11.0),
    "served again after an end of all nodes": lambda j: end_all(j, served_after=True),
    "not served before an end of all nodes": lambda j: end_all(unread(j), served_before=False),
    "one node still ready": lambda j: stay_ready(j, "n3"),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_violation_is_reported(name: str) -> None:
    """Guards against a check that sees nothing."""
    rule, plant = PLANTED[name]
    journal = build_journal()
    plant(journal)
    assert {one.rule for one in find_violations(journal)} == {rule}


@pytest.mark.parametrize("name", ALLOWED)
def test_an_allowed_case_is_not_reported(name: str) -> None:
    """Guards against violations that the rules do not count."""
    journal = build_journal()
    ALLOWED[name](journal)
    assert find_violations(journal) == []
