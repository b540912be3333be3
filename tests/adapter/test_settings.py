"""The platform's settings file: a wrong field must stop the start."""

from __future__ import annotations

import pytest
from adapter import settings
from sapphire_core.errors import SettingsError

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
    file = tmp_path / "local.toml"
    file.write_text(text)
    return settings.read(str(file))


def test_fields_are_read_and_unknown_ones_ignored(tmp_path):
    boot = read(tmp_path, TEXT)
    assert (boot.vm, boot.domain) == ("vm1", "z1")
    assert boot.listen.directory == "10.1.0.9:8100"
    assert boot.budget.slack == 58
    assert boot.bounds.addresses_ttl_s == 5
    assert boot.store.address == "10.200.1.7:8102"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('Node = "vm1"', ""),
        ('Zone = "z1"', "Zone = 1"),
        ('Front = "10.1.0.9:8104"', ""),
        ("[platform]", "[other]"),
        ('Node = "vm1"', "Node ="),
    ],
)
def test_a_wrong_file_names_the_remedy(tmp_path, old, new):
    with pytest.raises(SettingsError, match="SAPPHIRECROSS_BOOT"):
        read(tmp_path, TEXT.replace(old, new))


def test_a_missing_file_names_its_path(tmp_path):
    with pytest.raises(SettingsError, match="nowhere"):
        settings.read(str(tmp_path / "nowhere.toml"))


def test_the_variable_names_the_file(monkeypatch):
    monkeypatch.setenv(settings.PATH_VARIABLE, "/x/y.toml")
    assert settings.path() == "/x/y.toml"


def test_a_change_without_signal_is_noticed_once(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    file = settings.SettingsFile(str(path))
    assert not file.has_changed()
    path.write_text(TEXT + "# more\n")
    assert file.has_changed()
    assert not file.has_changed()
    path.unlink()
    assert file.has_changed()
