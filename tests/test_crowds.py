"""Tests of daemons as separate processes beside clients that do not behave.

Each test runs one crowd and nothing else. It checks memory and descriptors against the limits of
the VM in its settings, and that the daemon is ready and serves a request afterwards; no times.
"""

import asyncio
import resource

import pytest

from jaypier.platform import Put, Transaction
from jaypier.wire.errors import TransportError
from standins.crowd import Crowd, CrowdPlan, ProcessMonitor
from standins.deployment import ConfigurationSource, Deployment, send_request
from standins.ports import HOST
from standins.proxy import ProxyMode

MEMORY_MB = 120
"""Memory of a VM in these tests; a daemon that nobody calls takes half of it."""

DEFAULT_MEMORY_MB = 300
"""Memory of a VM whose settings file doesn't say it."""

DESCRIPTORS = 500
"""File descriptors of a VM in these tests."""

JOB = b'{"Spec": "work", "Phases": [{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimatedMs": 300}]}'

HEADERS = b"Host: desk.example\r\nApi-Key: k1\r\n"

REQUESTS_AHEAD = {
    "no-route": ("callers", b"GET /nowhere/00000000000000a1 HTTP/1.1\r\n" + HEADERS + b"\r\n"),
    "no-key": (
        "callers",
        b"GET /common/00000000000000a1 HTTP/1.1\r\nHost: desk.example\r\n\r\n",
    ),
    "state": ("callers", b"GET /common/00000000000000a1 HTTP/1.1\r\n" + HEADERS + b"\r\n"),
    "ready": ("ready", b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n"),
    "metrics": ("metrics", b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
    "peers": ("peers", b"GET /rows-get?Table=daemons&Limit=1 HTTP/1.1\r\nHost: a\r\n\r\n"),
}
"""By name, the server and a request that is sent ahead."""

SERVERS = ("callers", "ready", "metrics", "peers")


def check_server(
    folder,
    server: str,
    plan: CrowdPlan,
    before=None,
    after=None,
    descriptors: int = DESCRIPTORS,
) -> None:
    """Let a crowd send to a server of one daemon, and check what must hold meanwhile and after it.

    :param before: called with the deployment before the crowd comes.
    :param after: called with the deployment once the crowd has sent all that it can.
    :param descriptors: file descriptors of a VM.
    """

    async def scenario() -> None:
        async with Deployment(
            folder,
            ConfigurationSource.PLATFORM,
            daemons=2,
            memory_mb=MEMORY_MB,
            descriptors=descriptors,
        ) as deployment:
            if before is not None:
                before(deployment)
            port = getattr(deployment.ports[0], server)
            await check_crowd(deployment, port, plan, MEMORY_MB, descriptors, after)
            await deployment.wait_ready(0)
            response = await deployment.call_as_caller(0, "POST", "/common/00000000000000c1", JOB)
            assert response.status == 200, response
            log = deployment.read_log(0)
            for event in ("background task failed", "request handler failed", "Traceback"):
                assert event not in log

    asyncio.run(scenario())


async def check_crowd(
    deployment: Deployment, port: int, plan: CrowdPlan, memory_mb: int, descriptors: int, after=None
) -> None:
    """Let a crowd send to a port of the first daemon; check memory and descriptors.

    Its connections stay open until the daemon has become ready.
    """
    process = deployment.processes[0]
    async with ProcessMonitor(process.pid) as monitor, Crowd(port, plan) as crowd:
        await crowd.send()
        await monitor.wait_settled()
        assert process.returncode is None
        assert monitor.peak_bytes < memory_mb << 20
        assert monitor.max_descriptors < descriptors
        if after is not None:
            after(deployment)
        await deployment.wait_ready(0)
    assert process.returncode is None


class TestRequestsAhead:
    """Requests sent ahead whose responses nobody reads."""

    @pytest.mark.parametrize("name", REQUESTS_AHEAD)
    def test_memory_stays_within_that_of_the_vm(self, tmp_path, name):
        server, request = REQUESTS_AHEAD[name]
        block = (65536 // len(request)) * request
        check_server(tmp_path, server, CrowdPlan(16, b"", block, 128))

    def test_operators_memory_stays_within_that_of_the_vm(self, tmp_path):
        request = b"GET /v1/configuration HTTP/1.1\r\nHost: a\r\n\r\n"
        block = (65536 // len(request)) * request
        check_operators(tmp_path, CrowdPlan(40, b"", block, 128))


class TestUnfinishedBodies:
    """Requests whose body is never complete."""

    @pytest.mark.parametrize("server", SERVERS)
    def test_memory_stays_within_that_of_the_vm(self, tmp_path, server):
        check_server(tmp_path, server, unfinished_bodies(130))

    def test_operators_memory_stays_within_that_of_the_vm(self, tmp_path):
        check_operators(tmp_path, unfinished_bodies(300))


def unfinished_bodies(clients: int) -> CrowdPlan:
    """Return a crowd that sends all of 1 MiB of a request but its last byte."""
    path = b"/common/00000000000000a1"
    head = b"POST " + path + b" HTTP/1.1\r\n" + HEADERS + b"Content-Length: 1048576\r\n\r\n"
    return CrowdPlan(clients, head + 65535 * b" ", 65536 * b" ", 15)


def check_operators(folder, plan: CrowdPlan) -> None:
    """Let a crowd send to the operators' server of a daemon whose file sets no limits."""

    async def scenario() -> None:
        async with Deployment(folder, ConfigurationSource.NOTES, daemons=1) as deployment:
            port = deployment.ports[0].operators
            await check_crowd(deployment, port, plan, DEFAULT_MEMORY_MB, 4100)
            response = await deployment.call_as_operator(0, "GET", "/v1/daemon")
            assert response.status == 200

    asyncio.run(scenario())


class TestHeaderLines:
    """Requests with thousands of short header lines, whose body doesn't come."""

    OPENING = (
        b"POST /common/00000000000000a1 HTTP/1.1\r\n"
        + HEADERS
        + 2200 * b"ab:cd\r\n"
        + b"Content-Length: 10\r\n\r\n"
    )

    @pytest.mark.parametrize("server", SERVERS)
    def test_memory_stays_within_that_of_the_vm(self, tmp_path, server):
        check_server(tmp_path, server, CrowdPlan(250, self.OPENING))

    def test_operators_memory_stays_within_that_of_the_vm(self, tmp_path):
        check_operators(tmp_path, CrowdPlan(800, self.OPENING))


class TestConnections:
    """Connections on which nothing, or not all of a request, is sent."""

    @pytest.mark.parametrize("opening", [b"", b"GET / HTTP/1.1\r\nHost:"], ids=["idle", "begun"])
    @pytest.mark.parametrize("server", SERVERS)
    def test_descriptors_stay_within_those_of_the_vm(self, tmp_path, server, opening):
        check_server(tmp_path, server, CrowdPlan(600, opening))


class TestStoreThatDoesNotRespond:
    """Whole requests that wait for a silent store."""

    def test_descriptors_stay_within_those_of_the_vm(self, tmp_path):
        request = b"GET /common/00000000000000a1 HTTP/1.1\r\n" + HEADERS + b"\r\n"
        check_without_store(tmp_path, CrowdPlan(350, request))

    def test_memory_stays_within_that_of_the_vm(self, tmp_path):
        body = JOB + (1048576 - len(JOB)) * b" "
        head = b"POST /common/00000000000000a1 HTTP/1.1\r\n" + HEADERS
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        check_without_store(tmp_path, CrowdPlan(130, head + length + body))


def check_without_store(folder, plan: CrowdPlan) -> None:
    """Let a crowd of callers send to a daemon while the store is silent."""

    def set_mode(deployment: Deployment, mode: ProxyMode) -> None:
        for proxy in deployment.proxies:
            proxy.mode = mode

    check_server(
        folder,
        "callers",
        plan,
        lambda deployment: set_mode(deployment, ProxyMode.DROP),
        lambda deployment: set_mode(deployment, ProxyMode.FORWARD),
    )


class TestLargeResponses:
    """Requests of a few bytes whose responses are long."""

    def test_memory_stays_within_that_of_the_vm(self, tmp_path):
        def fill_table(deployment):
            for number in range(100):
                row = Put(f"large/{number:03}", "x" * 10_000)
                deployment.cluster.store.apply(Transaction(puts=[row]))

        request = b"GET /rows-get?Table=large HTTP/1.1\r\nHost: a\r\n\r\n"
        check_server(tmp_path, "peers", CrowdPlan(400, request), fill_table, descriptors=4100)


class TestDecoding:
    """Bodies whose values take many times their bytes."""

    @pytest.mark.parametrize(
        "server, path, size",
        [
            ("peers", b"/stored-rows", 7_900_000),
            ("callers", b"/common/00000000000000a1", 1_000_000),
        ],
    )
    def test_memory_stays_within_that_of_the_vm(self, tmp_path, server, path, size):
        body = b'{"key": "jobs/1", "version": 1, "value": [' + size // 3 * b"[]," + b"0]}"
        head = b"POST " + path + b" HTTP/1.1\r\n" + HEADERS
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        check_server(tmp_path, server, CrowdPlan(2, head + length + body))


class TestNames:
    """Names that a client makes up."""

    def test_memory_does_not_grow_with_methods(self, tmp_path):
        requests = b"".join(
            b"M%d /common/00000000000000a1 HTTP/1.1\r\n" % number + HEADERS + b"\r\n"
            for number in range(1000)
        )

        async def scenario() -> None:
            async with Deployment(
                tmp_path, ConfigurationSource.PLATFORM, daemons=1, memory_mb=MEMORY_MB
            ) as deployment:
                reader, writer = await asyncio.open_connection(HOST, deployment.ports[0].callers)
                writer.write(requests)
                for _ in range(1000):
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.startswith(b"HTTP/1.1 405")
                    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                writer.close()
                metrics = await send_request(deployment.ports[0].metrics, "GET", "/metrics")
                assert len(metrics.body.splitlines()) < 200
                assert ProcessMonitor(deployment.processes[0].pid).peak_bytes < MEMORY_MB << 20

        asyncio.run(scenario())


class TestLogs:
    """Log lines that a client without a token brings about."""

    def test_unknown_tokens_do_not_fill_the_log(self, tmp_path):
        request = b"GET /v1/daemon HTTP/1.1\r\nHost: a\r\n\r\n"

        async def scenario() -> None:
            async with Deployment(tmp_path, ConfigurationSource.NOTES, daemons=1) as deployment:
                reader, writer = await asyncio.open_connection(HOST, deployment.ports[0].operators)
                writer.write(1000 * request)
                for _ in range(1000):
                    assert (await reader.readuntil(b"operator's token")).count(b"401") == 1
                writer.close()
                assert deployment.read_log(0).count("operator request refused") < 100

        asyncio.run(scenario())


class TestDescriptorsOfTheSystem:
    """Fewer descriptors than the settings state, and a crowd that takes them all."""

    def test_process_lives_and_logs_what_fails(self, tmp_path):
        async def scenario() -> None:
            async with Deployment(tmp_path, ConfigurationSource.PLATFORM, daemons=1) as deployment:
                process = deployment.processes[0]
                # Lowered behind the daemon's back, as by files that it does not know of.
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (60, 60))
                async with Crowd(deployment.ports[0].callers, CrowdPlan(100)) as crowd:
                    await crowd.send()
                    await asyncio.sleep(2.5)
                    assert process.returncode is None
                await deployment.wait_ready(0)
                path = "/common/00000000000000c1"
                response = await deployment.call_as_caller(0, "POST", path, JOB)
                assert response.status == 200
                lines = deployment.read_log(0).splitlines()
                assert 1 <= sum("event loop reported an error" in line for line in lines) < 50
                assert all(line.startswith("{") for line in lines)

        asyncio.run(scenario())


class TestRequestsWithinTheLimits:
    """Ordinary clients beside a crowd."""

    def test_each_request_sent_ahead_is_answered(self, tmp_path):
        count = 64

        async def scenario() -> None:
            async with Deployment(
                tmp_path, ConfigurationSource.PLATFORM, daemons=1, memory_mb=MEMORY_MB
            ) as deployment:
                reader, writer = await asyncio.open_connection(HOST, deployment.ports[0].callers)
                for number in range(count):
                    path = b"/common/%016x" % number
                    writer.write(
                        b"POST "
                        + path
                        + b" HTTP/1.1\r\n"
                        + HEADERS
                        + b"Content-Length: %d\r\n\r\n" % len(JOB)
                        + JOB
                    )
                for _ in range(count):
                    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                    assert await reader.readexactly(2) == b"{}"
                writer.close()

        asyncio.run(scenario())

    def test_requests_that_begin_after_the_crowd_are_answered(self, tmp_path):
        """A crowd holds all connections that it can get."""
        statuses = []

        async def scenario() -> None:
            async with Deployment(
                tmp_path,
                ConfigurationSource.PLATFORM,
                daemons=1,
                memory_mb=MEMORY_MB,
                descriptors=DESCRIPTORS,
            ) as deployment:
                port = deployment.ports[0].callers
                async with Crowd(port, CrowdPlan(600, b"GET / HTTP/1.1\r\n")) as crowd:
                    await crowd.send()
                    for number in range(8):
                        path = f"/common/{number:016x}"
                        try:
                            response = await deployment.call_as_caller(0, "POST", path, JOB)
                        except TransportError as error:
                            statuses.append(str(error))
                            continue
                        statuses.append(response.status)
            assert statuses == 8 * [200]

        asyncio.run(scenario())
