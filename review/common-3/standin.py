"""Stand-ins of review 3: the platform's store, minions, clients, and the processes of jaypier.

Standard library only. The store and the minions follow PROTOCOL.md; where it is silent, they behave
like a sound store and sound minions. Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2

MAX_HOLD_MS = 6000
STOP_MS = 200
LOST_HEARTBEATS_S = 4.5

SETTINGS = """
NodeName = "edge-{zone}-{number}"
Role = "entry"
MachineClass = "edge"
ServedRoles = ["edge"]
Ip = "{host}"
Zone = "{zone}"
Region = "kaskazini"
InternalPortRange = [{peers},{last}]
SeedNodes = []
Bootstrap = true
InTolerance = false
DiscoverySource = "platform"
EntryKind = "virtual_ip"
HeartbeatIntervalMs = 1500
ActiveContracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
Commands = "invoke"
[Zones]
moshi = "kaskazini"
arusha = "kaskazini"
tanga = "kaskazini"
babati = "kaskazini"
[ListenAddrs]
Frontend = "{host}:{front}"
Ready = "{host}:{ready}"
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
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
StrictRevocation = true
RevokeTimeoutMs = 5000
EvacuationMs = 5000
RecoveryTimeS = 12
MaxHoldMs = {hold}
StopTimeoutMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
CheckpointIntervalS = 2
RestoreTimeoutMs = 100
[platform]
Address = "{host}:{store}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxnTimeoutMs = 3.0
MaxRowBytes = 65536
CrossShard = true
HistoryRetentionS = 20
"""


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()


def free_ports(count):
    """Return the first of some adjacent free ports, below those that connections are given."""
    for _ in range(1000):
        first = random.randrange(12000, 30000)
        try:
            with contextlib.ExitStack() as stack:
                for port in range(first, first + count):
                    stack.enter_context(socket.socket()).bind((HOST, port))
            return first
        except OSError:
            continue
    raise OSError("no free ports")


def free_port():
    return free_ports(1)


def free_pair():
    return free_ports(2)


# HTTP


async def read_message(reader):
    """Return first line, headers and body of a message, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Server:
    """An HTTP/1.1 server. The handler returns status and body, or None to answer nothing.

    ``is_dark``: the machine has no power. Connections stay open and get no answer, and new ones are
    not established.
    """

    def __init__(self, port, handler):
        self.port, self.handler = port, handler
        self.is_dark = False
        self.writers = set()
        self.plugs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=128)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if self.is_dark:
                    continue
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None or self.is_dark:
                    continue
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if not self.is_dark:
                writer.close()

    async def lose_power(self):
        """Answer nothing any more, and let no new connection be established."""
        self.is_dark = True
        self.server.close()
        plug = socket.socket()
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        plug.bind((HOST, self.port))
        plug.listen(0)
        self.plugs.append(plug)
        # The queue of the port is full from now on, so that opening packets are dropped.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect((HOST, self.port))
            except BlockingIOError:
                pass
            self.plugs.append(filler)

    def crash(self):
        """End all connections, as the end of a process does; new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for plug in self.plugs:
            plug.close()


# The platform's store


class Store:
    """Rows with versions, transactions and a feed, as PROTOCOL.md describes them."""

    def __init__(self, port, record):
        self.rows, self.version, self.history = {}, 0, []
        self.changed = asyncio.Condition()
        self.record = record
        self.server = Server(port, self.handle)

    def encode(self, key, value, version):
        table, name = key
        row = {"Table": table, "part": "", "Key": name, "RowVersion": version}
        if value is None:
            return {**row, "Deleted": True}
        return {**row, "Value": value}

    async def apply(self, writes, removes):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.history.append((key, value, self.version))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((key, None, self.version))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def put(self, table, name, value):
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.apply([((table, name), encoded)], [])

    async def remove(self, table, name):
        return await self.apply([], [(table, name)])

    def now(self):
        return int(time.monotonic() * 1000)

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/rows-tx":
            return await self.transact(json.loads(body))
        if parts.path == "/rows-get":
            return self.get(query)
        if parts.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, body):
        expected = {(r["Table"], r["Key"]): r["RowVersion"] for r in body.get("Expect", [])}
        current = {key: self.rows.get(key) for key in expected}
        if any((row[1] if row else 0) != expected[key] for key, row in current.items()):
            rows = [self.encode(key, *row) for key, row in current.items() if row]
            return 412, {"rows": rows, "RowVersion": self.version, "NowMs": self.now()}
        writes = [((r["Table"], r["Key"]), r["Value"]) for r in body.get("Write", [])]
        removes = [(r["Table"], r["Key"]) for r in body.get("Remove", [])]
        if any(key[0] in ("op", "servers") for key, _ in writes):
            return 403, {}
        version = await self.apply(writes, removes)
        return 200, {"RowVersion": version, "NowMs": self.now()}

    def get(self, query):
        start, limit = query.get("StartKey", ""), min(500, int(query.get("Limit", 500)))
        names = sorted(n for t, n in self.rows if t == query["Table"] and n >= start)
        rows = [
            self.encode((query["Table"], n), *self.rows[(query["Table"], n)])
            for n in names[:limit]
        ]
        return 200, {
            "rows": rows,
            "HasMore": len(names) > limit,
            "RowVersion": self.version,
            "NowMs": self.now(),
        }

    async def feed(self, query):
        table, after, wait = query["Table"], int(query["After"]), int(query.get("WaitMs", 0))

        def found():
            latest = {k: (v, n) for k, v, n in self.history if k[0] == table and n > after}
            return sorted(latest.items(), key=lambda item: item[1][1])

        if not found() and wait > 0:
            try:
                async with asyncio.timeout(wait / 1000), self.changed:
                    await self.changed.wait_for(found)
            except TimeoutError:
                pass
        rows = [self.encode(key, *row) for key, row in found()]
        return 200, {"rows": rows, "RowVersion": self.version, "NowMs": self.now()}


# Minions


class Minion:
    """A minion that runs what it is told, as PROTOCOL.md describes it. It guards its capacity."""

    def __init__(self, bench, number, zone, rack, labels=()):
        self.bench, self.number = bench, number
        self.id = f"i-{number:02}"
        self.machine, self.zone, self.rack = f"m-{number:02}", zone, rack
        self.labels = ["a", rack, *labels]
        self.capacity = {"Cpu": 128000, "MemMb": 524288, "Gpu": 8}
        self.port = free_port()
        self.is_up = False
        self.refuses_starts = False

    async def start(self):
        """Begin a life: nothing of an earlier one is known."""
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.fence = self.lease = self.count = 0
        self.active, self.finished, self.highest = {}, [], {}
        self.ended = asyncio.Event()
        self.is_up = True
        self.server = Server(self.port, self.handle)
        await self.server.start()
        await self.register()
        self.lapse_task = asyncio.create_task(self.watch_lease())

    async def register(self):
        await self.bench.store.put(
            "servers",
            self.id,
            {
                "Service": "orthoptic-desk",
                "Address": f"{HOST}:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": 1,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.clock(),
                "born": self.born,
                "Machine": self.machine,
            },
        )

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    async def lose_power_for_good(self):
        """The machine is lost for good: nothing answers, and its entry expires."""
        self.bench.record(f"{self.id} loses power for good; {self.describe()}")
        self.is_up = False
        self.lapse_task.cancel()
        for run in self.active.values():
            run["timer"].cancel()
        self.active = {}
        await self.server.lose_power()
        self.bench.spawn(self.expire_entry())

    async def expire_entry(self):
        await asyncio.sleep(LOST_HEARTBEATS_S)
        await self.bench.store.remove("servers", self.id)
        self.bench.record(f"entry of {self.id} expires")

    async def crash_and_restart(self, seconds):
        """The process crashes, and another one is up after some seconds under the same id."""
        self.bench.record(f"{self.id} crashes; {self.describe()}")
        self.is_up = False
        self.lapse_task.cancel()
        for run in self.active.values():
            run["timer"].cancel()
            self.bench.record(f"{self.id} run {run['task']} attempt {run['attempt']} is gone")
        self.active = {}
        self.server.crash()
        await asyncio.sleep(seconds)
        await self.start()
        self.bench.record(f"{self.id} is up again, born {self.born}")

    def describe(self):
        return "runs " + (", ".join(f"{t}/{a}" for t, a in self.active) or "nothing")

    def used(self, name):
        return sum(run["step"].get(name, 0) for run in self.active.values())

    async def handle(self, method, target, headers, body):
        if headers.get("target-instance", self.id) != self.id:
            return 421, {}
        value = json.loads(body) if body else {}
        path = urlsplit(target).path
        if path == "/healthz":
            return (503 if self.refuses_starts else 200), {}
        if value.get("FencingToken", 0) < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence", "born": self.born}
        if path == "/run-start" and self.refuses_starts:
            self.bench.record(f"{self.id} answers 503 to start {value['Task']}/{value['Attempt']}")
            return 503, {"ClockMs": self.clock(), "born": self.born}
        self.fence = max(self.fence, value.get("FencingToken", 0))
        if path == "/run-start":
            return self.begin(value)
        if path == "/run-stop":
            return self.stop(value)
        if path == "/hold":
            return await self.hold(value)
        return 404, {}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def begin(self, value):
        task, attempt = value["Task"], value["Attempt"]
        reason = None
        if (task, attempt) not in self.active:
            step = self.bench.step_of(task)
            if step is None:
                self.bench.record(f"{self.id} is told to start {task}, which nobody sent")
                return 400, {"ClockMs": self.clock(), "born": self.born}
            if value.get("DeadlineMs", 0) <= self.clock():
                reason = "late"
            elif attempt <= self.highest.get(task, 0):
                reason = "old"
            elif any(self.used(n) + step.get(n, 0) > self.capacity[n] for n in self.capacity):
                reason = "room"
        if reason != "late":
            self.extend(value.get("DeadlineMs", 0))
        if reason:
            self.bench.record(f"{self.id} refuses {task}/{attempt}: {reason}")
            return 409, {"ClockMs": self.clock(), "Reason": reason, "born": self.born}
        if (task, attempt) not in self.active:
            work = json.loads(value["Spec"])
            run = {"task": task, "attempt": attempt, "step": step, "began": time.monotonic()}
            run["seconds"], run["how"] = work["ms"] / 1000, work.get("how", "done")
            loop = asyncio.get_running_loop()
            # A task that lasts does not end by itself.
            seconds = 3600.0 if step.get("LongRunning") else run["seconds"]
            run["timer"] = loop.call_later(seconds, self.end, task, attempt, run["how"])
            self.active[(task, attempt)] = run
            self.bench.observe_start(self, task, attempt)
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def end(self, task, attempt, how):
        run = self.active.pop((task, attempt), None)
        if run is None:
            return
        run["timer"].cancel()
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.count += 1
        self.finished.append([self.count, task, attempt, how, ""])
        self.bench.observe_end(self, task, attempt, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def stop(self, value):
        task, attempt = value["Task"], value["Attempt"]
        self.bench.record(f"{self.id} is told to stop {task}/{attempt}")
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if (task, attempt) in self.active:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self.end, task, attempt, "stopped")
        return 200, {"ClockMs": self.clock(), "born": self.born}

    async def hold(self, value):
        seen = value.get("LastSeen", 0)
        self.finished = [each for each in self.finished if each[0] > seen]
        if "DeadlineMs" in value:
            self.extend(value["DeadlineMs"])
        wait = value.get("WaitMs", 0)
        if wait and not self.finished:
            try:
                async with asyncio.timeout(wait / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        active = [
            [run["task"], run["attempt"], "", self.percent(run), 0] for run in self.active.values()
        ]
        return 200, {
            "ClockMs": self.clock(),
            "born": self.born,
            "Active": active,
            "Finished": self.finished[:500],
        }

    def percent(self, run):
        """Return the progress of a run; a task that lasts is at work after a short startup."""
        elapsed = time.monotonic() - run["began"]
        if run["step"].get("LongRunning"):
            return 100 if elapsed > 0.3 else 0
        return min(99, int(100 * elapsed / run["seconds"]))

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.active and self.clock() >= self.lease:
                for task, attempt in list(self.active):
                    self.end(task, attempt, "lapsed")


# The whole


class Bench:
    """Store, minions, clients, and jaypier's processes; ends all of them."""

    def __init__(self, folder, daemons=3):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.daemons, self.processes, self.ports = daemons, {}, {}
        self.store = Store(free_port(), self.record)
        self.minions, self.jobs, self.runs = [], {}, {}
        self.tasks = set()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # What is seen

    def step_of(self, task):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        return None if job is None else job["Phases"][int(step)]

    def observe_start(self, minion, task, attempt):
        run = {"task": task, "attempt": attempt, "minion": minion.id, "began": time.monotonic()}
        self.runs.setdefault(task, []).append({**run, "how": None})
        self.record(f"{minion.id} starts {task} attempt {attempt}")

    def observe_end(self, minion, task, attempt, how):
        for run in self.runs[task]:
            if (run["attempt"], run["minion"], run["how"]) == (attempt, minion.id, None):
                run["how"], run["ended"] = how, time.monotonic()
        self.record(f"{minion.id} ends {task} attempt {attempt}: {how}")

    def active_runs(self, job_id):
        return [
            (task, attempt)
            for minion in self.minions
            if minion.is_up
            for task, attempt in minion.active
            if task.startswith(job_id + ".")
        ]

    def ends(self, job_id, how):
        return [
            run
            for task, runs in self.runs.items()
            if task.startswith(job_id + ".")
            for run in runs
            if run["how"] == how
        ]

    def has_room_twice(self, step, count):
        """Whether twice the tasks fit on minions that are up, and under half of these is in use."""
        names = ("Cpu", "MemMb", "Gpu")
        up = [
            each
            for each in self.minions
            if each.is_up
            and not each.refuses_starts
            and (not step.get("Requirements") or step["Requirements"] in each.labels)
        ]
        slots = sum(
            min(
                (each.capacity[n] - each.used(n)) // step[n] for n in names if step.get(n, 0)
            )
            for each in up
        )
        everything = [each for each in self.minions if each.is_up]
        used = max(
            sum(each.used(n) for each in everything) / sum(each.capacity[n] for each in everything)
            for n in names
        )
        return slots >= 2 * count and used < 0.5

    # Processes

    async def __aenter__(self):
        await self.store.server.start()
        return self

    async def start_minions(self):
        for minion in self.minions:
            await minion.start()

    async def write_configuration(self, version=1, attempts=3, guaranteed=16):
        routes = [
            {
                "Name": f"r-{prefix}",
                "Host": "nony24.example",
                "PathPrefix": f"/{prefix}/",
                "Kind": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": priority,
                "Service": "orthoptic-desk",
                "MaxAttempts": attempts,
                "SlackFactor": 3.0,
                "Public": False,
            }
            for prefix, priority in (("fit", 0), ("rx", 2))
        ]
        await self.store.put(
            "op",
            "config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [{"Name": "orthoptic-desk", "AdmissionControl": True}],
                "Limits": {},
                "Tenants": [
                    {"Name": "clinic", "ApiKeys": ["key-1"], "Guaranteed": {"Gpu": guaranteed}}
                ],
            },
        )

    async def start_daemons(self):
        for number in range(self.daemons):
            self.ports[number] = {
                "front": free_port(),
                "ready": free_port(),
                "peers": free_pair(),
            }
            await self.start_daemon(number)
        await asyncio.gather(*(self.wait_ready(n) for n in range(self.daemons)))
        self.record("all processes are ready")

    async def start_daemon(self, number):
        ports = self.ports[number]
        path = self.temporary / f"node-{number}.toml"
        zone = ("moshi", "arusha", "tanga", "babati")[number % 4]
        path.write_text(
            SETTINGS.format(
                host=HOST,
                zone=zone,
                number=number,
                store=self.store.server.port,
                hold=MAX_HOLD_MS,
                last=ports["peers"] + 1,
                **ports,
            )
        )
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["JAYPIER_NODE_FILE"] = str(path)
        with open(self.temporary / f"node-{number}.log", "ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *shlex.split(command), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log_of(self, number):
        return (self.temporary / f"node-{number}.log").read_text(errors="replace")

    async def wait_ready(self, number):
        for _ in range(300):
            status, _ = await self.call(self.ports[number]["ready"], "GET", "/readyz", timeout=1)
            if status == 200:
                return
            if self.processes[number].returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise RuntimeError(f"process {number} is not ready: {self.log_of(number)[-500:]}")

    async def find_leader(self):
        """Return the number of the process that last wrote the row of the leader."""
        for _ in range(100):
            row = self.store.rows.get(("leader", "leader"))
            if row is not None:
                owner = json.loads(base64.b64decode(row[0])).get("owner", "")
                for number in self.processes:
                    if owner.startswith(f"edge-") and owner.split("/")[0].endswith(f"-{number}"):
                        return number
            await asyncio.sleep(0.1)
        raise RuntimeError("nobody leads")

    def kill(self, number):
        self.record(f"process {number} is killed")
        self.processes[number].send_signal(signal.SIGKILL)

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(each.wait() for each in self.processes.values()))
        for task in list(self.tasks):
            task.cancel()
        for minion in self.minions:
            if hasattr(minion, "lapse_task"):
                minion.lapse_task.cancel()
                minion.server.close()
        self.store.server.close()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    # Clients

    async def call(self, port, method, target, body=b"", headers=(), timeout=3.0):
        """Send one request over a new connection; return status and body, status 0 without one."""
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
                    if not headers:
                        lines.append(f"Host: {HOST}")
                    lines.append(f"Content-Length: {len(body)}")
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                    message = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        if message is None:
            return 0, b""
        return int(message[0].split(" ")[1]), message[2]

    async def ask(self, number, method, path, body=b""):
        """Send a client's request to one process."""
        headers = (
            ("Host", "nony24.example"),
            ("Api-Key", "key-1"),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        )
        status, answer = await self.call(
            self.ports[number]["front"], method, path, body, headers, 3.0
        )
        text = unquote(answer.decode(errors="replace"))[:120]
        self.record(f"client: {method} {path} to process {number}: {status} {text}")
        return status, answer

    async def ask_any(self, method, path, body=b""):
        """Send a client's request; after no answer, or 502 to 504, send it to the next process."""
        for _ in range(5):
            for number, process in list(self.processes.items()):
                if process.returncode is not None:
                    continue
                status, answer = await self.ask(number, method, path, body)
                if status not in (0, 502, 503, 504):
                    return status, answer
            await asyncio.sleep(0.3)
        return 0, b""

    async def submit(self, queue, job_id, phases, **work):
        """Hand a job in; its tasks work for ``ms`` and end ``how`` on any minion."""
        self.jobs[job_id] = {"Phases": phases}
        body = json.dumps({"Spec": json.dumps(work), "Phases": phases}).encode()
        status, _ = await self.ask_any("POST", f"/{queue}/{job_id}", body)
        return status

    async def state(self, queue, job_id):
        status, answer = await self.ask_any("GET", f"/{queue}/{job_id}")
        return json.loads(answer).get("State") if status == 200 else status


async def wait_until(condition, seconds, step=0.02):
    """Wait until a condition holds; return whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(step)
    return False


def main(play):
    """Run a case: ``play`` is a coroutine function that takes the folder and returns the exit code."""
    folder = Path(sys.argv[1])

    async def run():
        async with asyncio.timeout(115):
            return await play(folder)

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
