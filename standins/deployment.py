"""A deployment of daemons and stand-ins as separate processes on the loopback interface."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, TypeVar

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import from_json, to_json
from jaypier.platform.model import Machine, MachineKind, MachineState
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.endpoint import EndpointFaults, EndpointReport
from standins.platform import Counts, Faults
from standins.worker import LogEntry, WorkerFaults

T = TypeVar("T")

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-0123456789"
CLUSTER_SECRET = "cluster-secret-0123456789"
CALL_TIMEOUT = 5.0
START_TIMEOUT = 30.0
KILL_TIMEOUT = 10.0


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


@attrs.frozen
class Shape:
    """Size of a deployment.

    :param racks: racks in each data centre.
    """

    data_centres: tuple[str, ...] = ("nairobi-a", "nairobi-b", "nairobi-c", "nairobi-d")
    racks: int = 1
    workers_per_rack: int = 6
    accelerators: int = 8
    endpoints: int = 24
    services: tuple[str, ...] = ("returns",)
    daemons: int = 7
    teams: tuple[str, ...] = ("clinic", "dairy", "pharmacy", "sorting")


def team_token(team: str) -> str:
    """Return the token of a team."""
    return f"token-of-team-{team}-0123456789"


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: list | None = None,
    timeout: float = CALL_TIMEOUT,
) -> HttpResponse:
    """Make one HTTP call on a connection of its own."""
    async with ConnectionPool(Address.parse(address)) as pool:
        return await pool.exchange(HttpRequest(method, path, headers or [], body), timeout)


class Deployment:
    """Starts all processes and ends them; an async context manager.

    :param folder: where settings and logs go.
    """

    def __init__(self, folder: Path, shape: Shape | None = None) -> None:
        self.folder = folder
        self.shape = shape or Shape()
        self.processes: dict[str, subprocess.Popen] = {}
        ports = iter(free_ports(400))
        self.platform_address = f"{HOST}:{next(ports)}"
        self.machines: dict[str, Machine] = {}
        self.ports = ports
        self._plan_workers()
        self._plan_endpoints()
        for index in range(self.shape.daemons):
            self.plan_daemon(f"entry-{index + 1}")

    def next_address(self) -> str:
        """Return an address that no other process uses."""
        return f"{HOST}:{next(self.ports)}"

    def _plan_workers(self) -> None:
        shape = self.shape
        for data_centre in shape.data_centres:
            for rack in range(shape.racks):
                for index in range(shape.workers_per_rack):
                    name = f"worker-{data_centre}-{rack + 1}-{index + 1}"
                    self.machines[name] = Machine(
                        name,
                        MachineKind.WORKER,
                        data_centre,
                        self.next_address(),
                        rack=f"{data_centre}-rack-{rack + 1}",
                        accelerators=shape.accelerators,
                        processors=64,
                        memory_gb=128,
                    )

    def _plan_endpoints(self) -> None:
        shape = self.shape
        for index in range(shape.endpoints):
            name = f"endpoint-{index + 1}"
            self.machines[name] = Machine(
                name,
                MachineKind.ENDPOINT,
                shape.data_centres[index % len(shape.data_centres)],
                self.next_address(),
                service=shape.services[index % len(shape.services)],
            )

    def plan_daemon(self, name: str) -> None:
        """Add an entry VM to the machine list, without starting it."""
        data_centres = self.shape.data_centres
        count = len(self.daemon_names())
        self.machines[name] = Machine(
            name,
            MachineKind.ENTRY,
            data_centres[count % len(data_centres)],
            self.next_address(),
            peer_address=self.next_address(),
        )

    def of_kind(self, kind: MachineKind) -> list[Machine]:
        """Return the machines of one kind."""
        return [machine for machine in self.machines.values() if machine.kind is kind]

    def daemon_names(self) -> list[str]:
        """Return the names of all entry VMs."""
        return [machine.id for machine in self.of_kind(MachineKind.ENTRY)]

    def running_daemons(self) -> list[str]:
        """Return the names of the daemons whose process runs."""
        return [
            name
            for name in self.daemon_names()
            if name in self.processes and self.processes[name].poll() is None
        ]

    def address(self, name: str) -> str:
        """Return a machine's address."""
        return self.machines[name].address

    # Processes

    def spawn(self, name: str, *arguments: str) -> None:
        """Start one process; its output goes to a file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=output, stderr=output
            )

    async def __aenter__(self) -> "Deployment":
        self.spawn("platform", "-m", "standins.platform", "--address", self.platform_address)
        for data_centre in self.shape.data_centres:
            self._spawn_standins(data_centre)
        await self.wait_for(self.platform_address, "/counts")
        await self.publish_machines()
        for name in self.daemon_names():
            self.start_daemon(name)
        await self.wait_healthy()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(KILL_TIMEOUT)

    def _spawn_standins(self, data_centre: str) -> None:
        """Start the workers and the endpoints of a data centre, one process each."""
        texts = [
            f"{each.id}={each.address}={each.accelerators}"
            for each in self.of_kind(MachineKind.WORKER)
            if each.data_centre == data_centre
        ]
        if texts:
            self.spawn(f"workers-{data_centre}", "-m", "standins.worker", *texts)
        texts = [
            f"{each.id}={each.address}"
            for each in self.of_kind(MachineKind.ENDPOINT)
            if each.data_centre == data_centre
        ]
        if texts:
            self.spawn(f"endpoints-{data_centre}", "-m", "standins.endpoint", *texts)

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of a daemon."""
        machine = self.machines[name]
        return {
            "id": name,
            "data_centre": machine.data_centre,
            "data_centres": list(self.shape.data_centres),
            "caller_address": machine.address,
            "peer_address": machine.peer_address,
            "peer_seeds": [
                each.peer_address for each in self.of_kind(MachineKind.ENTRY) if each.id != name
            ],
            "platform": {"address": self.platform_address, "timeout_seconds": 1.0},
            "cluster_secret": CLUSTER_SECRET,
            "operator_tokens": {"operator": OPERATOR_TOKEN},
            "team_tokens": {team: team_token(team) for team in self.shape.teams},
            "stop": {"notice_seconds": 0.5, "drain_seconds": 20.0},
        }

    def start_daemon(self, name: str) -> None:
        """Start one daemon."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_bytes(to_json(self.settings(name)))
        self.spawn(name, "-m", "jaypier.daemon.main", "--settings", str(path))

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes[name].kill()
        self.processes[name].wait(KILL_TIMEOUT)

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a suspended process go on."""
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process for a planned stop."""
        self.processes[name].terminate()

    # Waiting

    async def wait_for(self, address: str, path: str, timeout: float = START_TIMEOUT) -> None:
        """Wait until an address answers 200.

        :raises TimeoutError: when it does not.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if (await call(address, "GET", path, timeout=1.0)).status == 200:
                    return
            except TransportError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{address}{path} does not answer 200")

    async def wait_healthy(self, names: list[str] | None = None) -> None:
        """Wait until daemons are healthy."""
        chosen = self.running_daemons() if names is None else names
        await asyncio.gather(*(self.wait_for(self.address(name), "/health") for name in chosen))

    async def wait_owned(self, timeout: float = START_TIMEOUT) -> None:
        """Wait until every data centre has an owner that has taken over.

        :raises TimeoutError: when one has none.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            dumps = [await self.dump(name) for name in self.running_daemons()]
            owned = {
                each["data_centre"]
                for dump in dumps
                for each in dump["owned"]
                if each["is_rebuilt"] and each["may_start"]
            }
            if owned == set(self.shape.data_centres):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"only {sorted(owned)} have owners")

    # Calls

    async def publish_machines(self) -> None:
        """Put the machine list into the platform."""
        body = to_json(list(self.machines.values()))
        await call(self.platform_address, "PUT", "/machines", body)

    async def set_state(self, name: str, state: MachineState) -> None:
        """Change the state of a machine in the list."""
        self.machines[name] = attrs.evolve(self.machines[name], state=state)
        await self.publish_machines()

    async def platform_faults(self, faults: Faults) -> None:
        """Set the platform's faults."""
        await call(self.platform_address, "POST", "/faults", to_json(faults))

    async def platform_counts(self) -> Counts:
        """Return the calls that the platform served."""
        return from_json((await call(self.platform_address, "GET", "/counts")).body, Counts)

    async def machine_faults(self, name: str, faults: EndpointFaults | WorkerFaults) -> None:
        """Set the faults of a worker or an endpoint."""
        await call(self.address(name), "POST", "/faults", to_json(faults))

    async def worker_log(self) -> list[LogEntry]:
        """Return everything that tasks did on all workers, in order of time."""
        logs = await self._logs(MachineKind.WORKER, list[LogEntry])
        return sorted((entry for log in logs for entry in log), key=lambda entry: entry.at)

    async def endpoint_reports(self) -> list[EndpointReport]:
        """Return the reports of all endpoints."""
        return await self._logs(MachineKind.ENDPOINT, EndpointReport)

    async def _logs(self, kind: MachineKind, expected: type[T]) -> list[T]:
        answers = await asyncio.gather(
            *(call(machine.address, "GET", "/log") for machine in self.of_kind(kind))
        )
        return [from_json(answer.body, expected) for answer in answers]

    async def operate(self, name: str, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Call a daemon as an operator."""
        headers = [(b"authorization", f"Bearer {OPERATOR_TOKEN}".encode())]
        return await call(self.address(name), method, path, body, headers, timeout=15.0)

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the dump of a daemon."""
        return from_json((await self.operate(name, "GET", "/v1/dump")).body, dict)

    async def operator_get(self, name: str, path: str) -> dict[str, Any]:
        """Return a document that a daemon shows to operators."""
        return from_json((await self.operate(name, "GET", path)).body, dict)
