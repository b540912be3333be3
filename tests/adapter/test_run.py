"""Tests of the gateway's process on the platform."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import time

import pytest
from soak.processes import ROOT, Gateway, killed_on_exit

# Time for which signals are sent; the start of the process takes less.
SIGNALS_S = 2.0


@pytest.mark.parametrize("interval_s", [0.02])
def test_sighup_does_not_end_a_process_that_is_starting(tmp_path, interval_s):
    """The settings may change at any time, and are read at the start anyway."""
    gateway = Gateway("vm1", "127.91.17.1", "za", tmp_path)
    gateway.write_settings("127.91.17.2:9000", cores=1.0)
    assert pathlib.Path(ROOT, "platform/run.py").exists()
    with killed_on_exit([gateway]):
        started_at = time.monotonic()
        _start(gateway)
        # The interpreter itself needs a moment until it runs any code.
        time.sleep(0.1)
        while time.monotonic() < started_at + SIGNALS_S:
            gateway.process.send_signal(signal.SIGHUP)
            time.sleep(interval_s)
            assert gateway.process.poll() is None, "ended by SIGHUP"


def _start(gateway):
    """Starts the process outside an event loop."""
    gateway.record_disturbance = lambda *_: None
    gateway.start()
    assert isinstance(gateway.process, subprocess.Popen)
