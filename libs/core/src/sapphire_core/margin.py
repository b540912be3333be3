"""How long before its aim an answer must leave to arrive in time."""

from __future__ import annotations

import collections

# Samples of how late answers left that are kept.
SAMPLES = 64
# Part of the answers that should leave in time.
QUANTILE = 0.9
# Assumptions before there are samples.
DEFAULT_LATE_S = 0.003
DEFAULT_ONE_WAY_S = 0.001
_WEIGHT = 0.1
# One-way trips before a request is read. A caller may look up addresses
# before any of its requests, on a new connection; whether it did isn't known.
TRIPS_OF_REQUEST = 1
TRIPS_TO_CONNECT = 2
TRIPS_TO_LOOK_UP = 4
# An answer that leaves later than this was held up by something else than the
# usual work of this VM.
LONGEST_LATE_S = 0.02


class AnswerMargin:
    """Learns the time between the decision to answer and the arrival.

    The time of a request before it is read counts as well: the caller's
    clock starts when it begins to connect.
    """

    def __init__(self) -> None:
        self._one_way_s = DEFAULT_ONE_WAY_S
        self._late: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self._late_s = DEFAULT_LATE_S

    @property
    def one_way_s(self) -> float:
        """Estimated time from this VM to a caller."""
        return self._one_way_s

    @property
    def late_s(self) -> float:
        """Time by which answers leave after the planned time."""
        return self._late_s

    def record_round_trip(self, round_trip_s: float) -> None:
        """Takes the round-trip time of a new connection of a caller."""
        self._one_way_s += _WEIGHT * (round_trip_s / 2 - self._one_way_s)

    def record_send_delay(self, late_s: float) -> None:
        """Takes how long after the planned time an answer was sent."""
        self._late.append(min(max(0.0, late_s), LONGEST_LATE_S))
        ordered = sorted(self._late)
        index = min(len(ordered) - 1, int(QUANTILE * len(ordered)))
        self._late_s = ordered[index]

    def request_delay_s(self, is_first: bool) -> float:
        """Returns the time that a request has used when it is read.

        Args:
            is_first: It is the first one on its connection, so that
                connecting took a round trip before.
        """
        trips = TRIPS_OF_REQUEST + TRIPS_TO_LOOK_UP
        if is_first:
            trips += TRIPS_TO_CONNECT
        return self._one_way_s * trips

    def delivery_delay_s(self) -> float:
        """Returns the time from the planned answer to its arrival."""
        return self._one_way_s + self._late_s
