"""Scenario files and the arrivals that they describe."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from burdockrun_base import Findings
from burdockrun_settings import (
    FileModel,
    Name,
    Number,
    add_validation_errors,
    parse_document,
    read_document,
)
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from burdockrun_load.const import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_SESSIONS,
    MAX_PHASE_MS,
    MAX_RATE_PER_S,
    MAX_SESSIONS,
)

Share = Annotated[Number, Field(ge=0, le=1)]
Rate = Annotated[Number, Field(ge=0, le=MAX_RATE_PER_S)]
PositiveInt = Annotated[int, Field(strict=True, ge=1)]


class RankProfile(FileModel):
    """Requests of one work rank.

    `read_share` of the requests are reads, and `stale_share` of the reads accept data up to
    `accepted_staleness_ms` old; `non_idempotent_share` of the writes must run at most once.
    """

    read_share: Share
    deadline_ms: PositiveInt = DEFAULT_DEADLINE_MS
    stale_share: Share = 0.0
    accepted_staleness_ms: Annotated[int, Field(strict=True, ge=0)] | None = None
    non_idempotent_share: Share = 0.0


class Phase(FileModel):
    """Interval with constant rates per rank, in requests per second.

    Requests of phases with `flood` are also reported separately.
    """

    name: Name
    duration_ms: Annotated[int, Field(strict=True, ge=1, le=MAX_PHASE_MS)]
    rates_per_s: dict[Name, Rate]
    flood: bool = False


class Scenario(FileModel):
    """Load of one client account on the databases of its service."""

    account: Name
    databases: Annotated[list[Name], Field(min_length=1)]
    ranks: Annotated[dict[Name, RankProfile], Field(min_length=1)]
    phases: Annotated[list[Phase], Field(min_length=1)]
    seed: int = 1
    sessions: Annotated[int, Field(strict=True, ge=1, le=MAX_SESSIONS)] = DEFAULT_SESSIONS
    roam_probability: Share = 0.0
    max_in_flight: PositiveInt = DEFAULT_MAX_IN_FLIGHT

    @property
    def duration_ms(self) -> int:
        """Return the duration of all phases."""
        return sum(phase.duration_ms for phase in self.phases)


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One planned request; `at_ms` is its intended time of sending since the start of the run."""

    at_ms: float
    rank: str
    phase: str


def load_scenario(path: str | Path) -> Result[Scenario, Findings]:
    """Return the scenario in a JSON file with comments, or all errors found in it."""
    text = read_document(Path(path))
    if isinstance(text, Err):
        return text
    return check_scenario(text.ok_value, str(path))


def check_scenario(text: str, place: str) -> Result[Scenario, Findings]:
    """Return the scenario in a JSON document with comments, or all errors found in it."""
    document = parse_document(text, place)
    if isinstance(document, Err):
        return document
    findings = Findings()
    try:
        scenario = Scenario.model_validate(document.ok_value)
    except ValidationError as error:
        add_validation_errors(error, place, findings)
        return Err(findings)
    for number, phase in enumerate(scenario.phases):
        for rank in phase.rates_per_s:
            if rank not in scenario.ranks:
                findings.add(
                    f"{place}: phases[{number}].rates_per_s.{rank}",
                    expected=f"a rank of the scenario: {', '.join(scenario.ranks)}",
                    found=repr(rank),
                )
    return Err(findings) if findings else Ok(scenario)


def list_arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """Yield Poisson arrivals of all phases in order of time; equal seeds give equal arrivals."""
    rng = random.Random(f"{scenario.seed}:arrivals")
    start_ms = 0.0
    for phase in scenario.phases:
        end_ms = start_ms + phase.duration_ms
        ranks, rates = list(phase.rates_per_s), list(phase.rates_per_s.values())
        at_ms = start_ms
        while sum(rates) > 0:
            at_ms += rng.expovariate(sum(rates) / 1_000)
            if at_ms >= end_ms:
                break
            rank = rng.choices(ranks, weights=rates)[0]
            yield Arrival(at_ms=at_ms, rank=rank, phase=phase.name)
        start_ms = end_ms


def choose_rank(scenario: Scenario, rng: random.Random) -> tuple[str, str]:
    """Return a random rank and phase, weighted by their number of requests in the scenario."""
    choices = [
        (rank, phase.name, rate * phase.duration_ms)
        for phase in scenario.phases
        for rank, rate in phase.rates_per_s.items()
    ]
    weights = [weight for _, _, weight in choices]
    rank, phase, _ = rng.choices(choices, weights=weights)[0]
    return rank, phase
