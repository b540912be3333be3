"""Limit of the memory that all messages in progress take together.

Callers, leaves and other VMs choose how much they send, and how many of them
send at the same time. The limits of single messages therefore do not bound the
memory of the process. Each message that is being received, or is kept while it
is being answered, counts against one limit. If it is reached, the replies that
have grown most beyond what was expected of them are given up. Only if there
are none, the message that grows is refused.
"""

from __future__ import annotations

from collections.abc import Callable

from sapphire_gateway import telemetry

# Limit unless the settings of the process give one.
DEFAULT_LIMIT_BYTES = 64_000_000
# Share of the memory of a VM that messages may take.
MEMORY_SHARE = 0.25
# Messages up to this size are never refused. A process has some thousand
# connections, so that these take a few megabytes.
SMALL_MESSAGE_BYTES = 4_096


class HeldMessage:
    """The memory of one message, or of the messages of one connection.

    Attributes:
        held_bytes: Memory that it takes.
        expected_bytes: Memory that was expected.
        give_up: Gives the message up and releases it; None if that would cost a
            caller its request.
    """

    __slots__ = ("_memory", "expected_bytes", "give_up", "held_bytes")

    def __init__(
        self,
        memory: MessageMemory,
        expected_bytes: int,
        give_up: Callable[[], None] | None,
    ) -> None:
        self._memory = memory
        self.held_bytes = 0
        self.expected_bytes = expected_bytes
        self.give_up = give_up

    @property
    def excess_bytes(self) -> int:
        """Memory beyond what was expected, if the message can be given up."""
        if self.give_up is None:
            return 0
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
        # The messages that take memory, oldest first.
        self._held: dict[HeldMessage, None] = {}

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

    def resize(self, held: HeldMessage, held_bytes: int) -> bool:
        """Records the memory of a message, see HeldMessage.resize."""
        self._held_bytes += held_bytes - held.held_bytes
        has_grown = held_bytes > held.held_bytes
        held.held_bytes = held_bytes
        if not held_bytes:
            self._held.pop(held, None)
            return True
        self._held[held] = None
        if not has_grown:
            return True
        while self._held_bytes > self.limit_bytes:
            largest = max(self._held, key=_excess_bytes)
            if not largest.excess_bytes:
                return held_bytes <= SMALL_MESSAGE_BYTES
            telemetry.GIVEN_UP_MESSAGES.inc()
            assert largest.give_up is not None
            largest.give_up()
        return True


def _excess_bytes(held: HeldMessage) -> int:
    return held.excess_bytes


# The messages of this process.
PROCESS_MEMORY = MessageMemory()
