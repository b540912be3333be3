"""Running quantile of the latency of shard calls, from a histogram."""

from __future__ import annotations

import itertools
import math

BUCKETS_PER_OCTAVE = 8
SMALLEST_MS = 0.1
OCTAVES = 20
# The counts are halved at this many samples, so that the quantile follows the
# last few thousand calls.
MAX_SAMPLES = 4096
# With fewer samples the default is returned.
MIN_SAMPLES = 50
DEFAULT_MS = 50.0
# Number of new samples after which the quantile is recomputed. With fewer
# samples in total it is recomputed at each read.
REFRESH_SAMPLES = 256

_COUNT = BUCKETS_PER_OCTAVE * OCTAVES
_SCALE = BUCKETS_PER_OCTAVE / math.log(2)
_OFFSET = math.log(SMALLEST_MS)


class RunningQuantile:
    """Estimates a quantile to within about 9 percent (1/8 octave)."""

    def __init__(
        self, quantile: float = 0.95, default_ms: float = DEFAULT_MS
    ) -> None:
        """Starts without samples.

        Args:
            quantile: Between 0 and 1.
            default_ms: Estimate until there are enough samples.
        """
        self._quantile = quantile
        self._counts = [0.0] * _COUNT
        self._total = 0.0
        self._value = default_ms
        self._samples_since_refresh = 0

    @property
    def value_ms(self) -> float:
        """Estimated quantile in milliseconds."""
        if (
            self._samples_since_refresh >= REFRESH_SAMPLES
            or self._total < REFRESH_SAMPLES
        ):
            self._refresh()
        return self._value

    @property
    def is_learned(self) -> bool:
        """Whether the estimate is based on samples."""
        return self._total >= MIN_SAMPLES

    def add(self, elapsed_ms: float, samples: int = 1) -> None:
        """Adds one or more samples of the same latency."""
        index = int((math.log(max(elapsed_ms, SMALLEST_MS)) - _OFFSET) * _SCALE)
        self._counts[min(index, _COUNT - 1)] += samples
        self._total += samples
        self._samples_since_refresh += samples
        if self._total >= MAX_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _refresh(self) -> None:
        self._samples_since_refresh = 0
        if self._total < MIN_SAMPLES:
            return
        rank = self._quantile * self._total
        seen = itertools.accumulate(self._counts)
        index = next(i for i, count in enumerate(seen) if count >= rank)
        self._value = SMALLEST_MS * 2 ** ((index + 1) / BUCKETS_PER_OCTAVE)
