"""Tests of the stand-in processes and their settings."""

import json
import pathlib
import signal
import subprocess
import sys

import pytest
from sapphire_core.errors import SettingsError
from sapphire_standins import server
from sapphire_standins.leaf import LeafSettings


def test_each_process_prints_its_addresses_and_stops(tmp_path):
    """Guards against a script that does not start or ignores SIGTERM."""
    settings = tmp_path / "settings.json"
    settings.write_text('{"listen": "127.0.0.1:0"}')
    scripts = pathlib.Path(sys.executable).parent
    started = [
        subprocess.Popen(
            [
                scripts / f"sapphirecross-standin-{name}",
                f"--settings={settings}",
                "--control=127.0.0.1:0",
            ],
            stdout=subprocess.PIPE,
        )
        for name in ("leaf", "platform", "vmlist")
    ]
    try:
        for process in started:
            addresses = json.loads(process.stdout.readline())
            assert set(addresses) == {"listen", "control"}
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=30) == 0
    finally:
        for process in started:
            process.kill()
            process.communicate()


def test_flags_take_precedence_and_errors_name_the_field(tmp_path):
    """Guards against misspelt or invalid settings that are ignored."""
    path = tmp_path / "settings.json"
    path.write_text('{"slots": 3, "service_ms": 9}')
    read = server.read_settings(LeafSettings, str(path), {"slots": 4})
    assert (read.slots, read.service_ms) == (4, 9)
    with pytest.raises(SettingsError, match="slots"):
        server.read_settings(LeafSettings, None, {"slots": 0})
    with pytest.raises(SettingsError, match="slot_count"):
        server.read_settings(LeafSettings, None, {"slot_count": 1})
