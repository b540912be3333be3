"""Stand-ins of the platform, the leaves and the clients, and the processes.

Everything runs in one asyncio loop on loopback addresses, except the gateways,
which are started as separate processes with the command of the deploy file.
Times are seconds of the loop's clock since the start of the lab.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
HISTORY = 5000
SEGMENT_BYTES = 1460


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes


Answer = tuple[int, dict[str, str], bytes]
# Status of an answer that is followed by bytes without end.
ENDLESS = -1
# A chunked body of which each chunk holds two bytes.
ENDLESS_BLOCK = b"2\r\nab\r\n" * 4000
ENDLESS_BYTES_PER_S = 4_000_000


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Reads one message, or returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0")) if has_body else 0
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], headers, body)


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a message in its wire format."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = Callable[[Message], Awaitable[Answer | None]]


class Server:
    """An HTTP server that answers one request at a time on a connection."""

    def __init__(self, host: str, handler: Handler) -> None:
        self.host = host
        self.port = free_port(host)
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Segments as on an Ethernet link; those of the loopback interface are
        # so large that a socket takes megabytes at once.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.bind((self.host, self.port))
        self._server = await asyncio.start_server(self._serve, sock=sock)

    def stop(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        is_silent = False
        try:
            while (message := await read_message(reader)) is not None:
                if is_silent:
                    continue
                answer = await self._handler(message)
                if answer is None:
                    # A connection on which an answer is lost returns nothing
                    # further.
                    is_silent = True
                    continue
                status, headers, body = answer
                if status == ENDLESS:
                    await send_endless(writer)
                    break
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def send_endless(writer: asyncio.StreamWriter) -> None:
    """Sends bytes that are no answer until the caller closes."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    pause = len(ENDLESS_BLOCK) / ENDLESS_BYTES_PER_S
    while not writer.transport.is_closing():
        writer.write(ENDLESS_BLOCK)
        await writer.drain()
        await asyncio.sleep(pause)


def free_port(host: str) -> int:
    """Returns a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@dataclass
class Item:
    """A key of the store; a value of None is a removal."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Returns the fields of the wire."""
        if self.value is None:
            return {
                "Key": self.key,
                "Revision": self.revision,
                "Removed": True,
            }
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "Created": self.created,
            "Lease": self.lease,
        }


class Store:
    """The platform's store; `lose_answers` is its one disruption."""

    def __init__(self, host: str) -> None:
        self.server = Server(host, self._answer)
        self._lost_until = 0.0
        self._lost_share = 0.0
        self.answered_in_window = 0
        self.lost_in_window = 0
        self._items: dict[str, Item] = {}
        self._log: list[Item] = []
        self._leases: dict[int, list[float]] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self.revision = 1

    def lose_answers(self, seconds: float, share: float) -> None:
        """From now on, some answers are lost: those that report a change.

        Args:
            seconds: For so long.
            share: Largest share of the answers in that time that are lost.
        """
        self._lost_until = time.monotonic() + seconds
        self._lost_share = share
        self.answered_in_window = self.lost_in_window = 0

    def _is_lost(self, name: str, fields: Any) -> bool:
        if time.monotonic() >= self._lost_until:
            return False
        self.answered_in_window += 1
        if name != "kv-watch" or not fields.get("events"):
            return False
        most = self._lost_share * self.answered_in_window
        if self.lost_in_window + 1 > most:
            return False
        self.lost_in_window += 1
        return True

    def write(self, key: str, value: bytes | None, lease: int = 0) -> int:
        """Writes a key, or removes it; returns the revision."""
        known = self._items.get(key)
        if value is None and known is None:
            return self.revision
        self.revision += 1
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        if value is None:
            del self._items[key]
        else:
            self._items[key] = item
        self._log.append(item)
        event, self._changed = self._changed, asyncio.Event()
        event.set()
        return self.revision

    def write_json(self, key: str, value: Any) -> int:
        """Writes a key as JSON."""
        return self.write(key, json.dumps(value).encode())

    async def run(self) -> None:
        """Ends leases, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, v in self._leases.items() if v[1] <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for item in list(self._items.values()):
            if item.lease == lease:
                self.write(item.key, None)

    async def _answer(self, message: Message) -> Answer | None:
        target = message.first.split(" ")[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        _, name, *rest = url.path.split("/")
        fields: Any = {}
        status = 200
        if name == "kv-key":
            item = self._items.get(query["Key"])
            status = 200 if item else 404
            fields = item.encode() if item else {}
        elif name == "kv-range":
            fields = self._range(query)
        elif name == "kv-watch":
            fields = await self._watch(query)
        elif name == "kv-lease":
            ttl_ms = json.loads(message.body)["TtlMs"]
            lease = next(self._numbers)
            until = time.monotonic() + ttl_ms / 1000
            self._leases[lease] = [ttl_ms / 1000, until]
            fields = {"Lease": lease, "TtlMs": ttl_ms}
        elif name == "kv-keep":
            known = self._leases.get(int(rest[0]))
            status = 200 if known else 404
            if known:
                known[1] = time.monotonic() + known[0]
                fields = {"TtlMs": int(known[0] * 1000)}
        elif name == "kv-lease-end":
            self._end_lease(int(rest[0]))
        elif name == "kv-txn":
            status, fields = self._txn(json.loads(message.body))
        else:
            status = 404
        if self._is_lost(name, fields):
            return None
        headers = {"Content-Type": "application/json"}
        return status, headers, json.dumps(fields).encode()

    def _range(self, query: dict[str, str]) -> Any:
        after = query.get("after", "")
        keys = sorted(
            k
            for k in self._items
            if k.startswith(query["Prefix"]) and k > after
        )
        return {
            "items": [self._items[k].encode() for k in keys[:500]],
            "HasMore": len(keys) > 500,
            "CurrentRev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Any:
        after = int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [
                item
                for item in self._log[-HISTORY:]
                if item.revision > after
                and item.key.startswith(query["Prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return {
            "events": [e.encode() for e in events],
            "CurrentRev": self.revision,
        }

    def _txn(self, fields: Any) -> tuple[int, Any]:
        for row in fields["ExpectedRev"]:
            item = self._items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                return 412, {"items": [item.encode()] if item else []}
        for put in fields["Puts"]:
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if put["Lease"] and put["Lease"] not in self._leases:
                return 404, {}
        for put in fields["Puts"]:
            self.write(put["Key"], base64.b64decode(put["Value"]), put["Lease"])
        for key in fields["Deletes"]:
            self.write(key, None)
        return 200, {"Revision": self.revision}


@dataclass
class Run:
    """A request that a leaf began to run."""

    at: float
    request_id: str
    service: str
    leaf: str


class Leaf:
    """A leaf that registers itself and signs what it answers."""

    def __init__(
        self,
        lab: Lab,
        host: str,
        service: str,
        zone: str,
        work_s: float,
        slots: int = 8,
    ) -> None:
        self._lab = lab
        self.server = Server(host, self._answer)
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.leaf_id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.running = 0
        # Share of the requests that fail after they have run, and how.
        self.failing_share = 0.0
        self.failing_status = 500
        # Share of the answers in whose place come bytes without end.
        self.endless_share = 0.0
        self.records = 0

    async def start(self) -> None:
        """Listens, then registers."""
        await self.server.start()
        self.register()

    def register(self) -> None:
        """Writes the leaf's entry."""
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        self._lab.store.write_json(f"servers/{self.leaf_id}", entry)

    async def drain(self, drain_s: float, more_s: float) -> float:
        """Reports `draining`, serves on, and exits in the background.

        Args:
            drain_s: DrainMs.
            more_s: It exits so long after that.

        Returns:
            The time of the store's acknowledgement.
        """
        self.state = "draining"
        self.register()
        acknowledged_at = self._lab.now()
        self._lab.note("draining", leaf=self.leaf_id)

        async def leave() -> None:
            await asyncio.sleep(drain_s + more_s)
            self._lab.note("exit", leaf=self.leaf_id, running=self.running)
            self.server.stop()
            self._lab.store.write(f"servers/{self.leaf_id}", None)

        self._lab.spawn(leave())
        return acknowledged_at

    async def _answer(self, message: Message) -> Answer | None:
        headers = message.headers
        if headers.get("target-instance", self.leaf_id) != self.leaf_id:
            return 421, {"Not-Executed": "1"}, b""
        request_id = headers.get("request-id")
        if request_id is None:
            return 400, {"Not-Executed": "1"}, b""
        if self.running >= 2 * self.slots:
            return 503, {"Not-Executed": "1", "Request-Id": request_id}, b""
        now = self._lab.now()
        self._lab.runs.append(Run(now, request_id, self.service, self.leaf_id))
        self._lab.note(
            "run", request=request_id, service=self.service, leaf=self.leaf_id
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = f"{random.getrandbits(40):x}.{self.leaf_id}"
        answer = {
            "Request-Id": request_id,
            "Response-Stamp": stamp,
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        if random.random() < self.endless_share:
            return ENDLESS, {}, b""
        if random.random() < self.failing_share:
            # It has run, so that the answer does not bear Not-Executed.
            return self.failing_status, answer, b"failed"
        body = f"{self.service} {request_id}".encode()
        if self.records:
            body = random.randbytes(16 * self.records)
        return 200, answer, body


@dataclass
class Sent:
    """One attempt of a client and what came of it.

    `status` is 0 if the connection ended without a whole answer. `was_sent` is
    whether the whole request was handed to an established connection.
    """

    request_id: str
    gateway: str
    path: str
    at: float
    status: int = 0
    was_sent: bool = False
    ended: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """Sends requests on kept connections; it does not retry."""

    def __init__(self, lab: Lab, host: str) -> None:
        self._lab = lab
        self._host = host
        self._idle: dict[str, list[Any]] = {}

    async def send(
        self,
        gateway: Gateway,
        path: str,
        method: str = "GET",
        deadline_ms: int = 4000,
        body: bytes = b"",
        keeps: bool = True,
    ) -> Sent:
        """Sends one request and waits for its answer or its deadline."""
        sent = Sent(
            f"{random.getrandbits(64):016x}",
            gateway.name,
            path,
            self._lab.now(),
        )
        self._lab.sent.append(sent)
        limit = deadline_ms / 1000 + 0.5
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._send(gateway, sent, method, deadline_ms, body, keeps),
                limit,
            )
        sent.ended = self._lab.now()
        self._lab.note(
            "client",
            request=sent.request_id,
            gateway=sent.gateway,
            path=path,
            sent_at=round(sent.at, 3),
            status=sent.status,
            answer_bytes=len(sent.body),
        )
        return sent

    async def _send(
        self,
        gateway: Gateway,
        sent: Sent,
        method: str,
        deadline_ms: int,
        body: bytes,
        keeps: bool,
    ) -> None:
        address = gateway.address("front")
        pool = self._idle.setdefault(address, [])
        host, _, port = address.rpartition(":")
        try:
            if pool and keeps:
                reader, writer = pool.pop()
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1.0
                )
        except (OSError, TimeoutError):
            return
        try:
            head = {
                "Host": self._lab.host_name,
                "Request-Id": sent.request_id,
                "Deadline-Ms": str(deadline_ms),
            }
            writer.write(encode(f"{method} {sent.path} HTTP/1.1", head, body))
            await writer.drain()
            sent.was_sent = True
            answer = await read_message(reader)
            if answer is None:
                return
            sent.status = int(answer.first.split(" ")[1])
            sent.headers, sent.body = answer.headers, answer.body
            if keeps and answer.headers.get("connection") != "close":
                pool.append((reader, writer))
                return
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()


SETTINGS = """\
Node = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "directory"]
Ip = "{host}"
Zone = "{zone}"
Region = "north"
InternalPortRange = [{peer}, {peer}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "retry", "scatter", "platform"]
[Zones]
north-a = "north"
north-b = "north"
north-c = "north"
[ListenAddrs]
Front = "{host}:{front}"
Ready = "{host}:{ready}"
directory = "{host}:{directory}"
[Limits]
CpuShare = 0.5
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = {grace}
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
SkewMaxMs = 12000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
ColdOvershoot = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoverS = 12
ttl_max_s = 5
[platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class Gateway:
    """A machine of the system and its process."""

    def __init__(self, lab: Lab, name: str, host: str, zone: str) -> None:
        self._lab = lab
        self.name = name
        self.host = host
        self.zone = zone
        self.grace_s = 6
        names = ("front", "ready", "directory", "peer")
        self._ports = {part: free_port(host) for part in names}
        self.process: asyncio.subprocess.Process | None = None

    def address(self, part: str) -> str:
        """Returns the address of a part of the process."""
        return f"{self.host}:{self._ports[part]}"

    def write_settings(self) -> None:
        """Writes the settings file, in one step."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            grace=self.grace_s,
            store=self._lab.store.server.address,
            **self._ports,
        )
        path = self._lab.folder / f"{self.name}.toml"
        new = path.with_suffix(".new")
        new.write_text(text)
        new.rename(path)

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {n: os.environ[n] for n in kept if n in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        path = self._lab.folder / f"{self.name}.toml"
        env["SAPPHIRECROSS_BOOT"] = str(path)
        with open(self._lab.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._lab.note("start", gateway=self.name)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            self._lab.note("signal", gateway=self.name, signal=number.name)
            self.process.send_signal(number)

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process."""
        if self.process is None or not self.is_running:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Asks as the platform does."""
        host, _, port = self.address("ready").rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(encode("GET /ready HTTP/1.1", {"Host": host}, b""))
        with contextlib.suppress(TimeoutError):
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.transport.abort()
            return answer is not None and answer.first.split(" ")[1] == "200"
        writer.transport.abort()
        return False


class Lab:
    """One play: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.folder = folder
        self._record = record.open("w")
        self._began = time.monotonic()
        # Addresses of the loopback network, one a machine.
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._hosts = (f"{base}.{n}" for n in range(1, 250))
        self.host_name = f"h{random.getrandbits(24):06x}.example"
        self.store = Store(self.new_host())
        self.gateways: list[Gateway] = []
        self.leaves: list[Leaf] = []
        self.runs: list[Run] = []
        self.sent: list[Sent] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def new_host(self) -> str:
        """Returns another loopback address."""
        return next(self._hosts)

    def now(self) -> float:
        """Seconds since the start of the lab."""
        return time.monotonic() - self._began

    def note(self, kind: str, **fields: Any) -> None:
        """Writes a line to the record."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._record.write(f"{self.now():9.3f} {kind} {text}\n")
        self._record.flush()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine beside."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, zones: list[str]) -> None:
        """Starts the store and a gateway in each zone."""
        await self.store.server.start()
        self.spawn(self.store.run())
        for number, zone in enumerate(zones):
            name = f"front-{zone}-{number + 1}"
            self.gateways.append(Gateway(self, name, self.new_host(), zone))
        for gateway in self.gateways:
            await gateway.start()

    async def add_leaf(
        self, service: str, zone: str, work_s: float, slots: int = 8
    ) -> Leaf:
        """Starts a leaf."""
        leaf = Leaf(self, self.new_host(), service, zone, work_s, slots)
        await leaf.start()
        self.leaves.append(leaf)
        return leaf

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        max_body: int = 262144,
    ) -> float:
        """Writes a configuration; returns the time of its acknowledgement."""
        value = {
            "Version": version,
            "Routes": [{"Host": self.host_name, **r} for r in routes],
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": max_body,
                "HeaderTimeoutMs": 10000,
                "IdleTimeoutMs": 60000,
            },
        }
        revision = self.store.write_json("op/config", value)
        self.note("configuration", version=version, revision=revision)
        return self.now()

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Waits until all gateways are ready."""
        until = self.now() + limit_s
        while self.now() < until:
            ready = [await g.is_ready() for g in self.gateways]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the gateways were not ready in time")

    async def close(self) -> None:
        """Ends all processes that were started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.is_running:
                gateway.process.kill()
            if gateway.process is not None:
                await gateway.process.wait()
        for task in list(self._tasks):
            task.cancel()
        self._record.close()


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing."""


def main(
    play: Callable[[Lab, bool], Awaitable[bool]], record: pathlib.Path
) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held.

    Args:
        play: The case; returns whether the rule held. Its second argument is
            whether to make the disruption.
        record: File for what was sent, answered and run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        this = asyncio.current_task()
        assert this is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        with tempfile.TemporaryDirectory() as folder:
            lab = Lab(pathlib.Path(folder), record)
            try:
                async with asyncio.timeout(110):
                    held = await play(lab, has_trouble)
                lab.note("verdict", held=held)
                return 0 if held else 1
            except (
                CannotRunError,
                TimeoutError,
                OSError,
                asyncio.CancelledError,
            ) as error:
                lab.note("cannot_run", error=repr(error))
                print(f"could not run: {error!r}", file=sys.stderr)
                return 2
            finally:
                await lab.close()

    sys.exit(asyncio.run(run()))
