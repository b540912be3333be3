"""Tests of the command line that start real processes."""

import json
import signal
import socket
import subprocess
import sys

import pytest

SETTINGS = {
    "vm": "127.0.0.1",
    "failure_domain": "a",
    "region": "r",
    "platform": "127.0.0.1:9",
    "frames": "127.0.0.1:0",
    "admin": "127.0.0.1:0",
    "cell": "c",
}


def _start(tmp_path, **changes: object):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, **changes}))
    code = "from sapphire_aggregator.cmdline import main; main()"
    return subprocess.Popen(
        [sys.executable, "-c", code, "--settings", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"cell": "Not A Name"}, "cell"),
        ({"unknown": 1}, "unknown"),
        ({"log_file": "/nonexistent/log"}, "log_file"),
        ({"frames": "busy"}, "frames"),
        ({"admin": "busy"}, "admin"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(tmp_path, changes, field):
    """Guards against tracebacks, and against starting with bad settings."""
    with socket.create_server(("127.0.0.1", 0)) as busy:
        port = busy.getsockname()[1]
        changes = {
            name: f"127.0.0.1:{port}" if value == "busy" else value
            for name, value in changes.items()
        }
        process = _start(tmp_path, **changes)
        _, errors = process.communicate(timeout=30)
    lines = [x for x in errors.splitlines() if not x.startswith("{")]
    assert process.returncode == 2
    assert len(lines) == 1
    assert lines[0].startswith(f"sapphirecross-aggregator: {field}: ")


def test_stop_without_platform_exits_with_0(tmp_path):
    """Guards against a shutdown that hangs while the platform is down."""
    process = _start(tmp_path)
    for line in process.stderr:
        if "aggregator:started" in line:
            break
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 0
    assert "Traceback" not in errors
