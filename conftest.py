"""Handles the tests listed in KNOWN-RED.txt and signals that end a run.

The listed tests are deselected and their names printed. A test in which a task
fails with an unexpected error does not pass, even if the task starts again.
"""

from __future__ import annotations

import pathlib
import signal
import threading

import hypothesis
import pytest
from sapphire_gateway import telemetry

# No test asserts wall-clock speed; by default, an example that takes 0.2 s on a
# busy machine fails its test.
hypothesis.settings.register_profile("suite", deadline=None)
hypothesis.settings.load_profile("suite")

KNOWN_RED_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def known_red() -> list[str]:
    """Returns the node ids of the listed tests."""
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(_TEST_PREFIX)
        for line in lines
        if line.startswith(_TEST_PREFIX)
    ]


@pytest.fixture(autouse=True)
def no_task_fails(request):
    """Fails a test in which a task has failed, unless it plants errors."""
    before = _task_failures()
    yield
    if request.node.get_closest_marker("plants_errors") is None:
        assert _task_failures() == before


def _task_failures() -> dict[str, float]:
    return {
        sample.labels["task"]: sample.value
        for metric in telemetry.TASK_FAILURES.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


def pytest_configure():
    """Lets a run that is ended by a signal clean up, as after Ctrl-C.

    Otherwise the processes that its tests have started would live on.
    """
    if threading.current_thread() is not threading.main_thread():
        return
    # A shell lets its background commands ignore SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: signal.raise_signal(signal.SIGINT))


def pytest_collection_modifyitems(config, items):
    """Deselects the listed tests and no others."""
    listed = set(known_red())
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests, so that a passing run does not hide them."""
    for name in known_red():
        terminalreporter.write_line(f"KNOWN-RED, not run: {name}")
