"""Rules of a ticket file that involve several of its values.

They run on the parsed document and not on the validated models, so that their findings are reported
together with those of the models. They skip values of a wrong type, which the models report.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from burdockrun_base import Findings

from burdockrun_settings.const import (
    CONF_CONNECTIONS,
    CONF_CONTROL_PORT,
    CONF_DATABASES,
    CONF_FLOOR,
    CONF_HOST,
    CONF_LEAVING,
    CONF_MEMBERS,
    CONF_NAME,
    CONF_ORDER,
    CONF_PORT,
    CONF_RANKS,
    CONF_SERVICES,
    CONF_STALE_READS_MS,
    FLOOR_SUM_TOLERANCE,
    MAX_FLOOR_SUM,
    MIN_CONNECTIONS_PER_MEMBER,
)
from burdockrun_settings.schema import describe_value

JsonObject = dict[str, Any]


def check_rules(document: JsonObject, place: str, findings: Findings) -> None:
    """Add the violations of rules that involve several values to the findings."""
    services = _list_objects(document.get(CONF_SERVICES))
    for name, service in services:
        path = f"{place}: {CONF_SERVICES}.{name}"
        _check_ranks(service, path, findings)
        _check_stale_reads(service, path, findings)
        for database, content in _list_objects(service.get(CONF_DATABASES)):
            _check_database(content, f"{path}.{CONF_DATABASES}.{database}", findings)
    _check_database_names(services, place, findings)
    _check_addresses(services, place, findings)


def _list_objects(value: object) -> list[tuple[str, JsonObject]]:
    if not isinstance(value, dict):
        return []
    return [(name, item) for name, item in value.items() if isinstance(item, dict)]


def _list_ranks(service: JsonObject) -> list[JsonObject]:
    ranks = service.get(CONF_RANKS)
    return [rank for rank in ranks if isinstance(rank, dict)] if isinstance(ranks, list) else []


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _check_ranks(service: JsonObject, path: str, findings: Findings) -> None:
    ranks = _list_ranks(service)
    for key in (CONF_NAME, CONF_ORDER):
        values = [rank[key] for rank in ranks if isinstance(rank.get(key), str | int)]
        for value, count in Counter(values).items():
            if count > 1:
                findings.add(
                    f"{path}.{CONF_RANKS}",
                    expected=f"a different {key} for each rank",
                    found=f"{value!r} {count} times",
                )
    total = sum(rank[CONF_FLOOR] for rank in ranks if _is_number(rank.get(CONF_FLOOR)))
    if total > MAX_FLOOR_SUM + FLOOR_SUM_TOLERANCE:
        findings.add(
            f"{path}.{CONF_RANKS}",
            expected=f"floors with a sum of at most {MAX_FLOOR_SUM}",
            found=f"a sum of {total:.4g}",
        )


def _check_stale_reads(service: JsonObject, path: str, findings: Findings) -> None:
    stale_reads = service.get(CONF_STALE_READS_MS)
    if not isinstance(stale_reads, dict):
        return
    known = [rank.get(CONF_NAME) for rank in _list_ranks(service)]
    for name in stale_reads:
        if name not in known:
            findings.add(
                f"{path}.{CONF_STALE_READS_MS}.{name}",
                expected=f"a rank of the service: {', '.join(map(str, known))}",
                found=describe_value(name),
            )


def _check_database(database: JsonObject, path: str, findings: Findings) -> None:
    members = _list_objects(database.get(CONF_MEMBERS))
    if not members:
        return
    connections = database.get(CONF_CONNECTIONS)
    minimum = MIN_CONNECTIONS_PER_MEMBER * len(members)
    if _is_number(connections) and connections < minimum:  # type: ignore[operator]
        findings.add(
            f"{path}.{CONF_CONNECTIONS}",
            expected=f"at least {minimum}: {MIN_CONNECTIONS_PER_MEMBER} for each member",
            found=describe_value(connections),
        )
    if all(member.get(CONF_LEAVING) is True for _, member in members):
        findings.add(
            f"{path}.{CONF_MEMBERS}",
            expected="a member that is not leaving",
            found=f"{len(members)} members that are all leaving",
        )


def _check_database_names(
    services: list[tuple[str, JsonObject]], place: str, findings: Findings
) -> None:
    owners: dict[str, str] = {}
    for service, content in services:
        for database, _ in _list_objects(content.get(CONF_DATABASES)):
            owner = owners.setdefault(database, service)
            if owner != service:
                findings.add(
                    f"{place}: {CONF_SERVICES}.{service}.{CONF_DATABASES}.{database}",
                    expected="a database name that no other service uses",
                    found=f"the name of a database of service {owner!r}",
                )


def _check_addresses(
    services: list[tuple[str, JsonObject]], place: str, findings: Findings
) -> None:
    owners: dict[tuple[str, int], str] = {}
    for path, member in _list_members(services):
        for key in (CONF_PORT, CONF_CONTROL_PORT):
            host, port = member.get(CONF_HOST), member.get(key)
            if not isinstance(host, str) or not isinstance(port, int):
                continue
            owner = owners.setdefault((host, port), f"{path}.{key}")
            if owner != f"{path}.{key}":
                findings.add(
                    f"{place}: {path}.{key}",
                    expected="an address that is used once",
                    found=f"{host}:{port}, also at {owner}",
                )


def _list_members(services: list[tuple[str, JsonObject]]) -> Iterator[tuple[str, JsonObject]]:
    for service, content in services:
        for database, entry in _list_objects(content.get(CONF_DATABASES)):
            for member, values in _list_objects(entry.get(CONF_MEMBERS)):
                path = f"{service}.{CONF_DATABASES}.{database}.{CONF_MEMBERS}.{member}"
                yield f"{CONF_SERVICES}.{path}", values
