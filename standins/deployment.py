"""Deployment on the loopback interface: daemons as processes, the platform in this process."""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections import defaultdict
from contextlib import AsyncExitStack
from enum import Enum
from pathlib import Path
from typing import Any

import attrs

from jaypier.core.address import Address
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.cluster import MemoryCluster, MemoryStore
from standins.ports import HOST, ReservedPorts
from standins.protocol import PlatformServers, encode_configuration
from standins.proxy import LoopbackProxy, ProxyMode

OPERATOR_TOKEN = "operator-token-0123456789"

CALL_TIMEOUT_SECONDS = 8.0
"""Time limit of a request to a daemon, longer than any daemon takes to respond."""

READY_TIMEOUT_SECONDS = 20.0
"""Time in which a daemon must become ready, even on a busy machine."""

STOP_TIMEOUT_SECONDS = 10.0
"""Time in which a process must exit after a signal; a graceful shutdown takes at most 6 s."""

PLATFORM_SETTINGS = """
NodeName = "{id}"
Zone = "{data_centre}"
Ip = "{host}"
InternalPortRange = [{peers},{metrics}]
[ListenAddrs]
Frontend = "{host}:{callers}"
Ready = "{host}:{ready}"
[Limits]
CpuQuota = 1.0
CpuCores = 1
MemoryLimitMb = {memory_mb}
MaxFds = {descriptors}
[platform]
Address = "{host}:{store}"
[Bounds]
MaxHoldMs = 6000
GracePeriodS = 6
"""


class ConfigurationSource(Enum):
    """Where the daemons get their configuration from.

    ``PLATFORM``: from the platform's node file and the store. ``NOTES``: from a JSON settings file
    and from release notes submitted to the operator API.
    """

    PLATFORM = "platform"
    NOTES = "notes"


@attrs.frozen
class Ports:
    """Ports of one daemon.

    :param callers: API for callers.
    :param ready: readiness probe.
    :param peers: requests of other daemons.
    :param metrics: metrics and state dump.
    :param operators: API for operators.
    :param store: proxy through which the daemon reaches the store.
    """

    callers: int
    ready: int
    peers: int
    metrics: int
    operators: int
    store: int


def reserve_daemon_ports(reserved: ReservedPorts) -> Ports:
    """Reserve the ports of a daemon.

    The metrics port follows the peer port, as the platform assigns a contiguous range to both.
    """
    callers, ready, operators, store = (reserved.reserve() for _ in range(4))
    peers, metrics = reserved.reserve_pair()
    return Ports(callers, ready, peers, metrics, operators, store)


class Deployment:
    """Daemons, store and workers; an async context manager that stops everything it has started.

    Each daemon connects from its own host. It reaches the store through its own proxy in
    ``proxies``, workers through theirs in ``worker_proxies`` and daemons in ``relay_proxies``.

    :param folder: folder for the settings and logs of the daemons.
    :param configuration_source: where the daemons get their configuration from.
    :param daemons: number of daemons.
    :param racks: number of racks, each in a separate data centre.
    :param workers_per_rack: number of workers of a rack, each with 8 accelerators.
    :param memory_mb: memory of each VM, in MB; only with ``ConfigurationSource.PLATFORM``.
    :param descriptors: file descriptors of each VM; only with ``ConfigurationSource.PLATFORM``.
    :ivar wall_clock_leads: seconds by which the wall clock of a daemon is ahead once it is started.
    """

    def __init__(
        self,
        folder: Path,
        configuration_source: ConfigurationSource,
        daemons: int = 3,
        racks: int = 2,
        workers_per_rack: int = 2,
        memory_mb: int = 300,
        descriptors: int = 4100,
    ) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.configuration_source = configuration_source
        self.cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2))
        for number in range(racks * workers_per_rack):
            rack = number % racks
            self.cluster.add_worker(f"worker-{number:02}", f"dc-{rack}", f"rack-{rack}")
        count = len(self.cluster.workers)
        self.reserved_ports = ReservedPorts()
        store, *workers = self.reserve_addresses(1 + count)
        self.ports = [reserve_daemon_ports(self.reserved_ports) for _ in range(daemons)]
        self.proxies = [LoopbackProxy(Address(HOST, each.store), store) for each in self.ports]
        listens = self.reserve_addresses(count)
        self.worker_proxies = {
            worker_id: LoopbackProxy(listen, target)
            for worker_id, listen, target in zip(
                self.cluster.workers, listens, workers, strict=True
            )
        }
        self.relay_proxies = [
            LoopbackProxy(listen, Address(HOST, ports.peers))
            for listen, ports in zip(self.reserve_addresses(daemons), self.ports, strict=True)
        ]
        self.servers = PlatformServers(
            self.cluster,
            store,
            workers,
            listens,
            {str(proxy.target): str(proxy.listen) for proxy in self.relay_proxies},
        )
        self.wall_clock_leads: dict[int, float] = defaultdict(float)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.exit_stack = AsyncExitStack()

    def reserve_addresses(self, count: int) -> list[Address]:
        """Reserve addresses on the loopback interface."""
        return [Address(HOST, self.reserved_ports.reserve()) for _ in range(count)]

    async def __aenter__(self) -> "Deployment":
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            proxies = (*self.proxies, *self.worker_proxies.values(), *self.relay_proxies)
            for resource in (self.servers, *proxies):
                await self.exit_stack.enter_async_context(resource)
            if self.configuration_source is ConfigurationSource.PLATFORM:
                self.servers.write_configuration(encode_configuration(1, {"clinic": ["k1"]}))
            await asyncio.gather(*(self.start(number) for number in range(len(self.ports))))
            await asyncio.gather(*(self.wait_ready(number) for number in range(len(self.ports))))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        outcomes = await asyncio.gather(
            *(self.stop(number, signal.SIGKILL) for number in list(self.processes)),
            return_exceptions=True,
        )
        await self.exit_stack.aclose()
        self.reserved_ports.release()
        for outcome in outcomes:
            if isinstance(outcome, BaseException):
                raise outcome

    # Processes

    async def start(self, number: int) -> None:
        """Start the process of a daemon."""
        lead = self.wall_clock_leads[number]
        command = [sys.executable, "-m", "standins.vm", source_host(number), str(lead)]
        environment = dict(os.environ)
        path = self.write_settings(number)
        if self.configuration_source is ConfigurationSource.PLATFORM:
            environment["JAYPIER_NODE_FILE"] = str(path)
        else:
            command += ["--settings", str(path)]
        with self.log_path(number).open("ab") as output:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *command, env=environment, stdout=output
            )

    def write_settings(self, number: int) -> Path:
        """Write the settings file of a daemon."""
        ports = self.ports[number]
        values = {
            "id": f"entry-{number}",
            "data_centre": f"dc-{number}",
            "host": HOST,
            "memory_mb": self.memory_mb,
            "descriptors": self.descriptors,
            **attrs.asdict(ports),
        }
        if self.configuration_source is ConfigurationSource.PLATFORM:
            path = self.folder / f"entry-{number}.toml"
            path.write_text(PLATFORM_SETTINGS.format(**values))
            return path
        path = self.folder / f"entry-{number}.json"
        addresses = {
            "caller_address": ports.callers,
            "operator_address": ports.operators,
            "ready_address": ports.ready,
            "peer_address": ports.peers,
            "store_address": ports.store,
            "metrics_address": ports.metrics,
        }
        settings = {
            "id": values["id"],
            "data_centre": values["data_centre"],
            "operator_tokens": {"amina": OPERATOR_TOKEN},
            **{name: f"{HOST}:{port}" for name, port in addresses.items()},
        }
        path.write_text(json.dumps(settings))
        return path

    def log_path(self, number: int) -> Path:
        """Return the path of a daemon's log."""
        return self.folder / f"entry-{number}.log"

    def read_log(self, number: int) -> str:
        """Return the log of a daemon so far."""
        return self.log_path(number).read_text()

    def send_signal(self, number: int, sent: signal.Signals) -> None:
        """Send a signal to a daemon, such as SIGSTOP, without waiting for its exit."""
        self.processes[number].send_signal(sent)

    async def stop(self, number: int, stop_signal: signal.Signals) -> int:
        """Send a signal to a daemon, wait for it to exit and return its exit code.

        A daemon that has exited already is not signalled.

        :raises TimeoutError: if it does not exit within ``STOP_TIMEOUT_SECONDS``.
        """
        process = self.processes.pop(number)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(stop_signal)
        return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)

    async def wait_ready(self, number: int) -> None:
        """Wait until a daemon reports that it is ready for callers.

        :raises AssertionError: if it is not ready within ``READY_TIMEOUT_SECONDS``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_SECONDS
        while loop.time() < deadline:
            try:
                response = await send_request(self.ports[number].ready, "GET", "/")
            except TransportError:
                response = HttpResponse(0)
            if response.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"entry-{number} is not ready after {READY_TIMEOUT_SECONDS} s; end of its log: "
            f"{self.read_log(number)[-2000:]}"
        )

    def find_leader(self) -> int:
        """Return the number of the running daemon that has become leader most often.

        It may differ from the current leader if leadership has moved between running daemons.
        """
        return max(
            self.processes, key=lambda number: self.read_log(number).count("leadership began")
        )

    # Network faults

    def cut_worker(self, number: int, worker_id: str, mode: ProxyMode = ProxyMode.DROP) -> None:
        """Cut a daemon from a worker; ``ProxyMode.FORWARD`` ends the cut."""
        self.worker_proxies[worker_id].client_modes[source_host(number)] = mode

    def cut_store(self, number: int, mode: ProxyMode = ProxyMode.DROP) -> None:
        """Cut a daemon from the store and from the other daemons, which would relay for it."""
        for proxy in (self.proxies[number], self.relay_proxies[number]):
            proxy.mode = mode
        for proxy in self.relay_proxies:
            proxy.client_modes[source_host(number)] = mode

    # Requests

    async def call_as_caller(
        self, number: int, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        """Send a request to a daemon as a caller of the team ``clinic``."""
        headers = [(b"host", b"desk.example"), (b"api-key", b"k1")]
        return await send_request(self.ports[number].callers, method, path, body, headers)

    async def call_any(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send a request to the daemons in turn until one responds, as callers do.

        Each daemon is tried up to three times; status 502, 503 and 504 count as no response.

        :raises AssertionError: if no daemon responds.
        """
        for number in 3 * list(self.processes):
            try:
                response = await self.call_as_caller(number, method, path, body)
            except TransportError:
                continue
            if response.status not in (502, 503, 504):
                return response
            await asyncio.sleep(0.3)
        raise AssertionError(f"no daemon responds to {method} {path}")

    async def call_as_operator(
        self, number: int, method: str, path: str, value: Any = None
    ) -> HttpResponse:
        """Send a request to a daemon as an operator.

        :param value: body to send as JSON, ``None`` for an empty body.
        """
        headers = [(b"authorization", f"Bearer {OPERATOR_TOKEN}".encode())]
        body = b"" if value is None else json.dumps(value).encode()
        return await send_request(self.ports[number].operators, method, path, body, headers)

    def operator_address(self, number: int) -> str:
        """Return the address of a daemon's operator API as ``IP:PORT``."""
        return f"{HOST}:{self.ports[number].operators}"


def source_host(number: int) -> str:
    """Return the host on the loopback interface that a daemon connects from."""
    return f"127.0.1.{number + 1}"


async def send_request(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
) -> HttpResponse:
    """Send one request to a port on the loopback interface over a new connection.

    :raises TransportError: if there is no response within ``CALL_TIMEOUT_SECONDS``.
    """
    async with ConnectionPool(Address(HOST, port)) as pool:
        return await pool.exchange(
            HttpRequest(method, path, headers or [], body), CALL_TIMEOUT_SECONDS
        )
