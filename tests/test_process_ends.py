"""Tests of what may not end a gateway process, or keep it from starting.

They run the real program with real sockets: addresses that are taken, signals
during the start, closed outputs and half-written settings.
"""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import tomllib

import pytest
import trio
from sapphire_bench.loopback import reserve_network
from sapphire_core.routing import ClientLimits
from sapphire_gateway.callers import CallerServer
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.store import StoreUnavailableError
from soak.operator import Operator
from soak.processes import (
    CALLERS_PORT,
    DIRECTORY_PORT,
    PEER_PORT,
    READY_PORT,
    ROOT,
    Gateway,
    killed_on_exit,
)
from soak.store import Store

STORE_PORT = 9000
METRICS_PORT = 9464
READY_TIMEOUT_S = 15.0
# Time for which an address is taken at the start.
TAKEN_S = 2.0
# Time after which an early signal would have ended the process.
SETTLING_S = 1.0


class Stand:
    """A gateway that is not started yet, and its store."""

    def __init__(self, gateway, nursery) -> None:
        self.gateway = gateway
        self._nursery = nursery

    @property
    def log(self):
        """All output of the process."""
        path = self.gateway.folder / f"{self.gateway.name}.log"
        return path.read_text() if path.exists() else ""

    async def request(self, port, target):
        """Returns the reply of the process, or None without one."""
        client = HttpClient(f"{self.gateway.host}:{port}")
        client.start(self._nursery)
        with contextlib.suppress(StoreUnavailableError):
            return await client.request("GET", target, 1.0)
        return None

    async def wait_until_ready(self):
        """Waits until the process says that it is ready."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                reply = await self.request(READY_PORT, "/ready")
                if reply is not None and reply.status == 200:
                    return
                assert self.gateway.is_running, self.log
                await trio.sleep(0.05)

    def start(self, command=None, **options: object):
        """Starts the process with a command or options of its own."""
        gateway = self.gateway
        settings = gateway.folder / f"{gateway.name}.toml"
        command = command or [sys.executable, "platform/run.py", "front"]
        gateway.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "SAPPHIRECROSS_BOOT": str(settings)},
            **options,
        )

    async def wait_until_ended(self):
        """Waits until the process has ended; returns its exit status."""
        with trio.fail_after(READY_TIMEOUT_S):
            while self.gateway.is_running:
                await trio.sleep(0.05)
        return self.gateway.process.returncode


@pytest.fixture
def run_stand(tmp_path):
    """Returns a function that runs an async test with a Stand."""

    def run(test):
        async def main():
            store = Store()
            Operator(store).change_configuration()
            with reserve_network() as network:
                address = f"{network}.1.1:{STORE_PORT}"
                gateway = Gateway("vm1", f"{network}.1.10", "za", tmp_path)
                gateway.write_settings(address, 2.0)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(store.run)
                    server = CallerServer(
                        store.answer,
                        ClientLimits,
                        lambda: False,
                        lambda _request, _now: None,
                    )
                    await nursery.start(server.serve, address)
                    with killed_on_exit([gateway]):
                        await test(Stand(gateway, nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run


@contextlib.contextmanager
def address_taken(host, port):
    """Listens on an address for the duration of the block."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen()
        yield


@contextlib.contextmanager
def address_connected(host, port):
    """Holds a connection whose local address is the given one."""
    with socket.socket() as server, socket.socket() as client:
        server.bind((host, 0))
        server.listen()
        # The address may have served an earlier test. Whether others may use it
        # depends on the option's value afterwards.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        client.bind((host, port))
        client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        client.connect(server.getsockname())
        # Closes with a reset, so that the address is free at once.
        no_linger = struct.pack("ii", 1, 0)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        yield


@pytest.mark.parametrize("taken", [address_taken, address_connected])
@pytest.mark.parametrize(
    "port", [CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT]
)
def test_process_waits_for_an_address_that_is_taken(run_stand, port, taken):
    """Guards against a process that ends while its predecessor still runs.

    A connection of another process may have the port as its own, too.
    """

    async def test(stand):
        with taken(stand.gateway.host, port):
            stand.start()
            await trio.sleep(TAKEN_S)
            assert stand.gateway.is_running
            reply = await stand.request(READY_PORT, "/ready")
            assert reply is None or reply.status != 200
        await stand.wait_until_ready()
        reply = await stand.request(DIRECTORY_PORT, "/resolve?Zone=za")
        assert reply.status == 200

    run_stand(test)


def test_process_serves_while_the_metrics_address_is_taken(run_stand):
    """Guards against a fleet that does not start on a shared address."""

    async def test(stand):
        with address_taken(stand.gateway.host, METRICS_PORT):
            stand.gateway.start()
            await stand.wait_until_ready()
        assert "gateway:listen_failed" in stand.log
        with trio.fail_after(READY_TIMEOUT_S):
            while await stand.request(METRICS_PORT, "/metrics") is None:
                await trio.sleep(0.05)

    run_stand(test)


def test_process_that_waits_for_an_address_stops_on_request(run_stand):
    async def test(stand):
        with address_taken(stand.gateway.host, CALLERS_PORT):
            stand.gateway.start()
            with trio.fail_after(READY_TIMEOUT_S):
                while "gateway:listen_failed" not in stand.log:
                    await trio.sleep(0.05)
            stand.gateway.send_signal(signal.SIGTERM)
            assert await stand.wait_until_ended() == 0

    run_stand(test)


def deploy_command():
    """Returns the command of the deploy file, with this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = deploy["roles"]["gateway"]["run"].split()
    assert program == "python3"
    return [sys.executable, *arguments]


def test_deploy_command_ignores_reload_requests_before_its_imports():
    """Guards against SIGHUP that ends a process before its code runs.

    The interpreter must not import more than it needs before that.
    """
    program, *arguments = deploy_command()
    result = subprocess.run(
        [program, "-X", "importtime", *arguments],
        cwd=ROOT,
        env={"PYTHONPATH": library_path()},
        capture_output=True,
        text=True,
        timeout=READY_TIMEOUT_S,
        check=False,
    )
    imported = [
        line.rpartition("|")[2].strip()
        for line in result.stderr.splitlines()
        if line.startswith("import time:")
    ]
    # The first module that is imported after that.
    before = imported[: imported.index("gc")]
    assert "site" not in before
    assert "enum" not in before


def test_deploy_command_serves(run_stand, monkeypatch):
    """Guards against modules that only the module `site` would find."""
    monkeypatch.setenv("PYTHONPATH", library_path())

    async def test(stand):
        stand.start(deploy_command())
        await stand.wait_until_ready()
        stand.gateway.send_signal(signal.SIGHUP)
        await trio.sleep(SETTLING_S)
        assert stand.gateway.is_running

    run_stand(test)


def library_path():
    """Returns the path of the dependencies, as the platform states it."""
    libraries = [str(path) for path in ROOT.glob("libs/*/src")]
    packages = [path for path in sys.path if path.endswith("site-packages")]
    return os.pathsep.join(libraries + packages)


@pytest.mark.parametrize("closed", [(1,), (2,), (1, 2), (0, 1, 2)])
def test_process_runs_with_closed_standard_streams(run_stand, closed):
    """Guards against a process that ends, or logs into a connection."""

    def close():
        for descriptor in closed:
            os.close(descriptor)

    async def test(stand):
        stand.start(preexec_fn=close, stderr=subprocess.DEVNULL)
        await stand.wait_until_ready()
        reply = await stand.request(DIRECTORY_PORT, "/resolve?Zone=za")
        assert reply.status == 200
        assert stand.gateway.is_running

    run_stand(test)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_process_stops_gracefully(run_stand, number):
    async def test(stand):
        stand.gateway.start()
        await stand.wait_until_ready()
        stand.gateway.send_signal(number)
        assert await stand.wait_until_ended() == 0
        assert "Traceback" not in stand.log

    run_stand(test)


def test_process_waits_for_settings_that_are_being_written(run_stand):
    """Guards against a process that starts while its file is written."""

    async def test(stand):
        path = stand.gateway.folder / "vm1.toml"
        text = path.read_text()
        path.write_text(text[: len(text) // 2])
        stand.gateway.start()
        await trio.sleep(SETTLING_S)
        assert stand.gateway.is_running
        path.write_text(text)
        await stand.wait_until_ready()

    run_stand(test)


def test_process_with_unusable_settings_says_why_it_ends(run_stand):
    async def test(stand):
        path = stand.gateway.folder / "vm1.toml"
        path.write_text(path.read_text().replace(":8104", ":x"))
        stand.gateway.start()
        assert await stand.wait_until_ended() == 2
        assert "Front" in stand.log
        assert "Traceback" not in stand.log

    run_stand(test)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:99999", ""])
def test_unusable_store_address_is_not_taken_over(run_stand, address):
    """Guards against a reload that ends the process or its tasks."""

    async def test(stand):
        stand.gateway.start()
        await stand.wait_until_ready()
        path = stand.gateway.folder / "vm1.toml"
        head, _, _ = path.read_text().partition("[platform]")
        path.write_text(f'{head}[platform]\nAddress = "{address}"\n')
        stand.gateway.send_signal(signal.SIGHUP)
        await trio.sleep(SETTLING_S)
        await stand.wait_until_ready()
        assert "gateway:reload_failed" in stand.log
        assert "gateway:task_failed" not in stand.log

    run_stand(test)
