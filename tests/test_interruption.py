"""Test of a test run that is ended by a signal."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time

import pytest

ROOT = pathlib.Path(__file__).parents[1]
# A test that starts a fleet.
FLEET_TEST = "tests/test_service.py"
MIN_PROCESSES = 5
START_LIMIT_S = 60.0
END_LIMIT_S = 30.0


def children(pid):
    """Returns the ids of a process's children."""
    found = set()
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            # The process has ended.
            continue
        state, parent = fields[0], int(fields[1])
        if parent == pid and state != "Z":
            found.add(int(path.parent.name))
    return found


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_processes_end_with_a_run_that_is_ended(number):
    """Guards against fleets that live on and hold their addresses."""
    command = [sys.executable, "-m", "pytest", "-x", FLEET_TEST]
    with subprocess.Popen(
        command,
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.STDOUT,
        # As in a background command of a shell.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
    ) as run:
        try:
            end = time.monotonic() + START_LIMIT_S
            while len(children(run.pid)) < MIN_PROCESSES:
                assert time.monotonic() < end, "the fleet did not start"
                time.sleep(0.1)
            started = children(run.pid)
            run.send_signal(number)
            run.wait(END_LIMIT_S)
        finally:
            run.kill()
    alive = [pid for pid in started if pathlib.Path(f"/proc/{pid}").exists()]
    for pid in alive:
        # Ends only processes that this test has started.
        subprocess.run(["kill", "-9", str(pid)], check=False)
    assert not alive
