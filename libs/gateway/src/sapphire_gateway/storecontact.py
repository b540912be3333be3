"""Contact with the platform's store, as seen in the results of calls to it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.freshness import Freshness

from sapphire_gateway import telemetry


class StoreContact:
    """Whether the store responds; shared by the loops that call it.

    Attributes:
        is_watching_store: Whether this VM watches the store. If it reads from a
            feed instead, responses of the store do not confirm its copy.
        on_regained: Called when the store responds again.
    """

    def __init__(self, freshness: Freshness) -> None:
        self._freshness = freshness
        self._is_reachable = True
        self._recovered = trio.Event()
        self.is_watching_store = True
        self.on_regained: Callable[[], None] = lambda: None

    @property
    def is_reachable(self) -> bool:
        """Whether the last call succeeded."""
        return self._is_reachable

    async def wait_until_regained(self, limit_s: float) -> None:
        """Waits until the store responds again, or a time has passed."""
        with trio.move_on_after(limit_s):
            await self._recovered.wait()

    def record_failure(self, loop: str, error: SapphireError) -> None:
        """Records that a call failed; logs the first failure.

        Args:
            loop: Loop that made the call, "watch" or "renewal". A loop makes
                calls of several kinds, and any of them may have failed.
            error: The failure.
        """
        self._freshness.record_disruption(trio.current_time())
        if not self._is_reachable:
            return
        self._is_reachable = False
        self._recovered = trio.Event()
        telemetry.event("store_lost", call=loop, error=str(error))

    def record_response(self) -> None:
        """Records that the store responded; logs the end of an outage."""
        if self.is_watching_store:
            self._freshness.record_contact(trio.current_time())
        if self._is_reachable:
            return
        self._is_reachable = True
        self._recovered.set()
        telemetry.event(
            "store_regained", revision=str(self._freshness.revision)
        )
        self.on_regained()


@contextlib.contextmanager
def count_store_call(operation: str) -> Iterator[None]:
    """Counts a call to the store by operation and result.

    Implementations of Store enclose each of their calls in it.
    """
    try:
        yield
    except SapphireError as error:
        telemetry.STORE_CALLS.labels(operation, error.kind).inc()
        raise
    telemetry.STORE_CALLS.labels(operation, "ok").inc()
