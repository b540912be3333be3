"""Gateway processes: settings, signals and logs."""

from __future__ import annotations

import contextlib
import functools
import os
import pathlib
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

ROOT = pathlib.Path(__file__).parents[2]
# Requests of callers.
CALLERS_PORT = 8104
# Readiness checks.
READY_PORT = 8108
# Look-ups of the addresses that callers should use (`/resolve`).
DIRECTORY_PORT = 8100
# Requests of other gateways: changes of the store, and calls to leaves that one
# gateway makes for another.
PEER_PORT = 7380
# Time between SIGTERM and SIGKILL. Gateways get it in their settings, and
# normally exit by themselves before it has passed.
STOP_GRACE_S = 4
DEFAULT_MEMORY_MB = 300.0
# File descriptors that a process may have.
MAX_DESCRIPTORS = 4_100
ENDING_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGKILL}
# Node is the VM's name, Zone its failure domain, Front the address for callers,
# ttl_max_s the time for which callers may cache the gateways' addresses, and
# the address under platform that of the store.
SETTINGS = """
Node = "{name}"
Ip = "{host}"
Zone = "{failure_domain}"
InternalPortRange = [{peers}, {peers}]
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
MemoryMb = {memory_mb}
MaxFds = {max_descriptors}
[platform]
Address = "{store_address}"
"""


@dataclass
class Gateway:
    """The gateway process of a VM, which may be stopped and started again.

    A disturbance is a moment or period in which the gateway may fail to answer
    or to learn of changes in time: its process starts, ends or is paused, its
    store is faulty, or the test machine is overloaded. The guarantees that this
    concerns are checked only for gateways that were undisturbed for
    UNDISTURBED_S.

    Attributes:
        name: Name of the VM.
        host: IP address of the VM.
        failure_domain: Failure domain of the VM.
        folder: Folder of the settings file and the log.
        process: The latest process, running or not; None before the first.
        disturbances: Start and end time of each disturbance.
        unexpected_ends: A description of each end of a process that no fault
            has caused.
        max_descriptors: File descriptors that the process may have.
    """

    name: str
    host: str
    failure_domain: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    unexpected_ends: list[str] = field(default_factory=list)
    max_descriptors: int = MAX_DESCRIPTORS
    # Whether the process was told to end.
    _is_ending: bool = False

    @property
    def callers_address(self) -> str:
        """Address that serves the requests of callers."""
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def ready_address(self) -> str:
        """Address of the readiness endpoint."""
        return f"{self.host}:{READY_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process runs; also true while it is paused."""
        return self.process is not None and self.process.poll() is None

    @property
    def memory_bytes(self) -> int:
        """Resident memory of the process; 0 if it does not run."""
        if self.process is None or not self.is_running:
            return 0
        try:
            pages = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            # It has ended since.
            return 0
        return int(pages.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def open_descriptors(self) -> int:
        """Open file descriptors of the process; 0 if it does not run."""
        if self.process is None or not self.is_running:
            return 0
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            # It has ended since.
            return 0

    def write_settings(
        self,
        store_address: str,
        cores: float,
        memory_mb: float = DEFAULT_MEMORY_MB,
    ) -> None:
        """Writes the settings file that the process reads at its start.

        Args:
            store_address: Address at which the gateway reaches the store.
            cores: Processor capacity of the VM, in standard cores.
            memory_mb: Memory of the VM, in megabytes.
        """
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            failure_domain=self.failure_domain,
            peers=PEER_PORT,
            callers=CALLERS_PORT,
            ready=READY_PORT,
            directory=DIRECTORY_PORT,
            grace=STOP_GRACE_S,
            cores=cores,
            memory_mb=memory_mb,
            max_descriptors=self.max_descriptors,
            store_address=store_address,
        )
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Starts the process, and records a disturbance at this moment.

        Does nothing if the process runs, because a concurrent fault has already
        restarted it. Its output is appended to a log file in the folder.
        """
        if self.is_running:
            return
        self.record_unexpected_end()
        self._is_ending = False
        settings = str(self.folder / f"{self.name}.toml")
        with self._log.open("ab") as file:
            self.process = subprocess.Popen(
                # The command "front" runs a gateway.
                [sys.executable, "platform/run.py", "front"],
                cwd=ROOT,
                env={**os.environ, "SAPPHIRECROSS_BOOT": settings},
                stdout=file,
                stderr=file,
                preexec_fn=functools.partial(
                    _limit_descriptors, self.max_descriptors
                ),
            )
        self.record_disturbance()

    def record_unexpected_end(self) -> None:
        """Records that the process has ended if no fault has caused that.

        SIGHUP ends a process whose interpreter has not run the gateway's code
        yet; no program can prevent that.
        """
        if self.process is None or self._is_ending:
            return
        code = self.process.poll()
        if code is not None and code != -signal.SIGHUP:
            self.unexpected_ends.append(
                f"{self.name} ended by itself with status {code}"
            )
            self._is_ending = True

    def log_lines(self, message_type: str) -> list[str]:
        """Returns the lines of a type in the logs of all starts."""
        text = self._log.read_text(errors="replace")
        return [line for line in text.splitlines() if message_type in line]

    @property
    def _log(self) -> pathlib.Path:
        return self.folder / f"{self.name}.log"

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs.

        Records a disturbance at this moment in any case.
        """
        self.record_unexpected_end()
        if self.process is not None and self.is_running:
            self._is_ending |= number in ENDING_SIGNALS
            self.process.send_signal(number)
        self.record_disturbance()

    async def stop(self) -> None:
        """Stops the process with SIGTERM, and with SIGKILL after STOP_GRACE_S.

        A disturbance is recorded only once the process has ended, so that the
        guarantees are also checked for requests during the graceful stop.
        """
        self.record_unexpected_end()
        if self.process is not None and self.is_running:
            self._is_ending = True
            self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_GRACE_S):
            while self.is_running:
                await trio.sleep(0.05)
        self.kill()

    def kill(self) -> None:
        """Kills the process if it runs, and waits until it has ended.

        Records a disturbance at this moment in any case.
        """
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def record_disturbance(self, duration_s: float = 0.0) -> None:
        """Records a disturbance that starts now; by default just this moment.

        Args:
            duration_s: Expected duration of the disturbance.
        """
        now = trio.current_time()
        self.disturbances.append((now, now + duration_s))

    def was_undisturbed(self, since: float, until: float) -> bool:
        """Returns whether no disturbance overlaps a time span."""
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


def _limit_descriptors(count: int) -> None:
    limits = (count, count)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
