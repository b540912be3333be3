"""Tests of the command line with bad settings."""

import json

import pytest
from sapphire_config import program
from sapphire_entry import cmdline

_SETTINGS = {
    "vm": "127.0.0.1",
    "failure_domain": "d1",
    "region": "r",
    "platform": "127.0.0.1:1",
    "listen": "127.0.0.1:0",
    "frames": "127.0.0.1:0",
}


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "localhost"}, "listen"),
        ({"listen": "192.0.2.1:80"}, "listen"),
        ({"frames": "192.0.2.1:80"}, "frames"),
        ({"listen": "127.0.0.1:99999"}, "listen"),
        ({"frames": "127.0.0.1:99999"}, "frames"),
        ({"tls": {"certfile": "/nowhere/c", "keyfile": "k"}}, "tls"),
        ({"other": 1}, "other"),
        ({"log_file": "/nowhere/log"}, "log_file"),
    ],
)
def test_bad_settings_end_with_one_error(tmp_path, capsys, changes, named):
    """Guards against a traceback in place of a one-line error message."""
    path = tmp_path / "settings.json"
    # A log on stderr would include messages logged by other tests.
    fields = {**_SETTINGS, "log_file": str(tmp_path / "log"), **changes}
    path.write_text(json.dumps(fields))
    with pytest.raises(SystemExit) as caught:
        cmdline.run(str(path))
    assert caught.value.code == program.EXIT_BAD_SETTINGS
    error = capsys.readouterr().err.strip()
    assert len(error.splitlines()) == 1
    assert named in error
    assert "Traceback" not in error


def test_missing_settings_file(capsys):
    """Guards against a traceback if the settings file does not exist."""
    with pytest.raises(SystemExit) as caught:
        cmdline.run("/nowhere/settings.json")
    assert caught.value.code == program.EXIT_BAD_SETTINGS
    assert "/nowhere/settings.json" in capsys.readouterr().err
