"""Stand-ins for the platform, the minions and the clients, for the scripts of the second review.

They follow PROTOCOL.md: the store (rows-tx, rows-get, rows-feed), minions that take orders by
``invoke`` (run-start, run-stop, hold) and clients that speak HTTP/1.1. Where the pages are silent
they behave like a sound store, minion or client. Only the standard library is used. The daemons of
the project are separate processes, started by the line ``run`` of the deploy file.
"""

import asyncio
import base64
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
STORE_CALL_S = 0.004
MAX_ROW_BYTES = 65536
STORE_TX_S = 0.003
MAX_HOLD_MS = 6000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.2
STARTUP_S = 0.3


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of one HTTP message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


class Server:
    """An HTTP/1.1 server on one loopback address; ``handle`` returns status and JSON value."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = None

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=256)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # No answer: the connection stays open and silent.
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Close the listening socket and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def call(address, method, path, host, headers=None, body=b"", timeout=3.0):
    """Send one request; return status, headers and body, or None without a whole answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    if message is None:
        return None
    line, answered, data = message
    return int(line.split(" ")[1]), answered, data


# The record


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    @property
    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()


# The store


class Store:
    """The platform's store: rows in tables, one counter of versions, a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.servers = {}
        self.polls = {}
        self.is_down = False

    async def open_for(self, name):
        """Open an address for one machine, so that its calls are known; return the address."""

        async def handle(method, target, headers, body):
            return await self.handle(name, method, target, body)

        self.servers[name] = Server(handle)
        return await self.servers[name].open()

    def abort(self):
        for server in self.servers.values():
            server.abort()

    def put(self, table, key, value):
        """Write a row as the operator or a minion does."""
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"Table": table, "part": "", "Key": key, "Value": data, "RowVersion": self.version}
        self.rows[table, key] = row
        self.history.append(row)
        self.wake()

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.history.append(
                {
                    "Table": table,
                    "part": "",
                    "Key": key,
                    "RowVersion": self.version,
                    "Deleted": True,
                }
            )
            self.wake()

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()

        asyncio.ensure_future(notify())

    def value(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row["Value"]))

    def answer(self, rows, version, **more):
        now = int(time.monotonic() * 1000)
        return 200, {"rows": rows, "RowVersion": version, "NowMs": now, **more}

    async def handle(self, who, method, target, body):
        if self.is_down:
            return 503, {}
        await asyncio.sleep(STORE_CALL_S)
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        if path == "/rows-get":
            table, start = query["Table"], query.get("StartKey", "")
            end, limit = query.get("To"), min(500, int(query.get("Limit", 500)))
            keys = sorted(key for name, key in self.rows if name == table and key >= start)
            keys = [key for key in keys if end is None or key < end]
            rows = [self.rows[table, key] for key in keys[:limit]]
            return self.answer(rows, self.version, HasMore=len(keys) > limit)
        if path == "/rows-feed":
            wait = int(query.get("WaitMs", 0)) / 1000
            self.polls[who, query["Table"]] = time.monotonic() + wait
            return await self.feed(query["Table"], int(query["After"]), wait)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def feed(self, table, after, wait):
        def changes():
            newest = {}
            for row in reversed(self.history):
                if row["RowVersion"] <= after:
                    break
                if row["Table"] == table:
                    newest.setdefault(row["Key"], row)
            return sorted(newest.values(), key=lambda row: row["RowVersion"])

        if wait > 0 and not changes():
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: bool(changes()))
            except TimeoutError:
                pass
        return self.answer(changes(), self.version)

    async def transact(self, body):
        await asyncio.sleep(STORE_TX_S)
        expect = body.get("Expect", [])
        for row in expect:
            current = self.rows.get((row["Table"], row["Key"]))
            if (current["RowVersion"] if current else 0) != row["RowVersion"]:
                keys = [(each["Table"], each["Key"]) for each in expect]
                found = [self.rows[key] for key in keys if key in self.rows]
                now = int(time.monotonic() * 1000)
                return 412, {"rows": found, "RowVersion": self.version, "NowMs": now}
        writes, removes = body.get("Write", []), body.get("Remove", [])
        if any(row["Table"] in ("op", "servers") for row in writes + removes):
            return 403, {}
        too_long = [row["Key"] for row in writes if len(row["Value"]) // 4 * 3 - 2 > MAX_ROW_BYTES]
        if too_long:
            self.record(f"the store refuses a write: too long {too_long}")
            return 400, {}
        self.version += 1
        for row in writes:
            new = {**row, "part": "", "RowVersion": self.version}
            self.rows[row["Table"], row["Key"]] = new
            self.history.append(new)
        for row in removes:
            if self.rows.pop((row["Table"], row["Key"]), None) is not None:
                self.history.append(
                    {
                        "Table": row["Table"],
                        "part": "",
                        "Key": row["Key"],
                        "RowVersion": self.version,
                        "Deleted": True,
                    }
                )
        self.wake()
        return 200, {"RowVersion": self.version, "NowMs": int(time.monotonic() * 1000)}


# Minions


class Run:
    """A run of a task on a minion."""

    def __init__(self, task, attempt, step, checkpoint):
        self.task, self.attempt, self.step, self.checkpoint = task, attempt, step, checkpoint
        self.started = time.monotonic()
        self.timers = []

    @property
    def percent(self):
        elapsed = time.monotonic() - self.started
        if self.step.get("LongRunning"):
            return 100 if elapsed >= STARTUP_S else 0
        seconds = self.step.get("EstimatedMs", 0) / 1000
        return 100 if seconds <= 0 else min(100, int(100 * elapsed / seconds))


class Minion:
    """One life of a machine: it registers itself, takes orders and runs tasks.

    ``fate`` is called with the minion and each run that begins; it returns how the run ends and
    after how many seconds, None for its usual end.
    """

    def __init__(
        self, world, name, machine, zone, rack, kind="a", service="desk", port=0, clock_lead_s=0.0,
        is_well=True,
    ):
        self.world, self.name, self.machine, self.zone = world, name, machine, zone
        self.rack, self.kind, self.service, self.port = rack, kind, service, port
        self.capacity = {"Cpu": 64000, "MemMb": 131072, "Gpu": 8}
        # By the machine's time of day, which may differ from the true time.
        self.born = int((time.time() + clock_lead_s) * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.active, self.finished, self.barred = {}, [], {}
        self.count = 0
        self.lease = 0
        self.ended = asyncio.Condition()
        self.is_busy = False
        self.is_well = asyncio.Event()
        if is_well:
            self.is_well.set()
        self.state = "ready"
        self.server = Server(self.handle)
        self.tasks = []
        self.is_up = False
        self.sequence = 0
        self.holds = 0

    @property
    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def open(self):
        self.address = await self.server.open(port=self.port)
        self.is_up = True
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.watch_lease())]
        self.world.record(f"minion {self.name} on {self.machine} begins, born {self.born}")

    def entry(self):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self.sequence,
            "Capacity": self.capacity,
            "Labels": [self.kind, self.rack],
            "Machine": self.machine,
            "born": self.born,
            "ClockMs": self.clock,
        }

    async def beat(self):
        while True:
            if not self.world.store.is_down:
                self.world.store.put("servers", self.name, self.entry())
                self.world.heard[self.name] = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.active and self.clock >= self.lease:
                for run in list(self.active.values()):
                    self.end(run, "lapsed")

    def crash(self):
        """End this life without a word; connections are reset."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        lost = [f"{run.task}/{run.attempt}" for run in self.active.values()]
        for run in list(self.active.values()):
            for timer in run.timers:
                timer.cancel()
            self.world.ended(self, run, "lost with its minion", 0)
        self.active.clear()
        self.world.record(f"minion {self.name} on {self.machine} crashes, lost {lost}")

    def end(self, run, how):
        if self.active.get((run.task, run.attempt)) is not run:
            return
        del self.active[run.task, run.attempt]
        for timer in run.timers:
            timer.cancel()
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        self.count += 1
        self.finished.append([self.count, run.task, run.attempt, how, run.checkpoint])
        self.world.ended(self, run, how, self.count)

        async def notify():
            async with self.ended:
                self.ended.notify_all()

        asyncio.ensure_future(notify())

    def used(self, name):
        """Return what runs take of the room; the ``Cpu`` of tasks that fill isn't counted."""
        runs = [
            run for run in self.active.values() if name != "Cpu" or not run.step.get("FillCount")
        ]
        return sum(run.step.get(name, 0) for run in runs)

    async def handle(self, method, target, headers, body):
        # A minion that hangs carries out later what it has received meanwhile.
        await self.is_well.wait()
        if not self.is_up:
            return None
        if headers.get("target-instance", self.name) != self.name:
            return 421, {"born": self.born}
        value = json.loads(body)
        if value.get("FencingToken", 0) < self.fence:
            return 409, {"ClockMs": self.clock, "born": self.born, "Reason": "fence"}
        if target == "/run-start":
            answer = self.start(value)
            self.world.record(
                f"order to {self.name}: start {value['Task']} attempt {value['Attempt']} "
                f"token {value.get('FencingToken')} -> {answer[0]} {answer[1].get('Reason', '')}"
            )
            return answer
        self.fence = max(self.fence, value.get("FencingToken", 0))
        if target == "/run-stop":
            task, attempt = value["Task"], value["Attempt"]
            self.barred[task] = max(self.barred.get(task, 0), attempt)
            run = self.active.get((task, attempt))
            if run is not None:
                loop = asyncio.get_running_loop()
                run.timers.append(loop.call_later(STOP_S, self.end, run, "stopped"))
            self.world.record(f"order to {self.name}: stop {task} attempt {attempt} -> 200")
            return 200, {"ClockMs": self.clock, "born": self.born}
        if target == "/hold":
            return await self.hold(value)
        return 404, {}

    def start(self, value):
        clock = {"ClockMs": self.clock, "born": self.born}
        if self.is_busy:
            return 503, clock
        self.fence = max(self.fence, value.get("FencingToken", 0))
        task, attempt = value["Task"], value["Attempt"]
        if (task, attempt) in self.active:
            return 200, clock
        if value["DeadlineMs"] <= self.clock:
            return 409, {**clock, "Reason": "late"}
        self.extend(value["DeadlineMs"])
        if attempt <= self.barred.get(task, 0):
            return 409, {**clock, "Reason": "old"}
        step = self.world.step_of(task)
        for name in ("Cpu", "MemMb", "Gpu"):
            wanted = 0 if name == "Cpu" and step.get("FillCount") else step.get(name, 0)
            if self.used(name) + wanted > self.capacity[name]:
                return 409, {**clock, "Reason": "room"}
        run = Run(task, attempt, step, value.get("Checkpoint", ""))
        self.active[task, attempt] = run
        self.world.began(self, run)
        fate = self.world.fate(self, run)
        if fate is None and not step.get("LongRunning"):
            fate = ("done", step.get("EstimatedMs", 0) / 1000)
        if fate is not None:
            loop = asyncio.get_running_loop()
            run.timers.append(loop.call_later(fate[1], self.end, run, fate[0]))
        return 200, clock

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock + MAX_HOLD_MS))

    async def hold(self, value):
        self.holds += 1
        if "DeadlineMs" in value:
            self.extend(value["DeadlineMs"])
        seen = value.get("LastSeen", 0)
        for end in self.finished:
            if end[0] <= seen:
                self.world.noted(self, end)
        self.finished = [end for end in self.finished if end[0] > seen]
        wait = min(2000, value.get("WaitMs", 0)) / 1000
        if wait > 0 and not self.finished:
            try:
                async with asyncio.timeout(wait), self.ended:
                    await self.ended.wait_for(lambda: bool(self.finished))
            except TimeoutError:
                pass
        active = [
            [run.task, run.attempt, run.checkpoint, run.percent, 0] for run in self.active.values()
        ]
        return 200, {
            "ClockMs": self.clock,
            "born": self.born,
            "Active": active,
            "Finished": self.finished[:500],
        }


# A small deployment


class World:
    """A store, minions and daemons on the loopback interface, and clients of one tenant.

    Use it as an asynchronous context manager: it ends all processes that it has started.
    """

    host = "desk.example"
    prefix = "/queue/"

    def __init__(self, folder, daemons=3):
        self.record = Record(Path(folder) / "record.txt")
        self.store = Store(self.record)
        self.minions = {}
        self.heard = {}
        self.jobs = {}
        self.runs = []
        self.notes = []
        self.daemon_count = daemons
        self.processes = {}
        self.fronts = {}
        self.ready = {}
        self.settings = {}
        self.fate = lambda minion, run: None
        self.max_attempts = 3
        self.tasks = []

    # Minions

    async def add_minion(self, name, machine=None, zone="z-a", rack="r1", **more):
        minion = Minion(self, name, machine or f"m-{name}", zone, rack, **more)
        await minion.open()
        self.minions[name] = minion
        return minion

    async def sweep(self):
        """Remove the entries of minions that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.2)
            for name, heard in list(self.heard.items()):
                if time.monotonic() - heard > 3 * HEARTBEAT_S:
                    self.store.remove("servers", name)
                    del self.heard[name]

    def step_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job]["Phases"][int(step)]

    def began(self, minion, run):
        self.runs.append([run.task, run.attempt, minion.name, self.record.now, None, None])
        self.record(f"run begins: {run.task} attempt {run.attempt} on {minion.name}")

    def ended(self, minion, run, how, number):
        for each in self.runs:
            if each[:3] == [run.task, run.attempt, minion.name] and each[4] is None:
                each[4], each[5] = self.record.now, how
        self.record(f"run ends: {run.task} attempt {run.attempt} on {minion.name}: {how}")

    def noted(self, minion, end):
        self.record(f"taken note of: end {end[0]} of {minion.name}: {end[1]} {end[3]}")
        self.notes.append((self.record.now, minion.name, *end))

    # The operator

    def configure(self, version=1, **more):
        route = {
            "Name": "r1",
            "Host": self.host,
            "PathPrefix": self.prefix,
            "Kind": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 3000,
            "Priority": 1,
            "Service": "desk",
            "MaxAttempts": self.max_attempts,
            "SlackFactor": 3.0,
            "Public": False,
        }
        routes = [{**route, **each} for each in more.get("routes", [{}])]
        self.store.put(
            "op",
            "config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [
                    {"Name": name, "AdmissionControl": True}
                    for name in sorted({each["Service"] for each in routes})
                ],
                "Tenants": [{"Name": "t1", "ApiKeys": ["key-1"], "Guaranteed": {"Gpu": 8}}],
                "Limits": {},
            },
        )
        self.record(f"operator: configuration {version}")

    # Daemons

    async def __aenter__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="jaypier-review-"))
        self.tasks.append(asyncio.ensure_future(self.sweep()))
        return self

    async def __aexit__(self, *error):
        for name in list(self.processes):
            await self.end_daemon(name, signal.SIGKILL)
        for task in self.tasks:
            task.cancel()
        for minion in self.minions.values():
            if minion.is_up:
                minion.crash()
        self.store.abort()
        self.record("ended")

    async def start_daemons(self):
        names = [f"edge-{number}" for number in range(1, self.daemon_count + 1)]
        for number, name in enumerate(names, 1):
            store = await self.store.open_for(name)
            self.write_settings(name, f"127.0.1.{number}", f"z-{'abc'[(number - 1) % 3]}", store)
        for name in names:
            await self.start_daemon(name)
        for name in names:
            await self.wait_ready(name)

    def write_settings(self, name, ip, zone, store):
        def is_free(port):
            with socket.socket() as trial:
                trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    trial.bind((ip, port))
                except OSError:
                    return False
                return True

        base = next(
            port
            for port in range(20000 + os.getpid() % 500 * 40, 60000, 40)
            if all(map(is_free, range(port, port + 20)))
        )
        front, ready = (ip, base + 16), (ip, base + 17)
        self.fronts[name], self.ready[name] = front, ready
        path = self.folder / f"{name}.toml"
        path.write_text(
            f"""NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
ServedRoles = ["edge","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region"
InternalPortRange = [{base},{base + 15}]
SeedNodes = []
Bootstrap = true
DiscoverySource = "platform"
EntryKind = "virtual_ip"
HeartbeatIntervalMs = 1500
ActiveContracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
Commands = "invoke"
[Zones]
z-a = "region"
z-b = "region"
z-c = "region"
[ListenAddrs]
Frontend = "{ip}:{front[1]}"
Ready = "{ip}:{ready[1]}"
ControlPlane = "{ip}:{base + 18}"
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
ContactMs = 3000
AckTimeoutMs = 4000
DrainTimeoutMs = 2000
GracePeriodS = 6
ConfigApplyMs = 2000
StrictRevocation = true
RevokeTimeoutMs = 5000
EvacuationMs = 5000
MaxHoldMs = {MAX_HOLD_MS}
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
CheckpointIntervalS = 0.5
RestoreTimeoutMs = 600
NoticeMs = 4500
[platform]
Address = "{store[0]}:{store[1]}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxnTimeoutMs = 3.0
MaxRowBytes = 65536
CrossShard = true
HistoryRetentionS = 20
"""
        )
        self.settings[name] = path

    async def start_daemon(self, name):
        """Start a daemon by the line ``run`` of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JAYPIER_NODE_FILE"] = str(self.settings[name])
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(f"{name} starts")

    async def end_daemon(self, name, how=signal.SIGTERM):
        process = self.processes.pop(name)
        if process.returncode is None:
            process.send_signal(how)
        await process.wait()
        self.record(f"{name} has ended")

    async def wait_ready(self, name, seconds=20.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            answer = await call(self.ready[name], "GET", "/readyz", "x", timeout=1.0)
            if answer is not None and answer[0] == 200:
                self.record(f"{name} is ready")
                return
            await asyncio.sleep(0.1)
        raise Unfit(f"{name} isn't ready")

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text()

    def leader(self):
        """Return the name of the daemon that leads, by the store."""
        value = self.store.value("leader", "leader")
        return None if value is None else value["owner"].partition("/")[0]

    # Clients

    async def ask(self, method, path, value=None, name=None, timeout=3.0, host=None):
        """Send a request to one node; return the status and the decoded body, (0, None) for none."""
        name = name or next(iter(self.fronts))
        body = b"" if value is None else json.dumps(value).encode()
        headers = {"Api-Key": "key-1", "Deadline-Ms": str(int(timeout * 1000))}
        answer = await call(
            self.fronts[name], method, path, host or self.host, headers, body, timeout
        )
        if answer is None:
            return 0, None
        try:
            return answer[0], json.loads(answer[2])
        except ValueError:
            return answer[0], None

    async def submit(self, job, phases, prefix=None, tries=12, **more):
        """Hand a job in as a client does, until it is accepted."""
        value = {"Spec": f"work of {job}", "Phases": phases, **more}
        self.jobs[job] = value
        names = list(self.fronts)
        for number in range(tries):
            name = names[number % len(names)]
            status, _ = await self.ask("POST", (prefix or self.prefix) + job, value, name)
            self.record(f"client: POST {job} to {name} -> {status}")
            if 200 <= status < 300:
                return self.record.now
            await asyncio.sleep(0.3)
        raise Unfit(f"job {job} wasn't accepted")

    async def state(self, job, name=None, prefix=None):
        status, value = await self.ask("GET", (prefix or self.prefix) + job, name=name)
        state = value.get("State") if status == 200 else None
        self.record(f"client: GET {job} -> {status} {state}")
        return status, state

    async def wait_for(self, is_met, seconds, what):
        deadline = time.monotonic() + seconds
        while not is_met():
            if time.monotonic() > deadline:
                raise Unfit(f"not in time: {what}")
            await asyncio.sleep(0.02)

    def active_runs(self, job):
        return [each for each in self.runs if each[0].startswith(job) and each[4] is None]


class Unfit(Exception):
    """The case couldn't run."""


def main(folder, play, seconds=110):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        async with asyncio.timeout(seconds):
            return await play(Path(folder), trouble)

    try:
        verdict = asyncio.run(run())
    except Exception as error:
        print(f"couldn't run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print(verdict or "held")
    sys.exit(1 if verdict else 0)
