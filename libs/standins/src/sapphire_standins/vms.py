"""Simulated VM list of the platform, which shows changes with a lag."""

from __future__ import annotations

from typing import Any

import trio
from pydantic import Field
from starlette.applications import Starlette
from starlette.requests import Request

from sapphire_standins import endpoints, server
from sapphire_standins.endpoints import Model, Reply, json_route
from sapphire_standins.lag import LaggedValue
from sapphire_standins.proxy import Proxy
from sapphire_standins.server import Addresses


class VmList(Model):
    """IP addresses of the existing VMs.

    Attributes:
        live: VMs that are running.
        leaving: VMs that are being taken out of service.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class VmSettings(server.ListenSettings):
    """Settings of the simulated VM list."""

    lag_ms: float = Field(
        0.0, ge=0, description="Delay until a change of the list is visible."
    )
    vms: VmList = VmList()


class VmListService:
    """HTTP endpoints of the VM list."""

    def __init__(self, settings: VmSettings) -> None:
        self._lag_s = settings.lag_ms / 1000
        self._current = settings.vms
        self._visible = LaggedValue(settings.vms)

    async def show(self, request: Request) -> Reply:
        """Answers GET /vms with the list as it was lag_ms ago."""
        visible = self._visible.get(trio.current_time(), self._lag_s)
        return Reply(200, visible.model_dump())

    async def change(self, request: Request) -> Reply:
        """Answers POST /vms; lists that are not given are unchanged."""
        fields = await endpoints.read_json(request)
        self._current = endpoints.apply_changes(self._current, fields)
        self._visible.set(self._current, trio.current_time())
        return Reply(200, self._current.model_dump())


def build_app(service: VmListService) -> Starlette:
    """Returns the ASGI application of the VM list."""
    return Starlette(
        routes=[
            json_route("/vms", "GET", service.show),
            json_route("/vms", "POST", service.change),
        ]
    )


async def serve(
    settings: VmSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the VM list until stop is set."""
    await server.serve_app(
        build_app(VmListService(settings)),
        Proxy(),
        settings,
        stop,
        task_status=task_status,
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves the VM list until SIGTERM.

    Args:
        settings: Path of a JSON file with VmSettings fields.
        **flags: VmSettings fields; override those of the file.
    """
    values = server.read_settings(VmSettings, settings, flags)
    trio.run(server.serve_until_signal, serve, values)


def main() -> None:
    """Runs the command line."""
    server.run_command(run)
