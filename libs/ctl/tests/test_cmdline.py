"""Tests of the command's arguments, exit codes and output."""

import json

import pytest
from sapphire_core.errors import PlatformUnavailableError
from sapphire_ctl import cmdline
from sapphire_ctl.fleet import DaemonResult, DaemonStatus, LeafStatus


class _Daemons:
    async def addresses(self, entry):
        return ["10.0.0.1:80", "10.0.0.2:80"]

    async def statuses(self, addresses):
        leaves = [LeafStatus(address="10.1.0.1:1", state="warm", service="x")]
        known = {
            "10.0.0.1:80": DaemonStatus(
                role="aggregator",
                failure_domain="pk-north-a",
                revision=7,
                leaves=leaves,
            ),
            "10.0.0.2:80": DaemonStatus(role="entry", revision=6),
        }
        return [
            DaemonResult(a, known.get(a), None if a in known else "no answer")
            for a in addresses
        ]


@pytest.fixture
def run(fake, stored, monkeypatch, tmp_path, capsys):
    platform = fake.FakePlatform([stored.model_dump_json()])
    monkeypatch.setattr(cmdline, "PlatformClient", lambda *_: platform)
    monkeypatch.setattr(cmdline, "DaemonClient", _Daemons)
    monkeypatch.setenv("SAPPHIRECROSS_PLATFORM", "10.0.0.9:1")
    monkeypatch.delenv("SAPPHIRECROSS_DAEMONS", raising=False)
    fields = json.loads(stored.document.model_dump_json())
    fields["services"][0]["leaf"]["slots"] = 3
    (tmp_path / "good.json").write_text(json.dumps(fields))
    fields["services"][0]["leaf"]["slots"] = 0
    (tmp_path / "bad.json").write_text(json.dumps(fields))
    monkeypatch.chdir(tmp_path)

    def call(line):
        monkeypatch.setattr("sys.argv", ["ctl", *line.split()])
        code = int(cmdline.run(line.split()))
        return (line, code, *capsys.readouterr())

    call.platform = platform
    return call


@pytest.mark.parametrize(
    "line",
    [
        "",
        "apply --help",
        "check good.json",
        "check bad.json",
        "check bad.json --json",
        "check missing.json",
        "check good.json surplus",
        "check good.json action",
        "unknown",
        "--json show",
        "show",
        "diff good.json",
        "apply good.json",
        "apply good.json --expected-revision=6",
        "apply good.json --expected-revision=6 --json",
        "domain-out nowhere",
        "domain-out 1e3",
        "vm-out vm-17",
        "find-change sixth",
        "find-change other",
        "status",
        "status --entry=10.0.0.1:80",
        "status --daemons=10.0.0.1:80",
        "status --daemons=10.0.0.1:80,10.0.0.3:80 --json",
        "show --platform=host:1",
        "show --patience=nan",
        "show -- --interactive",
    ],
)
def test_output_and_exit_code(run, line, snapshot):
    """Guards against unintended changes of exit codes and output."""
    _, code, output, errors = run(line)
    if line == "--json show":
        output = list(json.loads(output))
    assert (code, output, errors) == snapshot
    assert run.platform.revisions == [7]


def test_commands_apply_their_change(run):
    """Guards against a command that is mapped to the wrong function."""
    assert run("apply good.json --expected-revision=7")[1] == 0
    assert run("domain-out pk-north-a")[1] == 0
    assert run("vm-out 10.0.0.1")[1] == 0
    document = run.platform.document
    assert document["services"][0]["leaf"]["slots"] == 3
    assert document["out_failure_domains"] == ["pk-north-a"]
    assert document["out_vms"] == ["10.0.0.1"]
    assert run("domain-in pk-north-a")[1] == 0
    assert run("vm-in 10.0.0.1")[1] == 0
    assert run.platform.document["out_failure_domains"] == []
    assert run.platform.document["out_vms"] == []


def test_surplus_arguments_prevent_the_change(run):
    """Guards against a change made before Fire detects a surplus argument."""
    assert run("domain-out pk-north-a pk-north-b")[1] == 2
    assert run.platform.revisions == [7]


def test_status_lists_daemons_during_platform_outage(run, monkeypatch):
    """Guards against a status without daemons while the platform is down."""

    async def down(key):
        raise PlatformUnavailableError("down.")

    monkeypatch.setattr(run.platform, "get", down)
    monkeypatch.setattr("sapphire_ctl.store.READ_RETRY_LIMIT_S", 0.0)
    _, code, output, _ = run("status --daemons=10.0.0.1:80")
    assert code == 3
    assert "10.0.0.1:80 aggregator pk-north-a revision 7" in output
    assert "down." in output


def test_interrupted_change_is_reported_as_unknown(run, monkeypatch):
    """Guards against reporting an interrupted write as refused."""

    async def interrupted(key, value, expect):
        raise KeyboardInterrupt

    monkeypatch.setattr(run.platform, "put", interrupted)
    _, code, _, errors = run("domain-out pk-north-a")
    assert code == 4
    assert "find-change" in errors


def test_entry_takes_precedence_over_a_bad_variable(run, monkeypatch):
    """The variable is not used then, so its content does not matter."""
    monkeypatch.setenv("SAPPHIRECROSS_DAEMONS", "no address")
    _, code, _, error = run("status --entry 10.0.0.1:7300")
    assert "SAPPHIRECROSS_DAEMONS" not in error
    assert "--daemons" not in error
    assert code != cmdline.ExitCode.USAGE
