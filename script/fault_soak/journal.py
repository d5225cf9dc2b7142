"""What clients, members, the platform and the operator have seen; times in s since the start."""

import json
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

ALWAYS_S = float("inf")


@dataclass(kw_only=True)
class Request:
    """Statement of a client, with its answer."""

    id: str
    session: str
    node: str
    kind: str
    text: str
    # First statement of its transaction, empty outside of one.
    transaction: str = ""
    # First byte of the statement, of its transaction if it is in one.
    began_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = ALWAYS_S
    answer: list[str] = field(default_factory=list)
    # Whether the connection ended before the answer, and whether the client ended it.
    cut: bool = False
    given_up: bool = False
    # Session values and shape of the prepared statement that must be in force.
    values: tuple[tuple[str, str], ...] = ()
    shape: str = ""
    # Writes that take effect when this statement succeeds, as item and data.
    writes: dict[str, str] = field(default_factory=dict)

    @property
    def error(self) -> str:
        """Return the error code, or an empty string."""
        errors = [line.split(" ")[1] for line in self.answer if line.startswith("ERROR")]
        return errors[0] if errors else ""

    @property
    def succeeded(self) -> bool:
        """Return whether the answer is complete and has no error."""
        return not self.cut and not self.given_up and bool(self.answer) and not self.error


@dataclass(kw_only=True)
class Arrival:
    """Statement at a member; `broken` when the member did not answer it."""

    request_id: str
    member: str
    # Node that has sent it to the member, if known.
    sender: str = ""
    at_s: float
    done_s: float = ALWAYS_S
    broken: bool = False


@dataclass(frozen=True, kw_only=True)
class Run:
    """Statement that a member has run."""

    at_s: float
    request_id: str
    member: str
    connection: int
    text: str
    state: str
    values: tuple[tuple[str, str], ...]
    shape: str
    rows: list[str]


@dataclass(frozen=True, kw_only=True)
class Committed:
    """Commit in the log of a member; `superseded` when another member led a newer term."""

    request_id: str
    member: str
    items: dict[str, str]
    at_s: float
    superseded: bool


@dataclass(frozen=True, kw_only=True)
class Lead:
    """Promotion that has taken effect, with the ids of the commits in the log."""

    member: str
    term: int
    at_s: float
    kept: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class Signal:
    """Signal to one life of a gateway; `handles` when its interpreter had set up signals."""

    node: str
    life: int
    name: str
    at_s: float
    age_s: float
    handles: bool


@dataclass(frozen=True, kw_only=True)
class End:
    """End of one life of a gateway."""

    node: str
    life: int
    status: int
    at_s: float


@dataclass(kw_only=True)
class Fault:
    """Disruption of a node, or of everything when `node` is empty."""

    name: str
    node: str
    planned: bool
    start_s: float
    end_s: float = ALWAYS_S


@dataclass(frozen=True, kw_only=True)
class Probe:
    """Answer to a readiness probe."""

    node: str
    at_s: float
    ready: bool


@dataclass(frozen=True, kw_only=True)
class RouteCheck:
    """Session for a database whose route was acknowledged some time before."""

    node: str
    database: str
    at_s: float
    answer: str


@dataclass(frozen=True, kw_only=True)
class Drained:
    """Acknowledgement that a member is draining."""

    member: str
    at_s: float


@dataclass(frozen=True, kw_only=True)
class Outage:
    """End of all nodes at once; `back_s` when the last one was started again."""

    at_s: float
    back_s: float


@dataclass(kw_only=True)
class Journal:
    """All that was seen."""

    requests: dict[str, Request] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    commits: list[Committed] = field(default_factory=list)
    leads: list[Lead] = field(default_factory=list)
    starts: list[tuple[str, int, float]] = field(default_factory=list)
    signals: list[Signal] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    route_checks: list[RouteCheck] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    finished_s: float = 0.0
    sync_replicas: int = 0
    _started_s: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Return the time since the start in s."""
        return time.monotonic() - self._started_s

    def write(self, path: Path) -> None:
        """Write everything as JSON lines, in order of time."""
        kinds: list[Iterable[Any]] = [
            self.requests.values(),
            self.arrivals,
            self.runs,
            self.commits,
            self.leads,
            self.signals,
            self.ends,
            self.faults,
            self.route_checks,
            self.drained,
            self.outages,
        ]
        lines = [{"seen": type(one).__name__, **asdict(one)} for kind in kinds for one in kind]
        lines.sort(
            key=lambda one: float(one.get("at_s", one.get("sent_s", one.get("start_s", 0.0))))
        )
        with path.open("w") as file:
            file.writelines(json.dumps(one, default=sorted) + "\n" for one in lines)
