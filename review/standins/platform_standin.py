"""Stand-ins for the reviewers' scripts: store, minions, clients and the daemons as processes.

Only the standard library is used. The store and the minions follow PROTOCOL.md; what a page does
not say, they do as a sound store or minion would. Every address is a loopback address.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ENTRY_LIFETIME_BEATS = 3
HEARTBEAT_SECONDS = 1.5
STORE_ANSWER_SECONDS = 0.004
MAX_ROW_BYTES = 65536
MAX_SECONDS = 112.0
SUBMIT_SECONDS = 45.0

CONFIG_HOST = "desk.example"
PREFIX = "/lane0001/"
SERVICE = "desk"
KEY = "key-of-tenant-one"


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


class HttpServer:
    """HTTP/1.1 server with keep-alive. A handler that returns ``None`` answers nothing at all."""

    def __init__(self, port: int, handler) -> None:
        self.port, self.handler = port, handler
        self.server = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 24)

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # The connection stays open and delivers nothing further.
                    await reader.read()
                    return
                status, payload = answer
                data = json.dumps(payload).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, headers, body=b"", timeout=4.0):
    """Send one request on a new connection; return the status and body, or ``(None, reason)``."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            data = await reader.read()
    except (OSError, TimeoutError) as error:
        return None, repr(error)
    finally:
        if writer is not None:
            writer.transport.abort()
    head, _, payload = data.partition(b"\r\n\r\n")
    match = re.match(rb"HTTP/1\.[01] (\d+)", head)
    return (int(match[1]), payload.decode(errors="replace")) if match else (None, "no answer")


# The store


class Store:
    """The platform's metadata store; one port for each caller, so that a fault can name it.

    :ivar fault: called with the caller's name and the body of each write; returns ``None``, or the
        number of seconds after which the write is done without an answer.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.fault = lambda origin, body: None
        self.servers: list[HttpServer] = []
        self.tasks: set[asyncio.Task] = set()

    async def listen(self, port: int, origin: str) -> None:
        async def handler(method, target, headers, body):
            return await self.handle(origin, method, target, body)

        server = HttpServer(port, handler)
        await server.start()
        self.servers.append(server)

    def close(self) -> None:
        for server in self.servers:
            server.stop()
        for task in self.tasks:
            task.cancel()

    def put(self, table: str, key: str, data: bytes | None, part: str = "") -> None:
        """Write a row, or remove it, as the platform, the operator or a minion does."""
        self.version += 1
        value = None if data is None else base64.b64encode(data).decode()
        self.rows[table, part, key] = (self.version, value)
        self.notify()

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, name) -> dict:
        version, value = self.rows[name]
        row = {"Table": name[0], "part": name[1], "Key": name[2], "RowVersion": version}
        return {**row, "Deleted": True} if value is None else {**row, "Value": value}

    def answer(self, **values) -> dict:
        now = int(time.monotonic() * 1000)
        return {"RowVersion": self.version, "NowMs": now, **values}

    async def handle(self, origin, method, target, body):
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/rows-tx" and method == "POST":
            values = json.loads(body)
            delay = self.fault(origin, values)
            if delay is not None:
                task = asyncio.create_task(self.transact_late(origin, values, delay))
                self.tasks.add(task)
                return None
            return self.transact(values)
        if parts.path == "/rows-get":
            return self.read(query)
        if parts.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact_late(self, origin, values, delay) -> None:
        await asyncio.sleep(delay)
        status, _ = self.transact(values)
        keys = [f"{each['Table']}/{each['Key']}" for each in values.get("Write", ())]
        self.record.write(f"store: late write of {origin} {keys} done: {status}")

    def transact(self, values):
        def name(row):
            return row["Table"], row.get("part", ""), row["Key"]

        def current(row):
            version, value = self.rows.get(name(row), (0, None))
            return 0 if value is None else version

        expected = values.get("Expect") or []
        writes, removals = values.get("Write") or [], values.get("Remove") or []
        if any(each["Table"] in ("op", "servers") for each in [*writes, *removals]):
            return 403, {}
        if any(len(base64.b64decode(each["Value"])) > MAX_ROW_BYTES for each in writes):
            return 400, {}
        if any(current(row) != row["RowVersion"] for row in expected):
            rows = [self.encode(name(row)) for row in expected if current(row)]
            return 412, self.answer(rows=rows)
        self.version += 1
        for row in writes:
            self.rows[name(row)] = (self.version, row["Value"])
        for row in removals:
            if name(row) in self.rows:
                self.rows[name(row)] = (self.version, None)
        self.notify()
        return 200, self.answer()

    def read(self, query):
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("StartKey", ""), query.get("To")
        names = sorted(
            (
                each
                for each, (_, value) in self.rows.items()
                if each[:2] == (table, part)
                and value is not None
                and each[2] >= start
                and (not end or each[2] < end)
            ),
            key=lambda each: each[2].encode(),
        )
        limit = min(int(query.get("Limit") or 500), 500)
        rows = [self.encode(each) for each in names[:limit]]
        return 200, self.answer(rows=rows, HasMore=len(names) > limit)

    async def feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs") or 0) / 1000
        while True:
            names = [
                each
                for each, (version, _) in self.rows.items()
                if each[0] == table and version > after
            ]
            left = until - time.monotonic()
            if names or left <= 0:
                names.sort(key=lambda each: self.rows[each][0])
                return 200, self.answer(rows=[self.encode(each) for each in names])
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass


# Minions


class Task:
    """One run on a minion."""

    def __init__(self, task: str, attempt: int, seconds: float, now: float) -> None:
        self.task, self.attempt, self.seconds = task, attempt, seconds
        self.began, self.ended, self.how = now, None, None
        self.end_number, self.noted = None, None
        self.stop_at = None


def work_seconds(job: dict, step: int) -> float:
    """Return how long a task works: by the text "work SECONDS [SECONDS-OF-THE-LAST-STEP]"."""
    words = job["Spec"].split()
    return float(words[-1] if step == len(job["Phases"]) - 1 else words[1])


class Minion:
    """One minion: orders, lease, ends, and its registration in the store.

    :param jobs: jobs that clients have sent, by id: the text and the steps.
    :ivar cut: ``None``, ``"silent"`` or ``"refuse"`` while it is cut off from everything.
    """

    def __init__(self, world: "World", number: int, port: int) -> None:
        self.world, self.number, self.port = world, number, port
        self.machine = f"machine-{number:02}"
        self.cut: str | None = None
        self.server: HttpServer | None = None
        self.runs: list[Task] = []
        self.boot(f"minion-{number:02}")

    def boot(self, minion_id: str) -> None:
        self.id = minion_id
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.active: dict[tuple[str, int], Task] = {}
        self.finished: list[Task] = []
        self.highest: dict[str, int] = {}
        self.end_count = 0
        self.deadline = -1
        self.sequence = 0
        self.last_beat = self.next_beat = -1e9
        self.is_up = True
        self.state = "ready"
        self.ended = asyncio.Event()

    @property
    def clock(self) -> int:
        return int((time.monotonic() - self.started) * 1000)

    def log(self, text: str) -> None:
        self.world.record.write(f"{self.id}: {text}")

    async def start(self) -> None:
        self.server = HttpServer(self.port, self.handle)
        await self.server.start()

    # Registration

    def entry(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                "Service": SERVICE,
                "Address": f"{HOST}:{self.port}",
                "Zone": self.world.zones[self.number % len(self.world.zones)],
                "Version": "v1",
                "Slots": 8,
                "State": self.state,
                "ColdLeftMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
                "ClockMs": self.clock,
                "Machine": self.machine,
                "Capacity": {"Cpu": 64000, "MemMb": 131072, "Gpu": 8},
                "Labels": ["a", f"r{self.number % len(self.world.zones)}-1"],
            }
        ).encode()

    def beat(self) -> None:
        self.last_beat = time.monotonic()
        self.next_beat = max(self.next_beat, self.last_beat + HEARTBEAT_SECONDS)
        self.world.store.put("servers", self.id, self.entry())

    def tick(self) -> None:
        """Let time pass: heartbeats, ends of work, stops and the lease."""
        now = time.monotonic()
        name = ("servers", "", self.id)
        if self.is_up and now >= self.next_beat:
            self.next_beat += HEARTBEAT_SECONDS
            if self.cut is None:
                self.beat()
        if (
            now - self.last_beat >= ENTRY_LIFETIME_BEATS * HEARTBEAT_SECONDS
            and self.world.store.rows.get(name, (0, None))[1] is not None
        ):
            self.world.store.put("servers", self.id, None)
            self.world.record.write(f"store: entry of {self.id} removed, silent")
        if not self.is_up:
            return
        for run in list(self.active.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif self.clock > self.deadline:
                self.end(run, "lapsed")
            elif now - run.began >= run.seconds:
                self.end(run, "done")

    def end(self, run: Task, how: str) -> None:
        self.active.pop((run.task, run.attempt), None)
        self.end_count += 1
        run.ended, run.how, run.end_number = time.monotonic(), how, self.end_count
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.finished.append(run)
        self.log(f"run {run.task} attempt {run.attempt} ended {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    def crash(self) -> None:
        """End the process at once: its runs are gone, connections are refused."""
        self.is_up = False
        for run in self.active.values():
            run.ended, run.how = time.monotonic(), "crashed"
        self.active.clear()
        self.server.stop()
        self.log("crashed")

    async def come_back(self, minion_id: str) -> None:
        """Start again on the same machine, as another minion."""
        self.world.store.put("servers", self.id, None)
        self.boot(minion_id)
        await self.server.start()
        self.beat()
        self.log(f"started on {self.machine}")

    # Cuts

    async def set_cut(self, how: str | None) -> None:
        self.log(f"cut off, {how}" if how else "reachable again")
        if how == "refuse":
            self.server.stop()
        elif how is None and self.cut == "refuse":
            await self.server.start()
        elif how is None:
            for writer in list(self.server.writers):
                writer.transport.abort()
        self.cut = how

    # Orders

    async def handle(self, method, target, headers, body):
        if self.cut is not None:
            return None
        if headers.get("target-instance", self.id) != self.id:
            return 421, {}
        values = json.loads(body)
        if target == "/hold":
            answer = await self.hold(values)
        elif target == "/run-start":
            answer = self.run_start(values)
        elif target == "/run-stop":
            answer = self.run_stop(values)
        else:
            return 404, {}
        return None if self.cut is not None or not self.is_up else answer

    def reject(self, reason: str):
        return 409, {"ClockMs": self.clock, "born": self.born, "Reason": reason}

    def extend(self, deadline) -> None:
        if deadline is not None:
            longest = self.clock + self.world.lease_ms
            self.deadline = max(self.deadline, min(int(deadline), longest))

    def run_start(self, values):
        token, task, attempt = values.get("FencingToken", 0), values["Task"], values["Attempt"]
        if token < self.token:
            return self.reject("fence")
        self.token = token
        self.log(f"told to start {task} attempt {attempt} token {token}")
        ok = 200, {"ClockMs": self.clock, "born": self.born}
        if values["DeadlineMs"] < self.clock:
            return self.reject("late")
        if (task, attempt) in self.active:
            self.extend(values["DeadlineMs"])
            return ok
        self.extend(values["DeadlineMs"])
        others = [run.attempt for run in self.active.values() if run.task == task]
        if attempt <= max([self.highest.get(task, 0), *others]):
            return self.reject("old")
        job_id, _, step, _ = task.split(".")
        known = self.world.jobs.get(job_id)
        if known is None or known["Spec"] != values["Spec"]:
            self.world.problems.append(f"start of {task}: nobody sent this job")
            return 400, {}
        if not self.fits(known["Phases"][int(step)]):
            return self.reject("room")
        run = Task(task, attempt, work_seconds(known, int(step)), time.monotonic())
        run.minion = self
        self.active[task, attempt] = run
        self.runs.append(run)
        self.world.runs.append(run)
        self.log(f"run {task} attempt {attempt} began")
        self.world.on_start(self, run)
        return ok

    def fits(self, step) -> bool:
        steps = [step]
        for run in self.active.values():
            job_id, _, number, _ = run.task.split(".")
            steps.append(self.world.jobs[job_id]["Phases"][int(number)])
        used = {
            "Cpu": sum(each.get("Cpu", 0) for each in steps if not each.get("FillCount")),
            "Gpu": sum(each.get("Gpu", 0) for each in steps),
        }
        return used["Cpu"] <= 64000 and used["Gpu"] <= 8

    def run_stop(self, values):
        if values.get("FencingToken", 0) < self.token:
            return self.reject("fence")
        self.token = values.get("FencingToken", 0)
        task, attempt = values["Task"], values["Attempt"]
        self.log(f"told to stop {task} attempt {attempt}")
        run = self.active.get((task, attempt))
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        elif run.stop_at is None:
            run.stop_at = time.monotonic() + 0.1
        return 200, {"ClockMs": self.clock, "born": self.born}

    def percent(self, run: Task) -> int:
        """Return the progress of a run; a task that lasts is at work, at 100, after 0.3 s."""
        job_id, _, step, _ = run.task.split(".")
        age = time.monotonic() - run.began
        if self.world.jobs[job_id]["Phases"][int(step)].get("LongRunning"):
            return 100 if age > 0.3 else 0
        return min(99, int(100 * age / run.seconds))

    async def hold(self, values):
        token = values.get("FencingToken", 0)
        if token < self.token:
            return self.reject("fence")
        if token > self.token:
            self.log(f"hold with token {token}")
        self.token = token
        for run in [each for each in self.finished if each.end_number <= values["LastSeen"]]:
            run.noted = time.monotonic()
            self.finished.remove(run)
            self.log(f"end of {run.task} attempt {run.attempt} taken note of")
        self.extend(values.get("DeadlineMs"))
        until = time.monotonic() + min(int(values.get("WaitMs") or 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.ended.wait()
            except TimeoutError:
                break
        active = [
            [
                run.task,
                run.attempt,
                "",
                self.percent(run),
                0,
            ]
            for run in self.active.values()
        ]
        ends = [[each.end_number, each.task, each.attempt, each.how, ""] for each in self.finished]
        return 200, {
            "ClockMs": self.clock,
            "born": self.born,
            "Active": active,
            "Finished": ends[:500],
        }


# The daemons


class Daemon:
    """One process of the system, started by the command of the deploy file."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number = world, number
        self.name = f"edge-{number}"
        self.callers, self.ready, self.control, self.store_port = free_ports_of(world, 4)
        (self.internal,) = free_ports_of(world, 1, 16)
        self.process = None

    def settings(self) -> str:
        zones = self.world.zones
        bounds = "\n".join(f"{name} = {value}" for name, value in self.world.bounds.items())
        places = "\n".join(f'{zone} = "region"' for zone in zones)
        return f"""NodeName = "{self.name}"
Role = "entry"
MachineClass = "edge"
ServedRoles = ["edge"]
Ip = "{HOST}"
Zone = "{zones[self.number % len(zones)]}"
Region = "region"
InternalPortRange = [{self.internal},{self.internal + 15}]
SeedNodes = []
Bootstrap = true
InTolerance = false
DiscoverySource = "platform"
EntryKind = "virtual_ip"
HeartbeatIntervalMs = 1500
ActiveContracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
Commands = "invoke"
[Zones]
{places}
[ListenAddrs]
Frontend = "{HOST}:{self.callers}"
Ready = "{HOST}:{self.ready}"
ControlPlane = "{HOST}:{self.control}"
[Limits]
CpuQuota = 0.537
CpuCores = 2
MemoryLimitMb = 300
MaxFds = 4100
LinkSpeedMbps = 1000.0
DiskSizeMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
RegionFailures = 0
[Bounds]
{bounds}
[platform]
Address = "{HOST}:{self.store_port}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxnTimeoutMs = 3.0
PartWritesPerS = 300
MaxRowBytes = {MAX_ROW_BYTES}
CrossShard = true
HistoryRetentionS = 20
MaxBlobBytes = 8388608
"""

    async def start(self) -> None:
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        words = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "JAYPIER_NODE_FILE": str(path),
        }
        with (self.world.folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *words.split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.world.record.write(f"{self.name} started, pid {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.world.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        status, _ = await call(self.ready, "GET", "/readyz", {"Host": HOST}, timeout=1.0)
        return status == 200

    def log_text(self) -> str:
        path = self.world.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


def free_ports_of(world: "World", count: int, block: int = 1) -> list[int]:
    """Return ports that this script has not handed out yet."""
    found = []
    while len(found) < count:
        port = world.next_port
        world.next_port += block
        sockets = []
        try:
            for offset in range(block):
                each = socket.socket()
                sockets.append(each)
                each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                each.bind((HOST, port + offset))
            found.append(port)
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    return found


BOUNDS = {
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "DrainTimeoutMs": 2000,
    "GracePeriodS": 6,
    "ConfigApplyMs": 2000,
    "StrictRevocation": "true",
    "RevokeTimeoutMs": 5000,
    "EvacuationMs": 5000,
    "RecoveryTimeS": 12,
    "MaxHoldMs": 6000,
    "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "CheckpointIntervalS": 2,
    "RestoreTimeoutMs": 100,
    "FencingEnforced": "true",
    "LeaseDurationMs": 3000,
}
"""Bounds of the site kow-jaypier."""


class World:
    """The whole deployment of a script."""

    def __init__(self, folder: Path, minions: int = 8, daemons: int = 3, priority: int = 1) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="jaypier-review-"))
        self.bounds = BOUNDS
        self.priority = priority
        self.lease_ms = self.bounds["MaxHoldMs"]
        self.zones = ["zone-a", "zone-b"]
        self.next_port = 21000 + (os.getpid() * 97) % 10000
        self.jobs: dict[str, dict] = {}
        self.runs: list[Task] = []
        self.problems: list[str] = []
        self.accepted: dict[str, float] = {}
        self.on_start = lambda minion, run: None
        self.store = Store(self.record)
        self.minions = [
            Minion(self, number, port) for number, port in enumerate(free_ports_of(self, minions))
        ]
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self.ticker: asyncio.Task | None = None

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.record.write(f"trouble: {self.trouble}")
        self.configure(1)
        for minion in self.minions:
            await minion.start()
            minion.beat()
        self.ticker = asyncio.create_task(self.tick())
        for daemon in self.daemons:
            await self.store.listen(daemon.store_port, daemon.name)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_for(daemon.is_ready, 30, f"{daemon.name} ready")

    async def stop(self) -> None:
        """End every process and server that was started."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        if self.ticker is not None:
            self.ticker.cancel()
        for minion in self.minions:
            if minion.server is not None:
                minion.server.stop()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, version: int) -> None:
        configuration = {
            "Version": version,
            "Routes": [
                {
                    "Name": "lane",
                    "Host": CONFIG_HOST,
                    "PathPrefix": PREFIX,
                    "Kind": "non_idempotent",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 1000,
                    "Priority": self.priority,
                    "Service": SERVICE,
                    "MaxAttempts": 3,
                    "SlackFactor": 3.0,
                    "Public": False,
                }
            ],
            "Services": [{"Name": SERVICE, "AdmissionControl": True}],
            "Tenants": [{"Name": "one", "ApiKeys": [KEY], "Guaranteed": {"Gpu": 16}}],
            "Limits": {},
        }
        self.store.put("op", "config", json.dumps(configuration).encode())

    async def tick(self) -> None:
        while True:
            for minion in self.minions:
                minion.tick()
            await asyncio.sleep(0.01)

    async def wait_for(self, condition, seconds: float, what: str) -> None:
        until = time.monotonic() + seconds
        while True:
            result = condition()
            if await result if asyncio.iscoroutine(result) else result:
                return
            if time.monotonic() > until:
                raise CannotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    def leader(self) -> Daemon | None:
        """Return the daemon that the leader's row names."""
        version, value = self.store.rows.get(("leader", "", "leader"), (0, None))
        if value is None:
            return None
        owner = json.loads(base64.b64decode(value)).get("owner", "")
        return next((each for each in self.daemons if owner.startswith(each.name + "/")), None)

    # Clients

    async def ask(self, daemon: Daemon, method: str, job_id: str, body=None, deadline_ms=3000):
        """Send one request of a client; return the status (``None`` without an answer)."""
        headers = {
            "Host": CONFIG_HOST,
            "Api-Key": KEY,
            "Deadline-Ms": deadline_ms,
            "Content-Type": "application/json",
        }
        data = b"" if body is None else json.dumps(body).encode()
        self.record.write(f"client: {method} {job_id} to {daemon.name}")
        status, text = await call(
            daemon.callers, method, PREFIX + job_id, headers, data, deadline_ms / 1000
        )
        self.record.write(f"client: {method} {job_id} at {daemon.name}: {status} {text[:120]}")
        return status, text

    def make_job(self, job_id: str, seconds: float, count: int = 1, gpu: int = 1) -> dict:
        step = {"Count": count, "Cpu": 4000, "MemMb": 1024, "Gpu": gpu}
        job = {
            "Spec": f"work {seconds}",
            "Phases": [{**step, "EstimatedMs": int(seconds * 1000)}],
        }
        self.jobs[job_id] = job
        return job

    async def submit(self, job_id: str, job: dict, first: int = 0) -> None:
        """Hand a job in, again at other nodes until it is accepted."""
        alive = [each for each in self.daemons if each.process.returncode is None]
        until = time.monotonic() + SUBMIT_SECONDS
        for number in itertools.count():
            if time.monotonic() > until:
                break
            daemon = alive[(first + number) % len(alive)]
            status, _ = await self.ask(daemon, "POST", job_id, job)
            if status is not None and 200 <= status < 300:
                self.accepted[job_id] = time.monotonic()
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job_id} was never accepted")

    async def state(self, job_id: str) -> str:
        """Return the state of a job as the first node that answers shows it."""
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                status, text = await self.ask(daemon, "GET", job_id)
                if status == 200:
                    return json.loads(text)["State"]
                if status == 410:
                    return "410"
        return ""

    async def wait_for_state(self, job_id: str, state: str, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.state(job_id) == state:
                return True
            await asyncio.sleep(0.4)
        return False

    def runs_of(self, job_id: str) -> list[Task]:
        return [run for run in self.runs if run.task.split(".")[0] == job_id]


class CannotRun(Exception):
    """The case could not be brought about."""


def main(scenario, folder: Path, **settings) -> None:
    """Play a scenario, which returns the broken rule or an empty text; exit with 1, 0 or 2."""

    async def play() -> str:
        world = World(folder, **settings)
        stopping = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopping)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await world.start()
                outcome = await scenario(world)
            outcome = outcome or "; ".join(world.problems)
            world.record.write(f"result: {outcome or 'the rule held'}")
            return outcome
        except BaseException as error:
            world.record.write(f"result: could not run: {error!r}")
            raise
        finally:
            await world.stop()

    try:
        outcome = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print(outcome or "the rule held")
    sys.exit(1 if outcome else 0)
