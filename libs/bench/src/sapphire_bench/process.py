"""One process of a fleet."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import signal

import trio
from sapphire_core.errors import SapphireError


class FleetError(SapphireError):
    """A process of the fleet failed, or did not respond as expected."""

    kind = "fleet"
    default_remedy = "Read the process's log in the fleet's directory."


@dataclasses.dataclass
class FleetProcess:
    """One process of the fleet.

    Attributes:
        name: Unique name in the fleet, such as "entry-vm00".
        command: The command that started it.
        handle: The process object of trio.
        log: File with its standard output and standard error.
    """

    name: str
    command: list[str]
    handle: trio.Process
    log: pathlib.Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.handle.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.handle.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is still running."""
        if self.is_running:
            os.kill(self.pid, number)
