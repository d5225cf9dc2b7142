"""Explains where a request would go now, without sending it and without any change of state."""

from dataclasses import dataclass
from typing import Any, Final

from burdockrun_base import Application, LogPosition
from burdockrun_groups import AccountTable, Freshness, Requirement, Route, choose_member
from burdockrun_statements import Commit, SessionState, Statement, StatementKind
from result import Err, Ok, Result

from burdockrun_gateway.attempts import Attempt
from burdockrun_gateway.const import ADMISSION_SHARE, RETRY_AFTER_MS
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group
from burdockrun_gateway.local_answers import LocalAnswers
from burdockrun_gateway.placement import Placement
from burdockrun_gateway.pools import MemberPool

NO_DATABASE: Final = "no ticket in force names this database"
# The name is not repeated: it may be a key that was given in place of the name.
NO_ACCOUNT: Final = "the ticket in force has no account of this name"
NO_MEMBERS: Final = "the members of this database are not known yet"


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteQuestion:
    """Request to explain; `after` is the position of the last commit of its session."""

    database: str
    account: str
    writes: bool
    item: str = ""
    after: LogPosition | None = None


class RouteExplainer:
    """Explains decisions of one node with the code that makes them."""

    def __init__(self, app: Application, directory: Directory) -> None:
        self._app = app
        self._directory = directory

    def explain(self, question: RouteQuestion) -> Result[dict[str, Any], str]:
        """Return the candidates and the choice as fields of a JSON object, or why there are none.

        Ages and times are in ms.
        """
        route = self._directory.find_route(question.database)
        if route is None:
            return Err(NO_DATABASE)
        accounts = self._directory.configuration.accounts
        checks_account = accounts is not None and not route.public
        if accounts is not None and checks_account and question.account not in accounts.accounts:
            return Err(NO_ACCOUNT)
        group = self._directory.find_group(route.service)
        if group is None:
            return Err(NO_MEMBERS)
        account = question.account if checks_account else ""
        case = _Case(self._app, question, route, group, account)
        return Ok(
            {
                "database": question.database,
                "account": account or None,
                "kind": "write" if question.writes else "read",
                "item": question.item or None,
                "service": route.service,
                "freshness": route.freshness.value,
                "rank": route.rank,
                "target_ms": route.target_ms,
                "account_limit": _describe_limit(accounts, account),
                **case.describe(),
            }
        )


class _Case:
    """One question with the state of this node at one moment."""

    def __init__(
        self, app: Application, question: RouteQuestion, route: Route, group: Group, account: str
    ) -> None:
        self._now_ms = app.clock.now_ms()
        self._route = route
        self._group = group
        session = SessionState()
        epoch = group.primary_lease.epoch(self._now_ms)
        if question.after is not None:
            session.commit = Commit(position=question.after, epoch=epoch, at_ms=self._now_ms)
        kind = StatementKind.WRITE if question.writes else StatementKind.READ
        self._attempt = Attempt(
            statement=Statement(kind=kind, name=question.item),
            shape=None,
            route=route,
            group=group,
            arrived_ms=self._now_ms,
            started_ms=self._now_ms,
            to_primary=question.writes or route.freshness is Freshness.PRIMARY,
        )
        self._requirement = group.find_requirement(
            self._now_ms,
            route.max_staleness_ms,
            session.commit if route.freshness is Freshness.SESSION else None,
        )
        self._options = {option.member_id: option for option in group.read_options(set())}
        self._chosen = Placement(app, session, LocalAnswers(app), account).choose(self._attempt)

    def describe(self) -> dict[str, Any]:
        lease = self._group.primary_lease
        required = self._requirement
        chosen = self._chosen
        refusal = self._find_refusal(chosen)
        return {
            "primary": lease.primary(self._now_ms) or None,
            "primary_known_by": lease.basis(self._now_ms),
            "record_age_ms": self._now_ms - lease.record_sent_ms if lease.record else None,
            "required_position": _describe_requirement(required, self._now_ms),
            "candidates": [self._describe_member(pool) for pool in self._group.pools.values()],
            "choice": chosen.entry.id if chosen is not None and refusal is None else None,
            "refusal": refusal,
            "retry_after_ms": RETRY_AFTER_MS if refusal is not None else None,
        }

    def _find_refusal(self, chosen: MemberPool | None) -> str | None:
        if chosen is None:
            return "no member is available"
        limit_ms = max(0.0, self._attempt.left_ms(ADMISSION_SHARE, self._now_ms))
        return "too much work is waiting" if chosen.expected_wait_ms() > limit_ms else None

    def _describe_member(self, pool: MemberPool) -> dict[str, Any]:
        home = pool.homes.pick()
        reasons = self._weigh_primary(pool) if self._attempt.to_primary else self._weigh_read(pool)
        return {
            "member": pool.entry.id,
            "domain": pool.entry.domain,
            "role": "primary" if self._group.is_primary(pool) else "replica",
            "position": _encode(pool.position),
            "answer_age_ms": self._now_ms - pool.last_contact_ms,
            "home": home.node if home is not None else None,
            "expected_ms": round(pool.expected_ms(), 1),
            "expected_wait_ms": round(pool.expected_wait_ms(), 1),
            "chosen": pool is self._chosen,
            "for": [text for speaks_for, text in reasons if speaks_for],
            "against": [text for speaks_for, text in reasons if not speaks_for],
        }

    def _weigh_primary(self, pool: MemberPool) -> list[tuple[bool, str]]:
        only = "only the primary runs writes" if self._attempt.writes else "the route reads there"
        if not self._group.is_primary(pool):
            return [(False, f"not the primary; {only}")]
        if not self._group.may_use(pool):
            return [(False, "it is the primary, but its entry cannot be read")]
        if pool.is_lost():
            return [(False, "it is the primary, but does not answer")]
        if not self._attempt.writes and self._group.readable_primary_pool() is not pool:
            return [(False, "it is to be the primary, but is not known to lead yet")]
        return [(True, f"it is the primary; {only}")]

    def _weigh_read(self, pool: MemberPool) -> list[tuple[bool, str]]:
        option = self._options.get(pool.entry.id)
        if not self._group.may_use(pool):
            return [(False, "its entry cannot be read")]
        if option is None:
            draining = pool.entry.draining and not self._group.is_primary(pool)
            return [(False, "it is draining" if draining else "no connection, or it is silent")]
        may_serve = choose_member(
            [option],
            self._requirement,
            self._now_ms,
            replicas_allowed=self._route.freshness is not Freshness.PRIMARY,
        )
        if option.is_primary:
            return [(True, "always current"), (False, "kept free for work that only it can do")]
        if self._requirement is None:
            return [(False, "no known position is recent enough for a replica")]
        if may_serve is None:
            return [(False, "has not applied the required position")]
        position = self._requirement.position
        if option.position is not None and option.position.has_reached(position):
            return [(True, "has applied the required position")]
        return [(True, "has probably applied the required position by now")]


def _describe_requirement(required: Requirement | None, now_ms: int) -> dict[str, Any] | None:
    if required is None:
        return None
    return {"position": _encode(required.position), "age_ms": now_ms - required.known_ms}


def _describe_limit(accounts: AccountTable | None, account: str) -> dict[str, Any] | None:
    known = accounts.accounts.get(account) if accounts is not None else None
    if known is None or known.rate_per_s is None:
        return None
    return {"rate_per_s": known.rate_per_s, "burst": known.burst}


def _encode(position: LogPosition | None) -> str | None:
    return f"{position.term}.{position.index}" if position is not None else None
