"""Tests of loading the proxy's settings."""

from pathlib import Path

from burdockrun_settings import check_settings, load_settings

from tests.settings.common import make_settings


def test_settings_with_defaults_are_read(tmp_path: Path) -> None:
    """Guards against a valid file that is refused."""
    path = tmp_path / "settings.json"
    path.write_text("/* node of the first rack */" + make_settings())
    loaded = load_settings(path).unwrap()
    assert (loaded.info.node, loaded.platform.port, loaded.statsd) == ("p1", 9100, None)


def test_own_address_among_the_seeds_is_left_out() -> None:
    """Guards against a node that contacts itself."""
    seeds = [
        {"node": name, "domain": "nbg", "host": "127.0.0.1", "port": 9000} for name in ("p1", "p2")
    ]
    loaded = check_settings(make_settings(seeds=seeds), "s.json").unwrap()
    assert [node.node for node in loaded.seed_nodes] == ["p2"]


def test_all_findings_are_reported_and_keys_stay_secret() -> None:
    """Guards against reports of one fault per attempt and against session keys in logs."""
    text = make_settings(
        session_keys=["shortsecret"], port="9000", drain_timeout_ms=0, shade=1, platform={}
    )
    findings = check_settings(text, "s.json").unwrap_err()
    places = {item.place.removeprefix("s.json: ") for item in findings}
    assert places == {
        "session_keys[0]",
        "port",
        "drain_timeout_ms",
        "shade",
        "platform.host",
        "platform.port",
    }
    assert "shortsecret" not in str(findings)


def test_keys_must_exist_and_differ() -> None:
    """Guards against unsigned sessions and key rotations without effect."""
    for keys in ([], ["0123456789abcdef"] * 2):
        findings = check_settings(make_settings(session_keys=keys), "s.json").unwrap_err()
        assert [item.place for item in findings] == ["s.json: session_keys"]


def test_unreadable_files_are_findings(tmp_path: Path) -> None:
    """Guards against tracebacks for files that are absent or not text."""
    assert "readable file" in str(load_settings(tmp_path / "absent").unwrap_err())
    (tmp_path / "binary").write_bytes(b"{\n\xff}")
    assert "binary:2: expected text in UTF-8" in str(
        load_settings(tmp_path / "binary").unwrap_err()
    )
