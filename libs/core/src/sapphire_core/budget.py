"""Token bucket that limits hedges and retries to a share of the calls."""

from __future__ import annotations

# Maximum number of extra calls in a burst, for example after the loss of an
# aggregator.
MAX_TOKENS = 400.0
# Tokens that only retries may use. Without a retry a shard is missing from the
# answer, while without a hedge it is only late.
HEDGE_RESERVE = 50.0
# A new bucket has tokens for retries only. Hedges need tokens from refills, so
# that they never exceed their share of the calls.
INITIAL_TOKENS = HEDGE_RESERVE


class Budget:
    """Allows extra calls up to a share of the regular calls."""

    def __init__(self, share: float) -> None:
        """Starts with tokens for a small burst of retries.

        Args:
            share: Extra calls per regular call; 0 allows none at all.
        """
        self._share = share
        self._tokens = INITIAL_TOKENS if share > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Number of tokens in the bucket."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Changes the share. The tokens are kept unless the share is 0."""
        self._share = share
        if share <= 0:
            self._tokens = 0.0

    def refill(self, calls: int) -> None:
        """Adds the share of tokens for a number of regular calls."""
        self._tokens = min(MAX_TOKENS, self._tokens + calls * self._share)

    def take_retry(self) -> bool:
        """Takes a token for a retry; returns False if none is left."""
        return self._take(0.0)

    def take_hedge(self) -> bool:
        """Takes a token for a hedge; returns False at the reserve."""
        return self._take(HEDGE_RESERVE)

    def _take(self, reserve: float) -> bool:
        if self._tokens < reserve + 1.0:
            return False
        self._tokens -= 1.0
        return True
