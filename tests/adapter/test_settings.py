"""Tests of the settings file that the platform writes for each process.

An invalid file prevents the start. Field names are spelled as the platform
writes them.
"""

from __future__ import annotations

import pytest
from adapter import settings
from sapphire_core.errors import SettingsError

# `New` is unknown to this program, as a field of a newer platform would be.
# `Bounds.ttl_max_s` is the time for which callers may cache addresses, in s.
TEXT = """
Node = "vm1"
Ip = "10.1.0.9"
Zone = "z1"
InternalPortRange = [7380, 7395]
New = { field = 1 }
[ListenAddrs]
Front = "10.1.0.9:8104"
Ready = "10.1.0.9:8108"
directory = "10.1.0.9:8100"
[Bounds]
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
GraceS = 6
ttl_max_s = 5
[platform]
Address = "10.200.1.7:8102"
"""


def read(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return settings.read(str(path))


def test_known_fields_are_read_and_others_ignored(tmp_path):
    config = read(tmp_path, TEXT)
    assert (config.vm, config.domain) == ("vm1", "z1")
    assert config.listen.directory == "10.1.0.9:8100"
    # Retries and hedges per window that are allowed in addition to the ratio.
    assert config.budget.slack == 58
    assert config.fleet_limits.addresses_ttl_s == 5
    assert config.store.address == "10.200.1.7:8102"


@pytest.mark.parametrize(
    ("lines", "memory_bytes"),
    [("", None), ("MemoryMb = 0", None), ("MemoryMb = 300", 300e6)],
)
def test_memory_is_read_if_it_is_stated(tmp_path, lines, memory_bytes):
    config = read(tmp_path, f"{TEXT}\n[Limits]\n{lines}\n")
    assert config.memory_bytes == memory_bytes


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("[platform]", "[Limits]\nMemoryMb = -1\n[platform]"),
        ('Node = "vm1"', ""),
        ('Zone = "z1"', "Zone = 1"),
        ('Front = "10.1.0.9:8104"', ""),
        ("[platform]", "[other]"),
        ('Node = "vm1"', "Node ="),
    ],
)
def test_error_of_invalid_file_names_path_variable(tmp_path, old, new):
    """The remedy names the variable that can select another file."""
    with pytest.raises(SettingsError, match="SAPPHIRECROSS_BOOT"):
        read(tmp_path, TEXT.replace(old, new))


def test_error_of_missing_file_includes_path(tmp_path):
    with pytest.raises(SettingsError, match="nowhere"):
        settings.read(str(tmp_path / "nowhere.toml"))


def test_environment_variable_sets_path(monkeypatch):
    monkeypatch.setenv(settings.PATH_VARIABLE, "/x/y.toml")
    assert settings.path() == "/x/y.toml"


def test_file_change_is_reported_once(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    settings_file = settings.SettingsFile(str(path))
    assert not settings_file.has_changed()
    path.write_text(TEXT + "# more\n")
    assert settings_file.has_changed()
    assert not settings_file.has_changed()
    # The removal of the file is another change.
    path.unlink()
    assert settings_file.has_changed()
