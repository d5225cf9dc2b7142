"""Requests of callers and their answers."""

from dataclasses import dataclass
from typing import Annotated

from burdockrun_base import Code
from pydantic import Field

from burdockrun_messages.const import (
    MAX_DEADLINE_MS,
    MAX_NAME_LENGTH,
    Access,
    Outcome,
    TransactionStep,
)
from burdockrun_messages.models import Count, JsonValue, PassedValue

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]


@dataclass(frozen=True, kw_only=True, slots=True)
class StatementRequest:
    """Request of a caller.

    `deadline_ms` is the remaining time; `accepted_staleness_ms` None asks for current data;
    `rank` None means the least urgent rank of the service.
    """

    request_id: Name
    account: Name
    database: Name
    statement: str
    access: Access
    parameters: tuple[PassedValue, ...] = ()
    rank: str | None = None
    deadline_ms: Annotated[int, Field(ge=0, le=MAX_DEADLINE_MS)] = 5_000
    idempotent: bool = False
    accepted_staleness_ms: Annotated[int, Field(ge=0)] | None = None
    session: str | None = None
    transaction: str | None = None
    step: TransactionStep | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StatementAnswer:
    """Answer to one request; `outcome` says whether the request ran."""

    request_id: str
    outcome: Outcome
    code: Code = Code.OK
    message: str = ""
    result: JsonValue = None
    session: str | None = None
    member: str | None = None
    term: Count | None = None
    index: Count | None = None
    transaction: str | None = None
    retry_after_ms: int | None = None
    alternatives: tuple[str, ...] = ()
