"""Tests of the burn report on gateway logs."""

import json

import pytest
from sapphire_bench import burnline, request_log
from sapphire_core.burn import Group, Series
from sapphire_core.errors import SettingsError

START_S = 1_764_800_000.0


def line(kind="request", at_s=0.0, **fields: object):
    """Returns a log line with the prefix of a log collector."""
    message = {
        "message_type": f"gateway:{kind}",
        "timestamp": START_S + at_s,
        **fields,
    }
    return f"{at_s:10.4f} vm-1 {json.dumps(message)}"


LOG = [
    "a line of another program",
    line("start", 0.0, vm="vm-1"),
    *[line(at_s=n / 2, route="r1", result="good") for n in range(98)],
    line(at_s=50.0, route="r1", result="late"),
    line("request_refused", 51.0, route="r1", reason="overloaded"),
    line(at_s=52.0, route="r1", result="caller left"),
    line("lines_left_out", 53.0, count=7),
    line(at_s=300.0, route="r2", result="incomplete"),
]


def test_lines_count_by_route_and_result():
    """Guards against lines that are missing or counted as another result."""
    log = request_log.parse_log(LOG, "vm.log")
    first_route = Group("r1", "all")
    assert log.sample.counts == {
        Series(first_route, "good"): 98,
        Series(first_route, "late"): 1,
        Series(first_route, "refused"): 1,
        Series(first_route, "cancelled"): 1,
        Series(Group("r2", "all"), "incomplete"): 1,
    }
    assert log.suppressed_count == 7
    assert log.sample.time_s - log.sample.started_s == 300.0


def test_log_without_requests_is_rejected():
    """Guards against reporting no burn if the wrong file is read."""
    with pytest.raises(SettingsError):
        request_log.parse_log(["{}", line("start")], "vm.log")


def test_late_and_refused_requests_burn_the_budget(tmp_path, capsys):
    """Guards against a burn rate that leaves out late or refused requests."""
    path = tmp_path / "vm.log"
    path.write_text("\n".join(LOG))
    code = burnline.run([f"--logs={path}", "--objective=0.99", "--json"])
    captured = capsys.readouterr()
    groups = {
        g["group"]["service"]: g for g in json.loads(captured.out)["groups"]
    }
    # 2 of 100 requests that callers waited for, against a budget of 1 of 100.
    assert groups["r1"]["windows"][0]["rate"] == pytest.approx(2.0)
    assert groups["r2"]["alerts"]
    assert code == burnline.ExitCode.ALERT
    assert "7 lines were left out" in captured.err


@pytest.mark.parametrize(
    "other", ["--document=d.json", "--snapshots=s.txt", "--daemons=vm:1"]
)
def test_logs_exclude_other_sources(other, capsys):
    """Guards against ignoring the other source without an error."""
    code = burnline.run(["--logs=vm.log", "--objective=0.9", other])
    assert code == burnline.ExitCode.USAGE
    assert "--logs" in capsys.readouterr().err


@pytest.mark.parametrize("objective", ["", "1", "none"])
def test_logs_need_an_objective(objective, capsys):
    """Guards against a burn rate for a missing or impossible objective."""
    code = burnline.run(["--logs=vm.log", f"--objective={objective}"])
    assert code == burnline.ExitCode.USAGE
    assert "--objective" in capsys.readouterr().err
