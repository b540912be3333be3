"""Fleets on one machine, with one process per daemon and stand-in.

A fleet is a small deployment for tests and load runs. Its daemons are the
entries, which answer callers' requests, and the aggregators, which call the
leaves; together they are the query tier. The load tool also starts baselines,
which it compares with the tier. Stand-ins simulate the leaves, the platform (a
key-value service, for example for the configuration) and the VM list.

The aggregators of a fleet form one cell: a group that divides the leaves among
its members. The cell's roster, stored on the platform, lists the members.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import uuid
from collections.abc import AsyncIterator
from typing import Any

import trio
from sapphire_aggregator.cellcodec import format_roster
from sapphire_config.document import Document, StoredDocument
from sapphire_core.rights import Roster
from sapphire_wire.platform import PlatformClient, join_key
from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpReply,
    HttpTimeoutError,
)

from sapphire_bench.loopback import control_address, reserve_network
from sapphire_bench.process import FleetError, FleetProcess
from sapphire_bench.spec import (
    ENTRY_FRAMES_PORT,
    PLATFORM_PORT,
    VM_LIST_PORT,
    FleetSpec,
    LeafSpec,
    Vm,
)

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 2.0
CONFIG_KEY = "config"
INDEX_VERSION = "v1"
# Connections to each address, for concurrent calls.
MAX_CONNECTIONS = 4
# Directory of the console scripts of this Python environment.
SCRIPTS = pathlib.Path(sys.executable).parent


class Fleet:
    """The processes of one deployment on one machine."""

    def __init__(
        self,
        spec: FleetSpec,
        directory: pathlib.Path,
        network: str,
        document: Document | None = None,
    ) -> None:
        """Allocates the addresses; start() starts the processes.

        Args:
            spec: Services and VMs of the fleet.
            directory: Directory for settings and logs of the processes.
            network: First two octets of the fleet's loopback addresses.
            document: Deployment document, that is, the configuration of the
                daemons; by default derived from the spec.
        """
        self._spec = spec
        self._directory = directory
        self._network = network
        self._processes: dict[str, FleetProcess] = {}
        self._clients: dict[str, HttpClient] = {}
        self._vms = spec.vms(self._network)
        self._leaves = spec.leaves(self._network)
        self._document = document or spec.document(self._network)

    @property
    def document(self) -> Document:
        """The initial deployment document."""
        return self._document

    @property
    def directory(self) -> pathlib.Path:
        """Directory of settings and logs."""
        return self._directory

    @property
    def vms(self) -> list[Vm]:
        """VMs of the query tier, each with an entry and an aggregator."""
        return self._vms

    @property
    def leaves(self) -> list[LeafSpec]:
        """All leaves."""
        return self._leaves

    @property
    def processes(self) -> dict[str, FleetProcess]:
        """Processes by name."""
        return self._processes

    @property
    def entries(self) -> list[str]:
        """HTTP addresses of all entries."""
        return [vm.entry for vm in self._vms]

    @property
    def platform(self) -> str:
        """Address of the platform stand-in.

        FleetSpec does not use 250 as the third octet of a VM or leaf.
        """
        return f"{self._network}.250.1:{PLATFORM_PORT}"

    @property
    def vm_list(self) -> str:
        """Address of the VM list stand-in, on the platform's IP address."""
        return f"{self._network}.250.1:{VM_LIST_PORT}"

    async def start(self, *, preset_roster: bool = False) -> None:
        """Starts all processes and waits until the fleet serves searches.

        Args:
            preset_roster: Store a complete roster first, so that aggregators
                don't have to join the cell one after the other.

        Raises:
            FleetError: A process exited, or one was not ready within
                START_TIMEOUT_S. Processes are waited for one after the other,
                so the whole start may take several times as long.
        """
        await self.start_platform()
        await self._start_leaves()
        await self.apply(self._document, expected_revision=0)
        if preset_roster:
            await self.store_roster()
        for vm in self._vms:
            await self.start_aggregator(vm)
            await self.start_entry(vm)
        await self.wait_ready()

    async def apply(self, document: Document, expected_revision: int) -> int:
        """Writes a document to the platform as the next revision.

        Does not wait until the daemons use it.

        Args:
            document: Deployment document to store.
            expected_revision: Revision that is stored now, 0 for none.

        Returns:
            The new revision.
        """
        stored = StoredDocument(
            revision=expected_revision + 1,
            change_id=uuid.uuid4().hex,
            document=document,
        )
        client = PlatformClient(self.platform, vm_list_address=None)
        try:
            await client.put(
                CONFIG_KEY, stored.model_dump_json(), expected_revision
            )
        finally:
            await client.aclose()
        return expected_revision + 1

    async def store_roster(self) -> None:
        """Stores a roster of all aggregators before they start."""
        members = tuple(vm.aggregator for vm in self._vms)
        domains = tuple(vm.failure_domain for vm in self._vms)
        client = PlatformClient(self.platform, vm_list_address=None)
        try:
            await client.put(
                join_key(["roster", self._spec.region]),
                format_roster(
                    Roster(revision=1, members=members, domains=domains)
                ),
                expect=0,
            )
        finally:
            await client.aclose()

    async def start_aggregator(self, vm: Vm) -> FleetProcess:
        """Starts the aggregator of a VM."""
        return await self._start_process(
            f"aggregator-{vm.name}", "aggregator", self.aggregator_settings(vm)
        )

    def aggregator_settings(self, vm: Vm) -> dict[str, Any]:
        """Returns the settings of the aggregator of a VM."""
        return self._daemon_settings(vm) | {
            # Address of the frame protocol between daemons.
            "frames": vm.aggregator,
            "admin": vm.admin,
            # A fleet has one cell, which has the name of the fleet's region.
            "cell": self._spec.region,
        }

    async def start_entry(self, vm: Vm) -> FleetProcess:
        """Starts the entry of a VM."""
        settings = self._daemon_settings(vm) | {
            "listen": vm.entry,
            "frames": f"{vm.ip}:{ENTRY_FRAMES_PORT}",
        }
        return await self._start_process(f"entry-{vm.name}", "entry", settings)

    async def start_baseline(self, vm: Vm, timeout_ms: float) -> FleetProcess:
        """Starts the baseline of a VM.

        It answers searches by calling the leaves directly; the load tool
        compares the query tier with it. See the module sapphire_bench.direct.
        """
        # Each baseline gets the addresses of all of them, itself included: it
        # lists them to callers, and they share the connections of each leaf.
        baselines = [
            {"address": x.baseline, "failure_domain": x.failure_domain}
            for x in self._vms
        ]
        settings = {
            "listen": vm.baseline,
            "failure_domain": vm.failure_domain,
            "platform": self.platform,
            "peers": baselines,
            "timeout_ms": timeout_ms,
        }
        return await self._start_process(
            f"baseline-{vm.name}", "baseline", settings
        )

    async def restart_leaf(self, leaf: LeafSpec, *, cold: bool) -> FleetProcess:
        """Restarts the stand-in of a leaf and waits until it answers.

        The process is killed if it still runs. The new one has its initial
        settings: counters start at zero and injected faults are gone.

        Raises:
            FleetError: The new process exited or did not answer within
                START_TIMEOUT_S.
        """
        name = f"leaf-{leaf.name}"
        self.kill(name)
        # Removed before the wait, because _check_running() reports the exit of
        # any process in the table as a failure.
        await self._processes.pop(name).handle.wait()
        control = control_address(leaf.address)
        client = self._clients.pop(control, None)
        if client is not None:
            await client.aclose()
        process = await self.start_leaf(leaf, cold=cold)
        await self._wait_for_answer(control, "/record")
        return process

    async def start_leaf(
        self, leaf: LeafSpec, *, cold: bool = False
    ) -> FleetProcess:
        """Starts the stand-in of one leaf, without waiting until it answers."""
        service = leaf.service
        settings = {
            "listen": leaf.address,
            "control": control_address(leaf.address),
            "service": service.name,
            "slots": service.slots,
            "connections": service.connections,
            "connect_ms": service.connect_ms,
            "service_ms": service.service_ms,
            "cold": cold,
            "versions": [
                {
                    "version": INDEX_VERSION,
                    "shard": leaf.shard,
                    "shards": service.shards,
                }
            ],
        }
        return await self._start_process(
            f"leaf-{leaf.name}", "standin-leaf", settings
        )

    async def stop(self, name: str) -> int:
        """Sends SIGTERM to a process and returns its exit code.

        Raises:
            FleetError: The process did not exit within STOP_TIMEOUT_S.
        """
        process = self._processes[name]
        process.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_S):
            return await process.handle.wait()
        raise FleetError(
            f"{name} did not exit within {STOP_TIMEOUT_S} s after SIGTERM"
        )

    def kill(self, name: str) -> None:
        """Sends SIGKILL to a process."""
        self._processes[name].signal(signal.SIGKILL)

    async def call(
        self, address: str, method: str, path: str, body: Any = None
    ) -> Any:
        """Calls an HTTP endpoint of the fleet and returns the JSON reply.

        The HTTP status is not checked.

        Raises:
            FleetError: The endpoint did not answer.
            ValueError: The reply is not JSON.
        """
        return (await self._call(address, method, path, body)).json()

    async def _call(
        self, address: str, method: str, path: str, body: Any
    ) -> HttpReply:
        if address not in self._clients:
            self._clients[address] = HttpClient(address, MAX_CONNECTIONS)
        try:
            return await self._clients[address].call(
                method, path, body, timeout_s=CALL_TIMEOUT_S
            )
        except (
            HttpConnectError,
            HttpConnectionLostError,
            HttpTimeoutError,
        ) as error:
            raise FleetError(f"{address} did not answer {path}") from error

    async def metrics(self, address: str) -> str:
        """Returns the metrics of a daemon as text.

        Raises:
            FleetError: The daemon did not answer.
        """
        reply = await self._call(address, "GET", "/metrics", None)
        return reply.body.decode()

    async def fault(self, address: str, **faults: Any) -> None:
        """Changes how a stand-in behaves (POST /faults).

        This injects or ends a fault, or changes another setting, such as the
        index versions of a leaf or whether it drains.

        Args:
            address: Address of the stand-in.
            faults: Fields of the request body: settings and faults with their
                new values. For a leaf, `act` may name a one-time action, such
                as "crash" or "turn_cold".
        """
        control = control_address(address)
        await self.call(control, "POST", "/faults", faults)

    async def record(self, address: str) -> dict[str, Any]:
        """Returns the counters of a stand-in (GET /record)."""
        control = control_address(address)
        counters: dict[str, Any] = await self.call(control, "GET", "/record")
        return counters

    async def wait_ready(self) -> None:
        """Waits until searches at each entry cover all shards.

        Raises:
            FleetError: A process exited, or an entry was not ready within
                START_TIMEOUT_S.
        """
        for vm in self._vms:
            await self.wait_entry(vm.entry)

    async def wait_entry(self, address: str) -> None:
        """Waits until searches of each service cover all shards.

        Args:
            address: HTTP address of an entry or a baseline.

        Raises:
            FleetError: A process exited, or the address was not ready within
                START_TIMEOUT_S.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._has_complete_answers(address):
                self._check_running()
                await trio.sleep(POLL_INTERVAL_S)
            return
        raise FleetError(f"{address} is not ready after {START_TIMEOUT_S} s")

    async def wait_until_stable(self, stable_s: float = 0.0) -> None:
        """Waits until the cell is complete and all leaves are usable.

        That is, all aggregators are members and may send to leaves, and each
        entry knows a holder of each leaf: the aggregator that may send to it.
        Leaves must also be in service and not down. While members join the
        cell, leaves move between aggregators, so after a start this must hold
        for some time.

        Args:
            stable_s: Time for which the state must hold, in seconds.

        Raises:
            FleetError: A process exited, a daemon did not answer, or the state
                did not hold for stable_s within START_TIMEOUT_S.
        """
        since = trio.current_time()
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                if not await self._is_stable():
                    since = trio.current_time()
                elif trio.current_time() >= since + stable_s:
                    return
                self._check_running()
                await trio.sleep(POLL_INTERVAL_S)
        # Also raised if the state was reached, but too late to hold for
        # stable_s before the time-out.
        raise FleetError(
            "the cell was incomplete or leaves were not usable after"
            f" {START_TIMEOUT_S} s"
        )

    async def _is_stable(self) -> bool:
        for vm in self._vms:
            status = await self.call(vm.admin, "GET", "/v1/status")
            if (
                len(status["members"]) != len(self._vms)
                # A majority of the members lets it send to leaves.
                or not status["granted"]
            ):
                return False
            if not await self._can_use_all_leaves(vm.entry):
                return False
        return True

    async def _can_use_all_leaves(self, address: str) -> bool:
        status = await self.call(address, "GET", "/v1/status")
        services = status["services"].values()
        leaves = [x for service in services for x in service["leaves"]]
        return len(leaves) == len(self._leaves) and all(
            x["holder"] and x["in_service"] and x["state"] != "down"
            for x in leaves
        )

    async def aclose(self) -> None:
        """Kills all processes that the fleet started."""
        for client in self._clients.values():
            await client.aclose()
        for process in self._processes.values():
            # A test may have paused the process with SIGSTOP.
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self._processes.values():
            await process.handle.wait()

    async def _has_complete_answers(self, address: str) -> bool:
        for service in self._spec.services:
            body = {
                "service": service.name,
                # Any text will do, because only the coverage is checked.
                "text": "safety",
                "k": 1,
                "class": service.classes[0].name,
                "deadline_ms": 1000,
            }
            try:
                reply = await self.call(address, "POST", "/v1/search", body)
            except (FleetError, ValueError):
                # No answer, or one that is not JSON.
                return False
            if not reply.get("coverage", {}).get("complete"):
                return False
        return True

    async def start_platform(self) -> None:
        """Starts the stand-ins of the platform and the VM list."""
        await self._start_process(
            "platform",
            "standin-platform",
            {
                "listen": self.platform,
                "control": control_address(self.platform),
            },
        )
        await self._start_process(
            "vmlist",
            "standin-vmlist",
            {
                "listen": self.vm_list,
                # The VMs that exist, as the cloud provider would list them.
                "vms": {"live": [vm.ip for vm in self._vms]},
            },
        )
        await self._wait_for_answer(self.vm_list, "/vms")
        await self._wait_for_answer(control_address(self.platform), "/record")

    async def _start_leaves(self) -> None:
        for leaf in self._leaves:
            await self.start_leaf(leaf)
        for leaf in self._leaves:
            await self._wait_for_answer(
                control_address(leaf.address), "/record"
            )

    async def _wait_for_answer(self, address: str, path: str) -> None:
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                try:
                    await self.call(address, "GET", path)
                except (FleetError, ValueError):
                    self._check_running()
                    await trio.sleep(POLL_INTERVAL_S)
                else:
                    return
        raise FleetError(
            f"{address} did not answer {path} within {START_TIMEOUT_S} s"
        )

    def _check_running(self) -> None:
        for process in self._processes.values():
            if not process.is_running:
                code = process.handle.returncode
                tail = process.log.read_text()[-2000:]
                raise FleetError(f"{process.name} exited with {code}: {tail}")

    def _daemon_settings(self, vm: Vm) -> dict[str, Any]:
        return {
            "vm": vm.ip,
            "failure_domain": vm.failure_domain,
            "region": self._spec.region,
            "platform": self.platform,
            "vm_list": self.vm_list,
            # Aggregators that the daemon contacts at its start.
            "seeds": [vm.aggregator for vm in self._vms],
        }

    async def _start_process(
        self, name: str, script: str, settings: dict[str, Any]
    ) -> FleetProcess:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [
            str(SCRIPTS / f"sapphirecross-{script}"),
            f"--settings={path}",
        ]
        log = self._directory / f"{name}.log"
        with log.open("ab") as output:
            handle = await trio.lowlevel.open_process(
                command, stdout=output, stderr=subprocess.STDOUT
            )
        process = FleetProcess(name, command, handle, log)
        self._processes[name] = process
        return process


@contextlib.asynccontextmanager
async def open_fleet(
    spec: FleetSpec, *, preset_roster: bool = False
) -> AsyncIterator[Fleet]:
    """Starts a fleet; kills all of its processes on exit.

    Raises:
        FleetError: A process of the fleet did not start.
    """
    with (
        reserve_network() as network,
        tempfile.TemporaryDirectory(prefix="sapphirecross-") as directory,
    ):
        fleet = Fleet(spec, pathlib.Path(directory), network)
        try:
            await fleet.start(preset_roster=preset_roster)
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                await fleet.aclose()
