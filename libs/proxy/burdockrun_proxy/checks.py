"""Validation of requests before they are routed."""

from dataclasses import dataclass, replace

from burdockrun_messages import (
    Code,
    Configuration,
    Database,
    Rank,
    Service,
    StatementAnswer,
    StatementRequest,
    TransactionStep,
)
from burdockrun_sessions import SessionToken, TokenCodec
from result import Err, Ok, Result

from burdockrun_proxy.models import refuse


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckedRequest:
    """Service, database, work rank and decoded session token of a valid request."""

    service: Service
    database: Database
    rank: str
    rank_order: int
    token: SessionToken


class RequestChecker:
    """Checks names, work rank, transaction fields and session token of requests."""

    def __init__(self, codec: TokenCodec) -> None:
        self._codec = codec

    def check(
        self, request: StatementRequest, configuration: Configuration
    ) -> Result[CheckedRequest, StatementAnswer]:
        """Return the objects that a request refers to, or the refusal of an invalid request."""
        if configuration.number == 0:
            return Err(refuse(request, Code.NO_CONFIGURATION, "no change ticket is in force here"))
        found = configuration.find_database(request.database)
        if found is None:
            return Err(refuse(request, Code.UNKNOWN_DATABASE, f"no database {request.database!r}"))
        service, database = found
        if service.account != request.account:
            return Err(
                refuse(
                    request,
                    Code.UNKNOWN_ACCOUNT,
                    f"database {request.database!r} does not belong to {request.account!r}",
                )
            )
        rank = find_rank(service, request.rank)
        if rank is None:
            return Err(refuse(request, Code.UNKNOWN_RANK, f"no work rank {request.rank!r}"))
        step_fault = check_step(request)
        if step_fault is not None:
            return Err(refuse(request, Code.BAD_REQUEST, step_fault))
        token = self._decode_token(request)
        if isinstance(token, Err):
            return token
        if request.deadline_ms == 0:
            return Err(refuse(request, Code.DEADLINE, "no time is left to run the request"))
        return Ok(
            CheckedRequest(
                service=service,
                database=database,
                rank=rank.name,
                rank_order=rank.order,
                token=token.ok_value,
            )
        )

    def _decode_token(self, request: StatementRequest) -> Result[SessionToken, StatementAnswer]:
        if request.session is None:
            return Ok(SessionToken())
        decoded = self._codec.decode(request.session, request.account)
        if isinstance(decoded, Ok):
            return Ok(decoded.ok_value)
        answer = refuse(request, Code.BAD_SESSION, str(decoded.err_value))
        return Err(replace(answer, session=None))


def find_rank(service: Service, name: str | None) -> Rank | None:
    """Return the rank called `name`, or the least urgent one for None."""
    if name is None:
        return max(service.ranks, key=lambda rank: rank.order)
    return next((rank for rank in service.ranks if rank.name == name), None)


def check_step(request: StatementRequest) -> str | None:
    """Return what is wrong with the transaction fields of a request, or None."""
    if request.step is TransactionStep.BEGIN and request.transaction is not None:
        return "begin takes no transaction id"
    if request.step not in (None, TransactionStep.BEGIN) and request.transaction is None:
        return f"step {request.step} needs a transaction id"
    if request.step is None and request.transaction is not None:
        return "a transaction id needs a step"
    return None
