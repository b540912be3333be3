"""Stand-ins for the scripts of review/6 and later; standard library only.

The store, the leaves and the clients run in the process of the script. The
gateways are processes of their own, started with the command of the deploy
file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import hashlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "review.example"
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
EVACUATE_S = 5.0
DRAIN_S = 3.0
GRACE_S = 6
HEARTBEAT_S = 1.2
LEASE_CHECK_S = 0.1
RECORD_BYTES = 16
SETTINGS = """
Node = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPortRange = [{peer}, {peer}]
Seeds = []
Bootstrap = true
HeartbeatMs = 1200
[ListenAddrs]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
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


def now() -> float:
    """Returns the present time in seconds of the steady clock."""
    return time.monotonic()


def trouble_wanted() -> bool:
    """Returns whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run, and the result."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = now()

    def write(self, text: str) -> None:
        """Adds a line with the time since the start of the run."""
        self._file.write(f"{now() - self._began:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer that was read whole."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split()[1])


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Reads a message with a stated length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if has_body and length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], headers, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns an answer in its wire format."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def free_port(ip: str) -> int:
    """Returns a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


@dataclass
class _Lease:
    ttl_s: float
    expires_at: float


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Copy:
    """A copy of the store's state at a moment."""

    items: dict[str, _Item]
    leases: dict[int, _Lease]
    revision: int
    next_lease: int


class Door:
    """An address of the store, used by one machine."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_refusing = False
        self.writers: set[asyncio.StreamWriter] = set()


class Store:
    """The platform's store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._next_lease = 7001
        self._changed = asyncio.Event()
        self._doors: dict[str, Door] = {}
        self.revision = 1
        self.era = 1
        self.is_away = False
        self._away_since = 0.0

    async def open_door(self, ip: str) -> Door:
        """Listens on one more address."""
        door = Door(f"{ip}:{free_port(ip)}")
        host, _, port = door.address.rpartition(":")

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            door.writers.add(writer)
            try:
                await self._serve(door, reader, writer)
            finally:
                door.writers.discard(writer)
                writer.close()

        await asyncio.start_server(serve, host, int(port))
        self._doors[door.address] = door
        return door

    def write(self, key: str, value: object) -> int:
        """Writes a value as JSON; the return is the acknowledgement."""
        self._put(key, json.dumps(value).encode(), 0)
        self._record.write(f"store: {key} written, revision {self.revision}")
        return self.revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        if key in self._items:
            self._remove(key)
            self._record.write(
                f"store: {key} removed, revision {self.revision}"
            )

    def copy(self) -> Copy:
        """Returns a copy of the state."""
        return Copy(
            copy.deepcopy(self._items),
            copy.deepcopy(self._leases),
            self.revision,
            self._next_lease,
        )

    def go_away(self) -> None:
        """Ends all connections; new ones are closed until the return."""
        self.is_away = True
        self._away_since = now()
        for door in self._doors.values():
            for writer in list(door.writers):
                writer.transport.abort()

    def come_back(self, state: Copy | None) -> None:
        """Serves again, from a copy if one is given."""
        if state is not None:
            self._items = copy.deepcopy(state.items)
            self._leases = copy.deepcopy(state.leases)
            self.revision = state.revision
            self._next_lease = state.next_lease
            self._events = [e for e in self._events if e[0] <= state.revision]
            self.era += 1
            for lease in self._leases.values():
                lease.expires_at = now() + lease.ttl_s
        else:
            # Leases have paused.
            for lease in self._leases.values():
                lease.expires_at += now() - self._away_since
        self.is_away = False
        self._notify()

    async def run_leases(self) -> None:
        """Ends leases until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.is_away:
                continue
            for number, lease in list(self._leases.items()):
                if lease.expires_at <= now():
                    self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        for key, item in list(self._items.items()):
            if item.lease == number:
                self._remove(key)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known else self.revision
        self._items[key] = _Item(value, self.revision, created, lease)
        self._events.append((self.revision, self._encode(key)))
        self._notify()

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self._items[key]
        event = {"Key": key, "Revision": self.revision, "Removed": True}
        self._events.append((self.revision, event))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "Key": key,
            "Value": base64.b64encode(item.value).decode(),
            "Revision": item.revision,
            "Created": item.created,
            "Lease": item.lease,
        }

    async def _serve(
        self,
        door: Door,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while not self.is_away:
            message = await read_message(reader)
            if message is None or self.is_away:
                break
            if door.is_refusing:
                status, fields = 503, {}
            else:
                status, fields = await self._answer(message)
            if self.is_away:
                break
            if door.is_refusing:
                status, fields = 503, {}
            headers = {
                "Content-Type": "application/json",
                "Store-Era": str(self.era),
            }
            body = json.dumps(fields).encode()
            with contextlib.suppress(ConnectionError, OSError):
                writer.write(encode_answer(status, headers, body))
                await writer.drain()

    async def _answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        method, target, _ = message.start.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        body = json.loads(message.body) if message.body else {}
        match [method, *url.path.strip("/").split("/")]:
            case ["GET", "kv-key"]:
                if query["Key"] not in self._items:
                    return 404, {"CurrentRev": self.revision}
                item = self._encode(query["Key"])
                return 200, {**item, "CurrentRev": self.revision}
            case ["GET", "kv-range"]:
                return 200, self._range(query)
            case ["GET", "kv-watch"]:
                return await self._watch(query)
            case ["POST", "kv-txn"]:
                return self._transact(body)
            case ["POST", "kv-lease"]:
                number = self._next_lease
                self._next_lease += 1
                ttl_s = body["TtlMs"] / 1000
                self._leases[number] = _Lease(ttl_s, now() + ttl_s)
                return 200, {"Lease": number, "TtlMs": body["TtlMs"]}
            case ["POST", "kv-keep", number]:
                lease = self._leases.get(int(number))
                if lease is None:
                    return 404, {}
                lease.expires_at = now() + lease.ttl_s
                return 200, {}
            case ["DELETE", "kv-lease-end", number]:
                if int(number) in self._leases:
                    self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get("Prefix", "")) and key > after
        )
        return {
            "items": [self._encode(key) for key in keys[:500]],
            "HasMore": len(keys) > 500,
            "CurrentRev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        ends_at = now() + int(query["WaitMs"]) / 1000
        prefix = query.get("Prefix", "")
        while not self.is_away:
            if after > self.revision:
                # A revision that the store does not have.
                return 410, {}
            events = [
                event
                for revision, event in self._events
                if revision > after and event["Key"].startswith(prefix)
            ]
            left_s = ends_at - now()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return 503, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("ExpectedRev") or []:
            item = self._items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                return 412, {"items": []}
        puts = body.get("Puts") or []
        for put in puts:
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("Lease") and put["Lease"] not in self._leases:
                return 404, {}
        for put in puts:
            value = base64.b64decode(put["Value"], validate=True)
            self._put(put["Key"], value, put.get("Lease") or 0)
        for key in body.get("Deletes") or []:
            if key in self._items:
                self._remove(key)
        return 200, {"Revision": self.revision}


@dataclass
class Run:
    """A request at a leaf.

    Attributes:
        request_id: Id of the request.
        path: Its path.
        leaf: Id of the leaf.
        service: Service of the leaf.
        zone: Zone of the leaf.
        arrived_at: Time at which it had arrived.
        began_at: Time at which the leaf began to work on it, or 0.
        ended_at: Time at which the leaf stopped, or 0.
    """

    request_id: str
    path: str
    leaf: str
    service: str
    zone: str
    arrived_at: float
    began_at: float = 0.0
    ended_at: float = 0.0


@dataclass
class Leaf:
    """A leaf of a service.

    It runs as many requests at a time as it has slots, queues a few more and
    drops a request when its connection closes.
    """

    store: Store
    record: Record
    ip: str
    service: str
    zone: str
    runs: list[Run]
    work_s: Callable[[], float]
    slots: int = 6
    queue: int = 24
    max_connections: int = 110
    leaf_id: str = ""
    state: str = "ready"
    warm_at: float = 0.0
    address: str = ""
    _sequence: int = 0
    _connections: int = 0
    _running: int = 0
    _waiting: int = 0
    _born_ms: int = 0
    _free: asyncio.Semaphore = field(init=False)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    is_dark: bool = False
    # A request whose path begins with this ends the leaf's process.
    crash_prefix: str = ""
    down_s: float = 2.0
    # Whether a supervisor holds the listening socket while the leaf is down.
    is_supervised: bool = False
    crashes: int = 0
    _is_up: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens, then registers."""
        self.leaf_id = f"i-{random.randrange(16**8):08x}"
        self._born_ms = int(time.time() * 1000)
        self._free = asyncio.Semaphore(self.slots)
        self.address = f"{self.ip}:{free_port(self.ip)}"
        self._is_up.set()
        await self._listen()
        self.register()

    async def _listen(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def go_dark(self, for_s: float) -> None:
        """Falls silent, and comes back as another incarnation.

        The entry is removed after three heartbeat intervals of silence.
        """
        self.is_dark = True
        self.record.write(f"{self.leaf_id} ({self.service}) is dark")
        lapse_s = 3 * HEARTBEAT_S
        await asyncio.sleep(min(for_s, lapse_s))
        if for_s >= lapse_s:
            self.store.remove(f"servers/{self.leaf_id}")
            await asyncio.sleep(for_s - lapse_s)
        for writer in list(self._writers):
            writer.transport.abort()
        self.store.remove(f"servers/{self.leaf_id}")
        self.is_dark = False
        self.leaf_id = f"i-{random.randrange(16**8):08x}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.register()
        self.record.write(f"{self.leaf_id} ({self.service}) is back")

    def crash(self) -> None:
        """Ends the process, which is started again after a time.

        If it is supervised, the supervisor holds the listening socket, so that
        connections are accepted meanwhile, and wait. The new process has
        another id; the entry of the old one is removed after three heartbeat
        intervals.
        """
        self.crashes += 1
        self.record.write(f"{self.leaf_id} ({self.service}) has crashed")
        self._is_up.clear()
        if self._server is not None and not self.is_supervised:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        lapse_s = 3 * HEARTBEAT_S
        loop.call_later(lapse_s, self.store.remove, f"servers/{self.leaf_id}")
        loop.call_later(
            self.down_s, lambda: asyncio.ensure_future(self._restart())
        )

    async def _restart(self) -> None:
        if not self.is_supervised:
            await self._listen()
        self.leaf_id = f"i-{random.randrange(16**8):08x}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._is_up.set()
        self.register()

    def register(self) -> None:
        """Writes the leaf's entry."""
        self._sequence += 1
        self.store.write(
            f"servers/{self.leaf_id}",
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftMs": max(0, int((self.warm_at - now()) * 1000)),
                "Sequence": self._sequence,
                "born": self._born_ms,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connections >= self.max_connections:
            writer.transport.abort()
            return
        self._connections += 1
        try:
            await self._is_up.wait()
            self._writers.add(writer)
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                answer = None
                if not self.is_dark:
                    answer = await self._answer(message, reader)
                if self.is_dark:
                    await _wait_for_close(reader)
                    return
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, message: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        request_id = message.headers.get("request-id", "")
        path = message.start.split()[1]
        load = f"{self._running},{self._waiting},{self.slots}"
        headers = {"Request-Id": request_id, "Server-Load": load}
        if message.headers.get("target-instance") != self.leaf_id:
            return encode_answer(421, {**headers, "Not-Executed": "1"}, b"")
        run = Run(
            request_id, path, self.leaf_id, self.service, self.zone, now()
        )
        self.runs.append(run)
        if self._waiting >= self.queue:
            return encode_answer(503, {**headers, "Not-Executed": "1"}, b"")
        if self.crash_prefix and path.startswith(self.crash_prefix):
            run.began_at = run.ended_at = now()
            self.crash()
            return None
        deadline_s = int(message.headers.get("deadline-ms", "60000")) / 1000
        work = asyncio.ensure_future(self._work(run, deadline_s))
        closed = asyncio.ensure_future(_wait_for_close(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not work.done():
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            return None
        stamp = hashlib.blake2b(
            f"{request_id} {self.leaf_id}".encode(), digest_size=8
        ).hexdigest()
        headers["Response-Stamp"] = stamp
        status = work.result()
        if status == 503:
            del headers["Response-Stamp"]
            headers["Not-Executed"] = "1"
        body = self.service.encode().ljust(RECORD_BYTES, b".")[:RECORD_BYTES]
        return encode_answer(status, headers, body if status == 200 else b"")

    async def _work(self, run: Run, deadline_s: float) -> int:
        ends_at = run.arrived_at + deadline_s
        self._waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), deadline_s)
        except TimeoutError:
            return 503
        finally:
            self._waiting -= 1
        self._running += 1
        run.began_at = now()
        try:
            work_s = self.work_s()
            left_s = max(0.0, ends_at - now())
            await asyncio.sleep(min(work_s, left_s))
            return 200 if work_s <= left_s else 504
        finally:
            run.ended_at = now()
            self._running -= 1
            self._free.release()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Returns when the peer has closed; it sends nothing meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.002)


@dataclass
class Gateway:
    """A gateway process, one machine of the system."""

    name: str
    ip: str
    zone: str
    door: Door
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    front: int = 0
    ready: int = 0
    directory: int = 0

    def start(self) -> None:
        """Writes the settings and starts the process."""
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        settings = self.folder / f"{self.name}.toml"
        if not self.front:
            self.front, self.ready, self.directory, peer = (
                free_port(self.ip) for _ in range(4)
            )
            settings.write_text(
                SETTINGS.format(
                    name=self.name,
                    ip=self.ip,
                    zone=self.zone,
                    peer=peer,
                    front=self.front,
                    ready=self.ready,
                    directory=self.directory,
                    grace=GRACE_S,
                    store=self.door.address,
                ),
                encoding="utf-8",
            )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAPPHIRECROSS_BOOT"] = str(settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["gateway"]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class Answer:
    """What a client got; the status is 0 if the connection ended."""

    request_id: str
    path: str
    sent_at: float
    status: int
    headers: dict[str, str]
    body: bytes
    done_at: float
    gateway: str


class Connection:
    """A client's connection to one gateway, kept open between requests."""

    def __init__(self, host: str, port: int, name: str) -> None:
        self._host = host
        self._port = port
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        path: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
        leave_after_s: float | None = None,
    ) -> Answer:
        """Sends a request and waits for its answer.

        Args:
            path: The path.
            deadline_ms: Time for which the client waits.
            method: The method.
            body: The body.
            leave_after_s: Time after which the client closes the connection.
        """
        request_id = f"{random.randrange(16**16):016x}"
        wait_s = deadline_ms / 1000 if leave_after_s is None else leave_after_s
        sent_at = now()
        answer = Answer(request_id, path, sent_at, 0, {}, b"", 0.0, self._name)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.wait_for(
                    asyncio.open_connection(self._host, self._port), 1.0
                )
            assert self._reader is not None
            answer.sent_at = now()
            self._writer.write((head + "\r\n").encode() + body)
            message = await asyncio.wait_for(read_message(self._reader), wait_s)
        except (OSError, TimeoutError):
            message = None
        if message is None:
            self.close()
        else:
            answer.status = message.status
            answer.headers = message.headers
            answer.body = message.body
            if message.headers.get("connection", "").lower() == "close":
                self.close()
        answer.done_at = now()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def get_json(host: str, port: int, target: str) -> tuple[int, Any]:
    """Sends a GET request on a new connection.

    Returns:
        Status and decoded body; status 0 if there is no answer within 1 s.
    """
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0
        )
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), 1.0)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    body = json.loads(message.body) if message.body else None
    return message.status, body


class Lab:
    """A small deployment: a store, leaves and gateways."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.gateways: list[Gateway] = []
        self.leaves: list[Leaf] = []
        self.runs: list[Run] = []
        net = random.randrange(20, 220)
        self._ip_prefix = f"127.{net}.{random.randrange(1, 250)}"
        self._last_ip = 0
        self._lease_task: asyncio.Task[None] | None = None

    def next_ip(self) -> str:
        """Returns one more loopback address."""
        self._last_ip += 1
        return f"{self._ip_prefix}.{self._last_ip}"

    async def add_leaf(
        self, service: str, zone: str, work_s: Callable[[], float], **more: int
    ) -> Leaf:
        """Starts a leaf."""
        leaf = Leaf(
            self.store,
            self.record,
            self.next_ip(),
            service,
            zone,
            self.runs,
            work_s,
            **more,
        )
        await leaf.start()
        self.leaves.append(leaf)
        return leaf

    async def start_gateways(self, zones: list[str]) -> None:
        """Starts a gateway in each of the zones and waits until all serve.

        Raises:
            CannotRunError: They do not become ready.
        """
        self._lease_task = asyncio.ensure_future(self.store.run_leases())
        for number, zone in enumerate(zones, 1):
            ip = self.next_ip()
            door = await self.store.open_door(ip)
            gateway = Gateway(f"front-{number}", ip, zone, door, self.folder)
            gateway.start()
            self.gateways.append(gateway)
        for _ in range(200):
            await asyncio.sleep(0.1)
            states = [
                await get_json(g.ip, g.ready, "/ready") for g in self.gateways
            ]
            if all(status == 200 for status, _ in states):
                return
        raise CannotRunError("the gateways do not become ready")

    async def wait_until_known(self) -> None:
        """Waits until each gateway names the others in its directory."""
        for _ in range(100):
            found = [
                await get_json(g.ip, g.directory, f"/resolve?Zone={g.zone}")
                for g in self.gateways
            ]
            if all(status == 200 and body["addrs"] for status, body in found):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class CannotRunError(Exception):
    """The case could not run."""


def main(
    folder: pathlib.Path, play: Callable[[Lab], Awaitable[list[str]]]
) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case.
        play: Plays the case and returns how the rule was broken, if it was.
    """

    async def run() -> int:
        lab = Lab(folder)
        try:
            try:
                breaches = await asyncio.wait_for(play(lab), 115)
            except CannotRunError as error:
                lab.record.write(f"RESULT the case could not run: {error}")
                return 2
            for gateway in lab.gateways:
                assert gateway.process is not None
                if gateway.process.poll() is not None:
                    lab.record.write(f"{gateway.name} is not running")
            for breach in breaches:
                lab.record.write(f"BROKEN {breach}")
                print(f"BROKEN {breach}")
            result = "rule broken" if breaches else "rule held"
            lab.record.write(f"RESULT {result}")
            print(result)
            return 1 if breaches else 0
        finally:
            lab.close()

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
