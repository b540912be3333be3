"""Gateway processes: settings, signals and logs."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

ROOT = pathlib.Path(__file__).parents[2]
CALLERS_PORT = 8104
READY_PORT = 8108
DIRECTORY_PORT = 8100
FEED_PORT = 7380
STOP_GRACE_S = 4
SETTINGS = """
Node = "{name}"
Ip = "{host}"
Zone = "{domain}"
InternalPortRange = [{feed}, {feed}]
[ListenAddrs]
Front = "{host}:{callers}"
Ready = "{host}:{ready}"
directory = "{host}:{directory}"
[Bounds]
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 50
GraceS = {grace}
ttl_max_s = 2
[Limits]
CpuShare = 1.0
Cores = {cores}
[platform]
Address = "{store}"
"""


@dataclass
class Gateway:
    """A gateway process and the periods in which it was disturbed."""

    name: str
    host: str
    domain: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    disturbances: list[tuple[float, float]] = field(default_factory=list)

    @property
    def callers_address(self) -> str:
        """Address for callers."""
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def ready_address(self) -> str:
        """Address of the readiness endpoint."""
        return f"{self.host}:{READY_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self, store: str, cores: float) -> None:
        """Writes the settings file."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            domain=self.domain,
            feed=FEED_PORT,
            callers=CALLERS_PORT,
            ready=READY_PORT,
            directory=DIRECTORY_PORT,
            grace=STOP_GRACE_S,
            cores=cores,
            store=store,
        )
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Starts the process unless it is running; its log goes to a file."""
        if self.is_running:
            # A concurrent fault has already restarted it.
            return
        settings = str(self.folder / f"{self.name}.toml")
        log = self.folder / f"{self.name}.log"
        with log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "platform/run.py", "front"],
                cwd=ROOT,
                env={**os.environ, "SAPPHIRECROSS_BOOT": settings},
                stdout=file,
                stderr=file,
            )
        self.record_disturbance()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs, and records a disturbance."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)
        self.record_disturbance()

    async def stop(self) -> None:
        """Stops the process as the platform does: SIGTERM, then SIGKILL.

        Only the end of the process is recorded as a disturbance, so that the
        guarantees are also checked for requests during the graceful stop.
        """
        if self.process is not None and self.is_running:
            self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_GRACE_S):
            while self.is_running:
                await trio.sleep(0.05)
        self.kill()

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def record_disturbance(self, duration_s: float = 0.0) -> None:
        """Records a disturbance of the process or its links, starting now."""
        now = trio.current_time()
        self.disturbances.append((now, now + duration_s))

    def was_undisturbed(self, since: float, until: float) -> bool:
        """Returns whether the process was undisturbed in a time span."""
        return all(
            end < since or begin > until for begin, end in self.disturbances
        )


@contextlib.contextmanager
def killed_on_exit(gateways: list[Gateway]) -> Iterator[None]:
    """Kills the gateways' processes that are still running on exit."""
    try:
        yield
    finally:
        for gateway in gateways:
            if gateway.process is not None and gateway.is_running:
                gateway.process.kill()
                gateway.process.wait()
