"""Token bucket of hedges and retries as a share of the calls."""

from __future__ import annotations

# The bucket bounds a burst of extra calls, for example after the loss of an
# aggregator, to this many calls.
CAPACITY = 400.0
# Hedges leave these tokens to retries: a shard without a retry is missing
# from the answer, one without a hedge is only late.
HEDGE_RESERVE = 50.0
# A new bucket serves retries at once, but each hedge has to be earned, so
# that hedges never exceed their share of the calls.
INITIAL = HEDGE_RESERVE


class Budget:
    """Allows extra calls up to a share of the calls that were needed."""

    def __init__(self, share: float) -> None:
        """Starts with tokens for a small burst.

        Args:
            share: Extra calls per call; 0 allows none at all.
        """
        self._share = share
        self._tokens = INITIAL if share > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Extra calls that are allowed now."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Changes the share; tokens are kept unless it is 0."""
        self._share = share
        if share <= 0:
            self._tokens = 0.0

    def refill(self, calls: int) -> None:
        """Counts calls that were needed."""
        self._tokens = min(CAPACITY, self._tokens + calls * self._share)

    def take_retry(self) -> bool:
        """Takes a token for a retry; False if none is left."""
        return self._take(0.0)

    def take_hedge(self) -> bool:
        """Takes a token for a hedge; False if only the reserve is left."""
        return self._take(HEDGE_RESERVE)

    def _take(self, reserve: float) -> bool:
        if self._tokens < reserve + 1.0:
            return False
        self._tokens -= 1.0
        return True
