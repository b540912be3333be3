"""Time margin by which an answer must be sent before its target time."""

from __future__ import annotations

import collections

# Number of recent send delays that are kept.
MAX_SAMPLES = 64
# Share of the answers that should be sent in time.
QUANTILE = 0.9
# Values assumed until there are samples.
DEFAULT_SEND_DELAY_S = 0.003
DEFAULT_ONE_WAY_S = 0.001
# Weight of a new sample in the moving average of the one-way time.
_SMOOTHING = 0.1
# One-way network trips before a request is read. A caller may look up addresses
# on a new connection before any request. Whether it did is unknown, so these
# trips are always counted.
REQUEST_TRIPS = 1
CONNECT_TRIPS = 2
ADDRESS_LOOKUP_TRIPS = 4
# Time until a process handles what has arrived: it answers a look-up, accepts a
# connection or reads a request. Each step is part of the caller's waiting time.
HANDLING_S = 0.001
REQUEST_STEPS = 1
CONNECT_STEPS = 1
ADDRESS_LOOKUP_STEPS = 1
# Upper bound of a send delay sample. Longer delays have other causes than the
# normal work of this VM.
MAX_SEND_DELAY_S = 0.02


class AnswerMargin:
    """Estimates the time between the planned answer and its arrival.

    The time before a request is read is estimated as well, as the caller
    measures from the start of its connection.
    """

    def __init__(self) -> None:
        self._one_way_s = DEFAULT_ONE_WAY_S
        self._send_delays: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._send_delay_s = DEFAULT_SEND_DELAY_S

    @property
    def one_way_s(self) -> float:
        """Estimated one-way network time to a caller."""
        return self._one_way_s

    @property
    def send_delay_s(self) -> float:
        """Delay after the planned time within which most answers are sent.

        It is the QUANTILE of the recent send delays.
        """
        return self._send_delay_s

    def record_round_trip(self, round_trip_s: float) -> None:
        """Records the round-trip time of a new connection of a caller."""
        self._one_way_s += _SMOOTHING * (round_trip_s / 2 - self._one_way_s)

    def record_send_delay(self, send_delay_s: float) -> None:
        """Records how long after its planned time an answer was sent."""
        self._send_delays.append(min(max(0.0, send_delay_s), MAX_SEND_DELAY_S))
        ordered = sorted(self._send_delays)
        index = min(len(ordered) - 1, int(QUANTILE * len(ordered)))
        self._send_delay_s = ordered[index]

    def request_delay_s(self, is_first: bool) -> float:
        """Returns the time passed for the caller when a request is read.

        Args:
            is_first: Whether the request is the first one on its connection,
                in which case a round trip to connect came before it.
        """
        trips = REQUEST_TRIPS + ADDRESS_LOOKUP_TRIPS
        steps = REQUEST_STEPS + ADDRESS_LOOKUP_STEPS
        if is_first:
            trips += CONNECT_TRIPS
            steps += CONNECT_STEPS
        return self._one_way_s * trips + HANDLING_S * steps

    def delivery_delay_s(self) -> float:
        """Returns the time from the planned answer to its arrival."""
        return self._one_way_s + self._send_delay_s
