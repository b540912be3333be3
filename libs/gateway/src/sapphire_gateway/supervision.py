"""Keeps an error in one task from ending the process.

A VM that ends takes the requests of all its callers with it. An error that
nobody expected is therefore logged with its place in the code and counted. A
task for one request, message or connection then ends; a task that has to go on
starts again after a pause. Errors at the start of the process and in the
settings that it starts with do end it, as nothing works without them.
"""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

from sapphire_gateway import telemetry

RESTART_PAUSE_S = 1.0
# Characters of the end of a traceback, which names the error and its place.
MAX_TRACEBACK = 2_500

_Arguments = TypeVarTuple("_Arguments")


def record_failure(task: str, error: Exception) -> None:
    """Logs and counts an unexpected error.

    Args:
        task: What has failed, for the log and the metric.
        error: The error.
    """
    telemetry.TASK_FAILURES.labels(task).inc()
    lines = "".join(traceback.format_exception(error))
    telemetry.leaf_event(
        trio.current_time(),
        "task_failed",
        task=task,
        error=repr(error)[:MAX_TRACEBACK],
        traceback=lines[-MAX_TRACEBACK:],
    )


async def run_once(
    task: str,
    function: Callable[[*_Arguments], Awaitable[None]],
    *arguments: *_Arguments,
) -> None:
    """Runs a function; an error ends this task only."""
    try:
        await function(*arguments)
    except Exception as error:
        record_failure(task, error)


async def run_always(
    task: str, function: Callable[[], Awaitable[None]]
) -> None:
    """Runs a function again whenever it has ended, until cancelled."""
    while True:
        await run_once(task, function)
        await trio.sleep(RESTART_PAUSE_S)
