"""When a part of a request that has no reply yet is sent to a second leaf."""

from __future__ import annotations

from sapphire_core.latency import RunningQuantile

# Share of the parts that have a reply before the others are hedged.
HEDGE_QUANTILE = 0.95
# Bounds of the delay as shares of the target latency. A reply to a later hedge
# would seldom be in time.
MIN_DELAY_SHARE = 0.15
MAX_DELAY_SHARE = 0.6
# Delay before there are enough replies, as a share of the target latency.
INITIAL_DELAY_SHARE = 0.4
_MS_PER_S = 1000


class HedgeDelay:
    """Time from a request's arrival until its missing parts are hedged.

    It follows the time at which most parts are complete, counted from the
    arrival of the request and not from the sending of each call: the calls of a
    search over many shards are sent one after the other, so that the last ones
    have just left when the first ones are answered.
    """

    def __init__(self, target_s: float) -> None:
        """Starts without replies.

        Args:
            target_s: Target latency of the requests in seconds.
        """
        self._target_s = target_s
        self._completion = RunningQuantile(
            HEDGE_QUANTILE, INITIAL_DELAY_SHARE * target_s * _MS_PER_S
        )

    def record_completion(self, elapsed_s: float) -> None:
        """Records the reply to a first call.

        Args:
            elapsed_s: Time since the arrival of the request.
        """
        self._completion.add(elapsed_s * _MS_PER_S)

    @property
    def delay_s(self) -> float:
        """Time from a request's arrival until parts are hedged, in seconds."""
        return min(
            max(
                self._completion.value_ms / _MS_PER_S,
                MIN_DELAY_SHARE * self._target_s,
            ),
            MAX_DELAY_SHARE * self._target_s,
        )
