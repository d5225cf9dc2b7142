"""Tests of checking, applying and storing change tickets."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from burdockrun_messages import Configuration
from burdockrun_settings import (
    Ticket,
    apply_ticket,
    apply_ticket_text,
    check_ticket,
    check_ticket_against,
    configuration_from_json,
    configuration_to_json,
    ticket_from_json,
    ticket_to_json,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.settings.common import make_members, make_service, make_ticket


def read_ticket(document: dict[str, Any]) -> Ticket:
    return check_ticket(json.dumps(document), "t.json").unwrap()


def test_valid_ticket_with_comments_is_read() -> None:
    """Guards against refusing comments or losing values of a valid file."""
    text = "// reason for the change\n" + json.dumps(make_ticket())
    ticket = check_ticket(text, "t.json").unwrap()
    service = ticket.services["wendedb"]
    assert service is not None
    assert [rank.name for rank in service.ranks] == ["urgent", "routine"]
    assert service.databases[0].connections == 16
    assert [member.control_port for member in service.databases[0].members] == [7001, 7003, 7005]


FAULTS: dict[str, Callable[[dict[str, Any]], Any]] = {
    "ranks: expected floors": lambda s: s["ranks"][0].update(floor=0.81),
    "ranks: expected a different order": lambda s: s["ranks"][1].update(order=0),
    "ranks: expected a different name": lambda s: s["ranks"][0].update(name="routine"),
    "connections: expected at least 6": lambda s: s["databases"]["turns"].update(connections=5),
    "host: expected a numeric IPv4 address": lambda s: s["databases"]["turns"]["members"][
        "c"
    ].update(host="localhost"),
    "b.port: expected an address that is used once": lambda s: s["databases"]["turns"]["members"][
        "b"
    ].update(port=7000),
    "stale_reads_ms.nobody: expected a rank": lambda s: s["stale_reads_ms"].update(nobody=1),
    "wendedb.colour: expected no unknown key": lambda s: s.update(colour="red"),
    "databases.a/b: expected a name": lambda s: s["databases"].update(
        {"a/b": s["databases"]["turns"] | {"members": make_members(8000)}}
    ),
    "members: expected a member that is not leaving": lambda s: [
        member.update(leaving=True) for member in s["databases"]["turns"]["members"].values()
    ],
    "ranks[0].target_ms: expected": lambda s: s["ranks"][0].update(target_ms="50"),
    "turns.slots: expected a value": lambda s: s["databases"]["turns"].pop("slots"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_is_found_with_its_place(fault: str) -> None:
    """Guards against accepting a ticket that would harm a service."""
    service = make_service()
    FAULTS[fault](service)
    findings = check_ticket(json.dumps(make_ticket(wendedb=service)), "t.json").unwrap_err()
    assert [fault in str(item) for item in findings] == [True], str(findings)


def test_all_findings_are_reported_together() -> None:
    """Guards against rules that are skipped once another fault was found."""
    service = make_service()
    for change in FAULTS.values():
        change(service)
    text = str(check_ticket(json.dumps(make_ticket(wendedb=service)), "t.json").unwrap_err())
    assert [fault for fault in FAULTS if fault not in text] == []


@pytest.mark.parametrize("host", ["::1", "0.0.0.0", "224.0.0.1", "127.1", "nbg.example", ""])
def test_host_must_be_one_ipv4_address(host: str) -> None:
    """Guards against addresses that proxies cannot put into a URL or cannot reach."""
    service = make_service()
    service["databases"]["turns"]["members"]["a"]["host"] = host
    findings = check_ticket(json.dumps(make_ticket(s=service)), "t.json").unwrap_err()
    assert [item.place.rpartition(".")[2] for item in findings] == ["host"]


@pytest.mark.parametrize("author", ["", "  ", "two\nlines", "\u0007"])
def test_author_is_one_line(author: str) -> None:
    """Guards against control characters in a ticket that garble lists and logs."""
    findings = check_ticket(json.dumps(make_ticket() | {"author": author}), "t.json").unwrap_err()
    assert [item.place for item in findings] == ["t.json: author"]


def test_malformed_json_names_the_line() -> None:
    """Guards against a syntax fault that the author cannot locate."""
    findings = check_ticket('{\n"author": "a",\n"reason": }', "t.json").unwrap_err()
    assert [item.place for item in findings] == ["t.json:3"]


def test_repeated_key_is_refused() -> None:
    """Guards against a second entry that silently replaces the first."""
    findings = check_ticket('{"services": {"a": null, "a": null}}', "t.json").unwrap_err()
    assert "'a' twice" in str(findings)


def test_text_that_looks_like_a_comment_is_kept() -> None:
    """Guards against values that are cut at // or /*."""
    reason = 'see https://wiki/"/*x*/'
    text = "/* a\n // b */" + json.dumps(make_ticket() | {"reason": reason}, indent=1) + "// end"
    assert check_ticket(text, "t.json").unwrap().reason == reason


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.text(max_size=40) | st.recursive(st.none() | st.floats(), st.lists).map(json.dumps))
def test_any_text_gives_findings(text: str) -> None:
    """Guards against exceptions on malformed input."""
    assert check_ticket(text, "t.json").unwrap_err()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)
PLACES = ["", "ranks", "ranks.0", "databases", "databases.turns", "databases.turns.members.a"]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(place=st.sampled_from(PLACES), value=JSON_VALUES, key=st.sampled_from(["", "name", "port"]))
def test_value_of_any_type_gives_findings_or_a_ticket(place: str, value: Any, key: str) -> None:
    """Guards against exceptions in rules that meet a value of an unexpected type."""
    document: Any = {"services": {"s": make_service()}}
    target: Any = document["services"]
    parts = ["s", *[part for part in place.split(".") if part], *([key] if key else [])]
    for part in parts[:-1]:
        target = target[int(part)] if part.isdigit() else target[part]
    if isinstance(target, list):
        target[0] = value
    else:
        target[parts[-1]] = value
    document |= {"author": "a", "reason": "r"}
    check_ticket(json.dumps(document), "t.json")


def test_deep_nesting_is_refused() -> None:
    """Guards against a traceback from the recursion limit."""
    assert check_ticket("[" * 100_000, "t.json").is_err()
    assert check_ticket('{"a":' * 20_000, "t.json").is_err()


def test_ticket_replaces_and_removes_whole_services() -> None:
    """Guards against remains of an earlier state of a service."""
    first = read_ticket(make_ticket(a=make_service("x", 7000), b=make_service("y", 7100)))
    configuration = apply_ticket(Configuration(), first)
    second = read_ticket(make_ticket(a=make_service("z", 7200)) | {"number": 2})
    document = make_ticket(b=None)
    third = read_ticket(document)
    configuration = apply_ticket(apply_ticket(configuration, second), third)
    assert configuration.number == 3
    assert list(configuration.services) == ["a"]
    assert configuration.find_database("x") is None
    assert configuration.find_database("z") is not None


def test_ticket_is_checked_against_the_present_state() -> None:
    """Guards against tickets that collide with services they do not name."""
    present = apply_ticket(Configuration(), read_ticket(make_ticket()))
    ticket = read_ticket(make_ticket(other=make_service()) | {"number": 7})
    text = str(check_ticket_against(ticket, present))
    assert "number: expected 2" in text
    assert "other.databases.turns: expected a database name that no other service uses" in text
    assert "127.0.0.1:7000, also of wendedb.turns.a" in text
    assert "ticket: services.gone" in str(
        check_ticket_against(read_ticket(make_ticket(gone=None)), present)
    )


@pytest.mark.parametrize(("names", "allowed"), [("abx", True), ("axy", False), ("ab", True)])
def test_change_keeps_a_majority_of_the_members(names: str, allowed: bool) -> None:
    """Guards against a ticket that drops every member holding an acknowledged write."""
    present = apply_ticket(Configuration(), read_ticket(make_ticket()))
    service = make_service()
    service["databases"]["turns"]["members"] = make_members(names=names)
    ticket = read_ticket(make_ticket(wendedb=service))
    assert (not check_ticket_against(ticket, present)) is allowed


def test_stored_forms_return_the_same_values() -> None:
    """Guards against values that are lost when nodes exchange tickets."""
    ticket = read_ticket(make_ticket(a=make_service(), b=None) | {"number": 5})
    assert ticket_from_json(ticket_to_json(ticket)).unwrap() == ticket
    configuration = apply_ticket(Configuration(number=4), ticket)
    assert configuration_from_json(configuration_to_json(configuration)).unwrap() == configuration
    assert (
        apply_ticket_text(Configuration(number=4), ticket_to_json(ticket)).unwrap() == configuration
    )
    assert ticket_from_json('{"author": 3}').is_err()
    assert configuration_from_json("[").is_err()


def test_configuration_of_910_databases_stays_under_1_mb() -> None:
    """Guards against snapshots that exceed the platform's limit for values."""
    services = {}
    for index in range(91):
        service = make_service()
        service["databases"] = {
            f"database-{index}-{number}": {
                "connections": 16,
                "slots": 2,
                "members": make_members(1_000 + 60 * index + 6 * number),
            }
            for number in range(10)
        }
        services[f"service-{index}"] = service
    ticket = read_ticket(make_ticket(**dict(list(services.items())[:10])))
    configuration = apply_ticket(Configuration(), ticket)
    size_of_10_services = len(configuration_to_json(configuration))
    assert size_of_10_services * 9.1 < 1_000_000
