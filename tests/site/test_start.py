"""Tests of a process from its start to its exit status."""

import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from burdockrun_site import program
from burdockrun_site.command_line import EXIT_STATUSES

from tests.site.processes import (
    FRONT_PORT,
    PYTHON_PATH,
    STORE_PORT,
    GatewayProcess,
    build_settings,
    make_host,
    start_gateway,
)

# Times after the first line of the program, over the whole time that it takes to start.
SIGNAL_TIMES_S = [number * 0.02 for number in range(31)]
SIGNAL_INTERVAL_S = 0.002
PROCESSES = 2
ROOT = Path(__file__).resolve().parents[2]
EXIT_BAD_SETTINGS = 2
# The steps of writing a file, all of them in less time than the program waits for it.
WRITING_S = 0.15
# The program has been loaded by then, and still waits for settings.
WAITING_FOR_SETTINGS_S = 0.6
# Runs the program, and names each module that is imported while signals have their default action.
IMPORT_RECORDER = """
import runpy, signal, sys

class Recorder:
    def find_spec(self, name, path=None, target=None):
        actions = {signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM)}
        if signal.SIG_DFL in actions:
            print(name, file=sys.stderr)

sys.meta_path.insert(0, Recorder())
sys.argv = ["burdockrun_site", "--help"]
runpy.run_module("burdockrun_site", run_name="__main__", alter_sys=True)
"""


def test_signals_are_handled_before_other_modules_are_imported() -> None:
    """Guards against a signal that ends the process during the imports, which take long."""
    run = subprocess.run(
        [sys.executable, "-S", "-c", IMPORT_RECORDER],
        env={"PYTHONPATH": PYTHON_PATH},
        capture_output=True,
        text=True,
        check=True,
    )
    assert set(run.stderr.split()) <= {
        "burdockrun_site",
        "burdockrun_site.__main__",
        "burdockrun_start",
        "burdockrun_start.signals",
    }


def test_clients_that_wait_for_a_node_that_stops_while_it_starts_are_refused(
    tmp_path: Path,
) -> None:
    """Guards against a client whose connection ends without an answer, as the node is stopped."""
    with start_gateway(tmp_path) as gateway:
        with connect(gateway) as client:
            client.sendall(b"CONNECT urgent -\r\nQUERY q1 READ a\r\n")
            gateway.process.send_signal(signal.SIGTERM)
            assert not gateway.is_started()
            assert client.recv(1_024).startswith(b"ERROR BUSY")
        assert (gateway.wait(), gateway.errors) == (0, "")


def connect(gateway: GatewayProcess) -> socket.socket:
    """Connect as a client as soon as the process listens."""
    clients: list[socket.socket] = []

    def try_connect() -> bool:
        try:
            clients.append(socket.create_connection((gateway.host, FRONT_PORT), timeout=5.0))
        except OSError:
            return False
        return True

    gateway.wait_until(try_connect)
    return clients[0]


def sweep(folder: Path, number: signal.Signals) -> list[tuple[float, int, str]]:
    """Send a signal at each time to a process of its own; return those that ended badly."""

    def end(after_s: float) -> tuple[float, int, str]:
        with start_gateway(folder) as gateway:
            gateway.wait_until_begun()
            time.sleep(after_s)
            gateway.process.send_signal(number)
            return after_s, gateway.wait(), gateway.errors

    with ThreadPoolExecutor(PROCESSES) as executor:
        ends = list(executor.map(end, SIGNAL_TIMES_S))
    return [one for one in ends if one[1:] != (0, "")]


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_at_any_moment_of_the_start_ends_with_status_0(
    number: signal.Signals, tmp_path: Path
) -> None:
    """Guards against a planned stop during the start that counts as a failed process."""
    assert sweep(tmp_path, number) == []


def test_sighup_at_any_moment_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a process that a change of the settings file ends while it starts."""
    with start_gateway(tmp_path) as gateway:
        gateway.wait_until_begun()
        while not gateway.is_started() and gateway.process.poll() is None:
            gateway.process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
        assert gateway.process.poll() is None
        for number in (signal.SIGHUP, signal.SIGTERM):
            gateway.process.send_signal(number)
        assert (gateway.wait(), gateway.errors) == (0, "")


def test_repeated_signals_do_not_change_the_exit_status(tmp_path: Path) -> None:
    """Guards against a second signal that ends the process while it closes."""
    with start_gateway(tmp_path) as gateway:
        gateway.wait_until_started()
        while gateway.process.poll() is None:
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                gateway.process.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)
        assert (gateway.wait(), gateway.errors) == (0, "")


@pytest.mark.parametrize(
    "settings",
    [b"", b"\xff\xfe\x00N\x00o\x00d\x00e", b"x = " + b"[" * 100_000, b'Node = "front-'],
    ids=["empty", "not-utf-8", "nested", "cut-off"],
)
def test_a_settings_file_that_cannot_be_used_is_reported(settings: bytes, tmp_path: Path) -> None:
    """Guards against a traceback in place of what is wrong in the settings."""
    with start_gateway(tmp_path, settings=settings) as gateway:
        assert gateway.wait() == EXIT_BAD_SETTINGS
        lines = gateway.errors.splitlines()
        assert lines
        assert all(line.startswith(f"{gateway.settings_path}:") for line in lines), lines


def test_settings_that_are_being_written_are_read_again(tmp_path: Path) -> None:
    """Guards against a process that ends since it read a part of its settings."""
    host, former_host = make_host(), make_host()
    settings = build_settings(host).encode()
    # A complete start of the file, with addresses that the rest replaces.
    former = build_settings(former_host).partition("[platform]")[0].encode()
    with start_gateway(tmp_path, host=host, settings=former) as gateway:
        for part in (b"", settings[: len(settings) // 2], settings):
            time.sleep(WRITING_S)
            gateway.settings_path.write_bytes(part)
        gateway.wait_until_started()
        assert gateway.is_started(), gateway.errors
        with socket.create_connection((host, FRONT_PORT)):
            pass
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((former_host, FRONT_PORT))
        assert (gateway.stop(), gateway.errors) == (0, "")


@pytest.mark.parametrize("is_readable", [True, False])
def test_a_drain_ends_within_the_grace_period_of_the_present_settings(
    tmp_path: Path, is_readable: bool
) -> None:
    """Guards against SIGKILL in a drain, since the settings have changed without a signal.

    The store accepts connections and answers nothing, so that the drain takes all of its time.
    """
    host = make_host()
    before, after = (30, 6) if is_readable else (6, 6)
    settings = build_settings(host) + f"[Bounds]\nGraceS = {before}\n"
    with (
        socket.create_server((host, STORE_PORT)),
        start_gateway(tmp_path, host=host, settings=settings.encode()) as gateway,
    ):
        gateway.wait_until_started()
        changed = build_settings(host) + f"[Bounds]\nGraceS = {after}\n" if is_readable else "["
        gateway.settings_path.write_text(changed)
        stopped_s = time.monotonic()
        assert gateway.stop() == 0
        assert time.monotonic() - stopped_s < after


def test_a_stop_ends_the_wait_for_settings(tmp_path: Path) -> None:
    """Guards against a stop that is taken for bad settings while the file is read again."""
    with start_gateway(tmp_path, settings=b"") as gateway:
        gateway.wait_until_begun()
        time.sleep(WAITING_FOR_SETTINGS_S)
        assert (gateway.stop(), gateway.errors) == (0, "")


def test_exit_statuses_are_documented() -> None:
    """Guards against an exit status that neither the help nor docs/OPERATIONS.md explains."""
    rows = (ROOT / "docs/OPERATIONS.md").read_text().partition("| status |")[2].splitlines()
    documented = {row.split("|")[1].strip() for row in rows if row.startswith("| ")}
    for name, status in vars(program).items():
        if name.startswith("EXIT_"):
            assert f" {status} " in EXIT_STATUSES, name
            assert str(status) in documented, name
