"""Tests of the example files."""

from pathlib import Path

import pytest
from burdockrun_load import load_scenario
from burdockrun_settings import Ticket, check_ticket, load_settings

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
REGIONS = ("bayern", "andes-norte")


def read_ticket(region: str) -> Ticket:
    path = EXAMPLES / f"{region}-ticket.json"
    return check_ticket(path.read_text(), str(path)).unwrap()


@pytest.mark.parametrize("region", REGIONS)
def test_examples_are_valid_and_agree(region: str) -> None:
    """Guards against examples that operators cannot use as they are."""
    assert load_settings(EXAMPLES / f"{region}-settings.json").unwrap().seeds
    (service,) = read_ticket(region).services.values()
    scenario = load_scenario(EXAMPLES / f"{region}-load.json").unwrap()
    assert service is not None
    assert scenario.account == service.account
    assert set(scenario.databases) == {database.name for database in service.databases}
    assert set(scenario.ranks) == {rank.name for rank in service.ranks}


@pytest.mark.parametrize(
    ("region", "connections", "domains"), [("bayern", 16, 4), ("andes-norte", 30, 3)]
)
def test_examples_match_their_regions(region: str, connections: int, domains: int) -> None:
    """Guards against examples that differ from the regions that they describe."""
    (service,) = read_ticket(region).services.values()
    assert service is not None
    assert [len(database.members) for database in service.databases] == [3, 3, 3]
    assert {(database.connections, database.slots) for database in service.databases} == {
        (connections, 2)
    }
    found = {member.domain for database in service.databases for member in database.members}
    assert len(found) == domains
