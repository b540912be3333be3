"""The aggregator daemon: starts and stops its parts."""

from __future__ import annotations

import secrets
import signal
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
from sapphire_config.document import StoredDocument
from sapphire_config.settings import AggregatorSettings
from sapphire_core.errors import SettingsError
from sapphire_core.quarantine import Quarantine
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import Frame
from sapphire_wire.platform import PlatformClient
from sapphire_wire.web import serve_http

from sapphire_aggregator import log, metrics
from sapphire_aggregator.admin import Admin
from sapphire_aggregator.cellmember import CellMember
from sapphire_aggregator.config import ConfigStore
from sapphire_aggregator.context import LeafContext, open_client
from sapphire_aggregator.lag import LoopLag
from sapphire_aggregator.leaves import LeafSet
from sapphire_aggregator.scatter import ScatterHandler
from sapphire_aggregator.submission import SubmitHandler
from sapphire_aggregator.view import ViewHandler

STOP_LIMIT_S = 10.0
# After the release of the send rights, the daemon continues to answer for this
# time, so that the entries learn of it from their next view. They request views
# twice a second.
LINGER_S = 1.0
DEFAULT_QUARANTINE_S = 600.0
_BATCH_PREFIX_BYTES = 6
ErrorType = TypeVar("ErrorType", bound=BaseException)


def main(settings: AggregatorSettings) -> None:
    """Runs the daemon until SIGTERM or SIGINT.

    Raises:
        SettingsError: An address can't be bound or a file can't be opened.
    """
    try:
        log.open_log(settings.log_file)
    except OSError as error:
        raise SettingsError(
            "log_file", settings.log_file, str(error)
        ) from error
    try:
        trio.run(run, settings)
    except BaseExceptionGroup as group:
        settings_error = _find_error(group, SettingsError)
        if settings_error is None:
            raise
        raise settings_error from None


def _find_error(
    error: BaseException, kind: type[ErrorType]
) -> ErrorType | None:
    """Returns the first error of a type in an error or group, or None."""
    if isinstance(error, kind):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (_find_error(inner, kind) for inner in error.exceptions)
        return next((inner for inner in found if inner is not None), None)
    return None


async def run(settings: AggregatorSettings) -> None:
    """Runs the daemon until SIGTERM or SIGINT."""
    # The signal handlers are installed before the start is logged, since a
    # supervisor may send a signal as soon as it reads that line.
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            daemon = Daemon(settings, nursery)
            await daemon.start()
            async for _ in signals:
                break
            await daemon.stop()
            nursery.cancel_scope.cancel()


class Daemon:
    """The parts of one aggregator, run in one nursery."""

    def __init__(
        self, settings: AggregatorSettings, nursery: trio.Nursery
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._handlers: dict[str, Handler] = {}
        self._admin_stop = trio.Event()
        self._running_requests = 0

    async def start(self) -> None:
        """Binds the addresses, then starts all parts.

        The frame address is bound first. This ensures that no earlier process
        of this member answers pings after the start time of the grant table.

        Raises:
            SettingsError: An address can't be bound.
        """
        await self._bind(self._settings.frames, "frames", self._serve_frames)
        self._build()
        await self._bind(self._settings.admin, "admin", self._serve_admin)
        await self.cell_member.run(self._nursery)
        self._nursery.start_soon(self.config.run_watch, self._platform)
        self._nursery.start_soon(self.config.run_peers, self._request_peer)
        self._nursery.start_soon(self.leaves.run)
        self._nursery.start_soon(self.lag.run, lambda: self.leaves.is_idle)
        log.event("started", member=self._settings.frames)

    async def stop(self) -> None:
        """Refuses new requests, completes running ones, releases the rights."""
        log.event("stopping")
        for part in (self.scatter, self.submit, self.view, self.admin):
            part.is_leaving = True
        with trio.move_on_after(STOP_LIMIT_S) as limit:
            self.leaves.refuse_queued()
            await self.cell_member.stop()
            await trio.sleep(LINGER_S)
            while self._running_requests:
                await trio.sleep(LINGER_S / 100)
        self._admin_stop.set()
        log.event("stopped", in_time=not limit.cancelled_caught)

    def _build(self) -> None:
        settings = self._settings
        self._platform = PlatformClient(settings.platform, settings.vm_list)
        self.quarantine = Quarantine(DEFAULT_QUARANTINE_S)
        self.config = ConfigStore(self._adopt)
        self.cell_member = CellMember(
            settings,
            self._platform,
            self.quarantine,
            lambda address: channel.Peer(address, self._nursery),
            self.config.on_peer_revision,
            lambda: self.leaves.is_idle,
        )
        self.lag = LoopLag()
        context = LeafContext(
            rights=self.cell_member,
            quarantine=self.quarantine,
            nursery=self._nursery,
            on_crash=self.cell_member.ping_now,
            lag=self.lag,
            batch_prefix=secrets.token_hex(_BATCH_PREFIX_BYTES),
        )
        self.leaves = LeafSet(context, settings.region, open_client)
        self.cell_member.on_leaving_vms = self.leaves.set_leaving_vms
        self.scatter = ScatterHandler(self.leaves, self.quarantine)
        self.submit = SubmitHandler(self.leaves)
        self.view = ViewHandler(self.leaves, self.cell_member, self.quarantine)
        self.admin = Admin(self.config, self.cell_member, self.leaves)
        self._handlers = {
            "scatter": self._on_scatter,
            "submit": self._on_submit,
            "ping": self._on_ping,
            "view": self._on_view,
            "fetch_config": self._on_fetch_config,
        }

    def _adopt(self, stored: StoredDocument) -> None:
        self.quarantine.set_expiry(stored.document.limits.quarantine_s)
        self.cell_member.adopt_document(stored.revision, stored.document)
        self.leaves.apply(stored.document)

    async def handle(self, frame: Any, reply: channel.Reply) -> None:
        """Answers one frame; an unexpected error ends only this request."""
        for name, handler in self._handlers.items():
            message = getattr(frame, name)
            if message is None:
                continue
            self._running_requests += 1
            try:
                await handler(message, reply)
            except Exception as error:
                metrics.UNEXPECTED_ERRORS.labels(name).inc()
                log.unexpected_error(name, error)
            finally:
                self._running_requests -= 1
            return

    async def _on_scatter(self, message: Any, reply: channel.Reply) -> None:
        await self.scatter.run(message, reply)

    async def _on_submit(self, message: Any, reply: channel.Reply) -> None:
        reply(Frame(submit_reply=await self.submit.run(message)))

    async def _on_ping(self, message: Any, reply: channel.Reply) -> None:
        reply(Frame(pong=self.cell_member.handle_ping(message)))

    async def _on_view(self, message: Any, reply: channel.Reply) -> None:
        reply(Frame(view_reply=self.view.run(message)))

    async def _on_fetch_config(
        self, message: Any, reply: channel.Reply
    ) -> None:
        reply(Frame(config_reply=self.config.reply()))

    async def _request_peer(self, address: str, frame: Frame) -> Any:
        return await self.cell_member.peer(address).request(frame)

    async def _bind(
        self, address: str, field: str, serve: Callable[..., Awaitable[Any]]
    ) -> None:
        host, _, port = address.rpartition(":")
        try:
            await self._nursery.start(serve, host, int(port))
        except (Exception, BaseExceptionGroup) as error:
            cause = _find_error(error, OSError) or _find_error(
                error, OverflowError
            )
            if cause is None:
                raise
            raise SettingsError(field, address, str(cause)) from error

    async def _serve_frames(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        await channel.serve(self.handle, host, port, task_status=task_status)

    async def _serve_admin(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[Any],
    ) -> None:
        await serve_http(
            self.admin.build_app(),
            host,
            port,
            self._admin_stop.wait,
            graceful_s=1.0,
            task_status=task_status,
        )


Handler = Callable[[Any, channel.Reply], Awaitable[None]]
