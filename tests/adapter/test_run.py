"""Tests of the gateway's process on the platform."""

from __future__ import annotations

import pathlib
import signal
import time

from sapphire_bench.loopback import reserve_network
from soak.processes import Gateway, killed_on_exit

# The interpreter itself needs this long at most, also on a busy machine, until
# it runs the gateway's code.
INTERPRETER_START_S = 10.0
# Shortest time for which signals are sent, and the longest, after which the
# gateway must serve, also on a busy machine.
SIGNALS_S = 2.0
MAX_START_S = 20.0
SIGNAL_INTERVAL_S = 0.02


def test_sighup_does_not_end_a_process_that_is_starting(tmp_path):
    """The settings may change at any time, and are read at the start anyway."""
    with reserve_network() as network:
        gateway = Gateway("vm1", f"{network}.0.1", "za", tmp_path)
        gateway.write_settings(f"{network}.0.2:9000", cores=1.0)
        # Records need an event loop, and this test has no checks of them.
        gateway.record_disturbance = lambda *_: None
        with killed_on_exit([gateway]):
            gateway.start()
            _wait_until_ignored(gateway.process.pid)
            assert not _is_serving(tmp_path), "ignored only when it serves"
            began = time.monotonic()
            while not _is_over(time.monotonic() - began, tmp_path):
                gateway.process.send_signal(signal.SIGHUP)
                time.sleep(SIGNAL_INTERVAL_S)
                assert gateway.process.poll() is None, "ended by SIGHUP"
            assert _is_serving(tmp_path)


def _is_over(elapsed_s, folder):
    """Returns whether enough signals were sent, the last ones while serving."""
    if elapsed_s < SIGNALS_S:
        return False
    return _is_serving(folder) or elapsed_s > MAX_START_S


def _wait_until_ignored(pid):
    """Waits until a process ignores SIGHUP."""
    end = time.monotonic() + INTERPRETER_START_S
    while time.monotonic() < end:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        ignored = next(
            line for line in status.splitlines() if line.startswith("SigIgn")
        )
        if int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1):
            return
        time.sleep(0.002)
    raise AssertionError("SIGHUP is not ignored")


def _is_serving(folder):
    log = (folder / "vm1.log").read_text()
    return "gateway:serving" in log
