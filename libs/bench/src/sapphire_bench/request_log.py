"""Request counts from gateway logs.

Gateways log one JSON object per line; a log collector may add a prefix such as
a time and the VM's name. When metrics are no longer available, the request
lines hold the same counts, except for lines that the rate limit dropped.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from sapphire_core.burn import CANCELLED, Group, Sample, Series
from sapphire_core.errors import SettingsError

ANSWERED = "gateway:request"
REFUSED = "gateway:request_refused"
LINES_LEFT_OUT = "gateway:lines_left_out"
CALLER_GONE = "caller left"
# Request lines don't state a priority, so all requests form one class.
ALL_CLASSES = "all"


@dataclass(frozen=True)
class RequestLog:
    """Request counts of one log.

    Attributes:
        sample: Requests by route and result, over the period of the log.
        left_out: Lines that the gateway dropped.
    """

    sample: Sample
    left_out: int

    @property
    def groups(self) -> set[Group]:
        """Routes that have requests in the log."""
        return {series.group for series in self.sample.counts}


def parse_log(lines: Iterable[str], path: str) -> RequestLog:
    """Counts the requests in a log.

    Raises:
        SettingsError: The log has no request line.
    """
    counts: collections.Counter[Series] = collections.Counter()
    times: list[float] = []
    left_out = 0
    for message in _parse_messages(lines):
        series = _series(message)
        if series is not None:
            counts[series] += 1
            times.append(float(message["timestamp"]))
        elif message.get("message_type") == LINES_LEFT_OUT:
            left_out += int(message.get("count", 0))
    if not times:
        raise SettingsError(
            "--logs",
            path,
            "no request line found",
            "Name files that hold the standard output of gateways.",
        )
    return RequestLog(Sample(path, max(times), counts, min(times)), left_out)


def _parse_messages(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        _, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            message = json.loads(brace + rest)
        except ValueError:
            continue
        if "message_type" in message and "timestamp" in message:
            yield message


def _series(message: dict[str, Any]) -> Series | None:
    """Returns the series that a line counts for; None if not a request."""
    kind = message["message_type"]
    if kind == REFUSED:
        result = "refused"
    elif kind == ANSWERED:
        result = str(message.get("result"))
    else:
        return None
    if result == CALLER_GONE:
        result = CANCELLED
    return Series(Group(str(message.get("route")), ALL_CLASSES), result)
