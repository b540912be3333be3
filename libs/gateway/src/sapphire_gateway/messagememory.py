"""Limit of the memory that all messages in progress take together.

Callers, leaves and other VMs choose how much they send, how fast they read, and
how many of them do so at the same time. The limits of single messages therefore
do not bound the memory of the process. Each message that is being received or
sent, or is kept while it is being answered, counts against one limit. If it is
reached, messages are given up: those that their peers have made last for a
while, oldest first, and the replies that have grown most beyond what was
expected of them. Whichever of the two kinds takes more gives way first. Only if
there are none, the message that grows is refused.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from sapphire_gateway import telemetry

# Limit unless the settings of the process give one.
DEFAULT_LIMIT_BYTES = 64_000_000
# Share of the memory of a VM that messages may take.
MEMORY_SHARE = 0.25
# Messages up to this size are never refused. A process has some thousand
# connections, so that these take a few megabytes.
SMALL_MESSAGE_BYTES = 4_096
# Time that a peer has for a message before it may be given up for others.
PATIENCE_S = 1.0


class HeldMessage:
    """The memory of one message, or of the messages of one connection.

    Attributes:
        held_bytes: Memory that it takes.
        expected_bytes: Memory that was expected.
        give_up: Gives the message up and releases it; None if that would cost a
            caller its request.
        is_timed: Whether it is given up for the time that it has lasted, not
            for its size.
    """

    __slots__ = (
        "_memory",
        "expected_bytes",
        "give_up",
        "held_bytes",
        "is_timed",
    )

    def __init__(
        self,
        memory: MessageMemory,
        expected_bytes: int,
        give_up: Callable[[], None] | None,
        is_timed: bool = False,
    ) -> None:
        self._memory = memory
        self.held_bytes = 0
        self.expected_bytes = expected_bytes
        self.give_up = give_up
        self.is_timed = is_timed

    @property
    def excess_bytes(self) -> int:
        """Memory beyond what was expected."""
        return max(0, self.held_bytes - self.expected_bytes)

    def resize(self, held_bytes: int) -> bool:
        """Records the memory that the message takes now.

        Returns:
            False if there is no room for it even after other messages were
            given up. The owner then has to drop what it has added.
        """
        return self._memory.resize(self, held_bytes)

    def release(self) -> None:
        """Records that the message takes no memory any more."""
        self._memory.resize(self, 0)


class MessageMemory:
    """The memory of all messages in progress.

    Attributes:
        limit_bytes: Largest total.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes = 0
        # The replies that take memory and may be given up for their size.
        self._replies: dict[HeldMessage, None] = {}
        self._replies_bytes = 0
        # The timed messages that take memory, with the time since which they
        # do, oldest first.
        self._timed: dict[HeldMessage, float] = {}
        self._timed_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that all messages take, in bytes."""
        return self._held_bytes

    def hold(
        self,
        expected_bytes: int = 0,
        give_up: Callable[[], None] | None = None,
    ) -> HeldMessage:
        """Returns the record of a message that takes no memory yet.

        Args:
            expected_bytes: Memory that it is expected to take.
            give_up: Gives the message up and calls release. Without it, the
                message is kept whatever it takes.
        """
        return HeldMessage(self, expected_bytes, give_up)

    def hold_timed(self, give_up: Callable[[], None]) -> HeldMessage:
        """Returns the record of a message that a caller may make last.

        Once it has taken memory for PATIENCE_S, it may be given up.

        Args:
            give_up: Gives the message up and calls release.
        """
        return HeldMessage(self, 0, give_up, is_timed=True)

    def resize(self, held: HeldMessage, held_bytes: int) -> bool:
        """Records the memory of a message, see HeldMessage.resize."""
        change = held_bytes - held.held_bytes
        held.held_bytes = held_bytes
        self._held_bytes += change
        if held.is_timed:
            self._timed_bytes += change
            self._record_timed(held)
        elif held.give_up is not None:
            self._replies_bytes += change
            self._record_reply(held)
        if change <= 0:
            return True
        while self._held_bytes > self.limit_bytes:
            message = self._next_to_give_up()
            if message is None:
                return held_bytes <= SMALL_MESSAGE_BYTES
            telemetry.GIVEN_UP_MESSAGES.inc()
            assert message.give_up is not None
            message.give_up()
        return True

    def _record_timed(self, held: HeldMessage) -> None:
        if not held.held_bytes:
            self._timed.pop(held, None)
        elif held not in self._timed:
            self._timed[held] = trio.current_time()

    def _record_reply(self, held: HeldMessage) -> None:
        if held.held_bytes:
            self._replies[held] = None
        else:
            self._replies.pop(held, None)

    def _next_to_give_up(self) -> HeldMessage | None:
        oldest = next(iter(self._timed), None)
        if (
            oldest is not None
            and trio.current_time() - self._timed[oldest] < PATIENCE_S
        ):
            oldest = None
        largest = max(self._replies, key=_excess_bytes, default=None)
        if largest is not None and not largest.excess_bytes:
            largest = None
        if oldest is None or largest is None:
            return oldest or largest
        return oldest if self._timed_bytes > self._replies_bytes else largest


def _excess_bytes(held: HeldMessage) -> int:
    return held.excess_bytes


# The messages of this process.
PROCESS_MEMORY = MessageMemory()
