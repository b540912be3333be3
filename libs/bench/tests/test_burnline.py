"""Tests of the burn report on recorded snapshots."""

import pathlib

import pytest
from prometheus_client import CollectorRegistry, Counter, generate_latest
from sapphire_bench import burnline
from sapphire_bench.snapshot import Snapshot

KOHSAR = pathlib.Path(__file__).parents[3] / "examples" / "kohsar.json"
START_S = 1_764_800_000.0


def _metrics(good, late, wrong):
    registry = CollectorRegistry()
    counter = Counter(
        "sapphirecross_requests_total",
        "Requests.",
        ["service", "request_class", "result"],
        registry=registry,
    )
    for result, number in (("good", good), ("late", late), ("wrong", wrong)):
        counter.labels("toxdesk", "broad-sweep", result).inc(number)
    # A service that the document no longer has.
    counter.labels("removed", "sweep", "refused").inc(number)
    return generate_latest(registry).decode()


@pytest.fixture
def files(tmp_path, monkeypatch):
    """Writes snapshots of two daemons, of which the second restarts.

    Its counters are lower in the later readings, since they start at zero.
    """
    # Address, time and numbers of good, late and wrong answers.
    readings = [
        ("10.0.0.1:9100", 0, (1000, 0, 0)),
        ("10.0.0.2:9100", 0, (5000, 50, 0)),
        ("10.0.0.1:9100", 240, (2000, 5, 1)),
        ("10.0.0.2:9100", 240, (100, 1, 0)),
        ("10.0.0.1:9100", 300, (3000, 9, 1)),
        ("10.0.0.2:9100", 300, (200, 1, 0)),
    ]
    (tmp_path / "metrics.txt").write_text(
        "".join(
            Snapshot(source, START_S + t, _metrics(*counts)).encode()
            for source, t, counts in readings
        )
    )
    (tmp_path / "kohsar.json").write_text(KOHSAR.read_text())
    (tmp_path / "bad.txt").write_text(
        Snapshot("10.0.0.1:9100", START_S, "<html>Not found</html>").encode()
    )
    monkeypatch.chdir(tmp_path)


@pytest.mark.parametrize(
    "line",
    [
        "",
        "--document=kohsar.json --snapshots=metrics.txt",
        "--document=kohsar.json --snapshots=metrics.txt --json",
        "--document=kohsar.json --snapshots=kohsar.json",
        "--document=kohsar.json --snapshots=bad.txt",
        "--document=none.json --snapshots=metrics.txt",
        "--document=kohsar.json --daemons=127.0.0.1:1",
        "--document=kohsar.json --snapshots=metrics.txt surplus",
        "--document=kohsar.json --daemons=127.0.0.1:1 --samples=0",
        "--snapshots=metrics.txt",
    ],
)
def test_output_and_exit_code(files, line, capsys, snapshot):
    """Guards against unintended changes of report, exit code or message."""
    code = int(burnline.run(line.split()))
    assert (code, *capsys.readouterr()) == snapshot
