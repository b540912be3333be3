"""Cold start of a leaf."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Job = TypeVar("Job", bound=Hashable)


class ColdState(Generic[Job]):
    """Counts the requests of a cold leaf; performs no I/O.

    Requests in progress at the moment of an unannounced turn to cold are
    exempt: their sender could not know. The turn counts as noticed when the
    first request that arrived after it has finished.
    """

    def __init__(
        self,
        *,
        cold: bool,
        bears: int,
        unnoticed_bears: int,
        warm_after: int,
    ) -> None:
        self._cold = cold
        self._noticed = True
        self._exempt: set[Job] = set()
        self._jobs: set[Job] = set()
        self._finished = 0
        self._greatest = 0
        self._greatest_unnoticed = 0
        self.configure(bears, unnoticed_bears, warm_after)

    @property
    def is_cold(self) -> bool:
        """Whether the leaf is cold."""
        return self._cold

    @property
    def greatest(self) -> int:
        """Greatest number of requests at once on the leaf known as cold."""
        return self._greatest

    @property
    def greatest_unnoticed(self) -> int:
        """The same between an unannounced turn and its notice."""
        return self._greatest_unnoticed

    @property
    def counted(self) -> int:
        """Number of requests in progress that are not exempt."""
        return len(self._jobs - self._exempt)

    def configure(
        self, bears: int, unnoticed_bears: int, warm_after: int
    ) -> None:
        """Sets what the cold leaf bears and when it is warm."""
        self._bears = bears
        self._unnoticed_bears = unnoticed_bears
        self._warm_after = warm_after

    def has_room(self) -> bool:
        """Whether one more request can arrive without a fall."""
        limit = self._bears if self._noticed else self._unnoticed_bears
        return not self._cold or self.counted < limit

    def arrive(self, job: Job) -> bool:
        """Adds a request; returns whether the leaf bears it."""
        bears = self.has_room()
        self._jobs.add(job)
        if self._cold and self._noticed:
            self._greatest = max(self._greatest, self.counted)
        elif self._cold:
            self._greatest_unnoticed = max(
                self._greatest_unnoticed, self.counted
            )
        return bears

    def leave(self, job: Job, *, finished: bool) -> None:
        """Removes a request; enough finished ones make the leaf warm."""
        self._jobs.discard(job)
        if job in self._exempt:
            self._exempt.discard(job)
            return
        if not self._cold or not finished:
            return
        self._noticed = True
        self._finished += 1
        if self._finished >= self._warm_after:
            self.turn_warm()

    def turn_cold(self) -> None:
        """Makes the leaf cold without notice."""
        if not self._cold:
            self._noticed = False
            self._exempt = set(self._jobs)
        self._cold = True
        self._finished = 0

    def restart(self) -> None:
        """Makes the leaf cold after its connections were lost."""
        self._cold = True
        self._noticed = True
        self._finished = 0
        self._exempt = set(self._jobs)

    def turn_warm(self) -> None:
        """Makes the leaf warm."""
        self._cold = False
        self._noticed = True
        self._finished = 0
        self._exempt.clear()
