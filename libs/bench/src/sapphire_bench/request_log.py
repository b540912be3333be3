"""Request counts from gateway logs.

Gateways log one JSON object per line; a log collector may add a prefix such as
a time and the VM's name. When metrics are no longer available, the request
lines hold the same counts, except for lines that the gateway left out because
of its rate limit.
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
# Request lines don't name a request class, so all requests form one.
ALL_CLASSES = "all"


@dataclass(frozen=True)
class RequestLog:
    """Request counts of one log.

    Attributes:
        sample: Requests by route and result, from the time of the first request
            line to that of the last.
        suppressed_count: Number of request lines that the gateway left out
            because of its rate limit, as far as the log states it.
    """

    sample: Sample
    suppressed_count: int

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
    suppressed_count = 0
    for message in _parse_messages(lines):
        series = _series(message)
        if series is not None:
            counts[series] += 1
            times.append(float(message["timestamp"]))
        elif message.get("message_type") == LINES_LEFT_OUT:
            suppressed_count += int(message.get("count", 0))
    if not times:
        raise SettingsError(
            "--logs",
            path,
            "no request line found",
            "Name files that hold the standard output of gateways.",
        )
    sample = Sample(path, max(times), counts, min(times))
    return RequestLog(sample, suppressed_count)


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
    """Returns the series that a line counts for.

    Returns None if it is not a request line.
    """
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
