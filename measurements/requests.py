"""Measures the requests path: cost of one daemon, and goodput under failures.

Each scenario is run with jaypier and against the baseline: callers that go to the endpoints
round robin, without limits, health or retries.

    python -m measurements.requests [path] [slots] [failures]
"""

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from jaypier.platform.model import MachineKind
from measurements.figures import print_figure
from measurements.load import BUCKET_SECONDS
from standins.deployment import Deployment, Shape
from standins.endpoint import EndpointFaults

FOLDER = Path(".run/measure-requests")
PATH_SECONDS = 6.0
SCENARIO_SECONDS = 24.0
SERVICE_SECONDS = 0.2
"""Service time under which 24 endpoints of 8 slots answer at most 960 requests a second."""


@attrs.frozen
class Summary:
    """What some load generators saw together.

    :param answered: answers in each half second.
    """

    rate: float
    outcomes: dict[str, int]
    answered: list[int]
    histogram: HdrHistogram

    def goodput(self, start: float, end: float) -> float:
        """Return the answers a second between two times after the start, in seconds."""
        first, last = int(start / BUCKET_SECONDS), int(end / BUCKET_SECONDS)
        return sum(self.answered[first:last]) / (end - start)


async def run_load(addresses: list[str], processes: int = 2, **options: float | bool) -> Summary:
    """Run load generators to their end and add up what they saw."""
    command = [sys.executable, "-m", "measurements.load"]
    for address in addresses:
        command += ["--address", address]
    for name, value in options.items():
        if value is not False:
            command += [f"--{name}"] if value is True else [f"--{name}", str(value)]
    running = [
        await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
        for _ in range(processes)
    ]
    outputs = [json.loads((await each.communicate())[0]) for each in running]
    histogram = HdrHistogram(1, 60_000_000, 3)
    outcomes: dict[str, int] = {}
    answered = [0] * max(len(each["answered"]) for each in outputs)
    for output in outputs:
        histogram.decode_and_add(output["histogram"])
        for name, count in output["outcomes"].items():
            outcomes[name] = outcomes.get(name, 0) + count
        for index, count in enumerate(output["answered"]):
            answered[index] += count
    rate = sum(answered) / max(each["seconds"] for each in outputs)
    return Summary(rate, outcomes, answered, histogram)


def print_latencies(name: str, summary: Summary, **context: object) -> None:
    """Print the throughput and the percentiles of a run."""
    print_figure(f"{name}.throughput", summary.rate, "requests/s", **context)
    for percentile in (50, 99, 99.9):
        milliseconds = summary.histogram.get_value_at_percentile(percentile) / 1000
        print_figure(f"{name}.p{percentile:g}", milliseconds, "ms", **context)


async def measure_path() -> None:
    """Measure what one daemon adds, beside a direct client."""
    async with Deployment(FOLDER, Shape(daemons=1)) as deployment:
        endpoints = [machine.address for machine in deployment.of_kind(MachineKind.ENDPOINT)]
        daemon = [deployment.address("entry-1")]
        await set_service_time(deployment, 0.0)
        for concurrency in (1, 8, 32):
            context = {"concurrency": 2 * concurrency}
            options = {"seconds": PATH_SECONDS, "concurrency": concurrency}
            print_latencies("path.direct", await run_load(endpoints, **options), **context)
            print_latencies("path.daemon", await run_load(daemon, **options), **context)


async def set_service_time(deployment: Deployment, seconds: float) -> None:
    """Set the time that every endpoint takes for a request."""
    faults = EndpointFaults(seconds=seconds)
    for machine in deployment.of_kind(MachineKind.ENDPOINT):
        await deployment.machine_faults(machine.id, faults)


async def measure_burst(deployment: Deployment, addresses: list[str], name: str) -> None:
    """Measure goodput after a burst of five times the capacity for 10 s."""
    slots = 8 * deployment.shape.endpoints
    capacity = slots / SERVICE_SECONDS
    steady = {"rate": capacity * 0.8 / 2, "timeout": 4.0, "health": name == "jaypier"}
    before = await run_load(addresses, seconds=6.0, **steady)
    burst = asyncio.create_task(
        run_load(addresses, 4, rate=capacity * 4.2 / 4, seconds=10.0, timeout=4.0)
    )
    during = asyncio.create_task(run_load(addresses, seconds=SCENARIO_SECONDS, **steady))
    flood = await burst
    after = await during
    usual = before.goodput(1.0, 5.0)
    print_figure("burst.before", usual, "requests/s", system=name)
    answered = after.goodput(2.0, 10.0) + flood.goodput(2.0, 10.0)
    print_figure("burst.during", answered, "requests/s", system=name)
    recovered = after.goodput(15.0, 20.0) / usual
    print_figure("burst.recovered_share_after_5s", recovered, "share", system=name)


async def measure_departure(deployment: Deployment, addresses: list[str], name: str) -> None:
    """Measure goodput while a data centre's endpoints leave and return."""
    capacity = 8 * deployment.shape.endpoints / SERVICE_SECONDS
    options = {"rate": capacity * 0.6 / 2, "timeout": 4.0, "health": name == "jaypier"}
    work = asyncio.create_task(run_load(addresses, seconds=SCENARIO_SECONDS, **options))
    await asyncio.sleep(6.0)
    gone = deployment.shape.data_centres[1]
    leaving = [m for m in deployment.of_kind(MachineKind.ENDPOINT) if m.data_centre == gone]
    note = json.dumps({"id": f"out-{time.time_ns()}", "added": service_state(gone, False)})
    if name == "jaypier":
        await deployment.operate("entry-1", "POST", "/v1/notes", note.encode())
    await asyncio.sleep(2.0)
    for machine in leaving:
        await deployment.machine_faults(machine.id, EndpointFaults(SERVICE_SECONDS, refuse=True))
    await asyncio.sleep(6.0)
    await set_service_time(deployment, SERVICE_SECONDS)
    note = json.dumps({"id": f"in-{time.time_ns()}", "changed": service_state(gone, True)})
    if name == "jaypier":
        await deployment.operate("entry-1", "POST", "/v1/notes", note.encode())
    summary = await work
    share = summary.goodput(8.5, 13.5) / min(summary.goodput(2.0, 6.0), capacity * 0.75)
    print_figure("departure.share_of_surviving_capacity", share, "share", system=name)
    print_figure(
        "departure.outcomes",
        sum(summary.outcomes.values()),
        "requests",
        system=name,
        **summary.outcomes,
    )


def service_state(data_centre: str, in_service: bool) -> dict:
    """Return a note's section that sets the service state of a data centre."""
    return {"data_centres": [{"name": data_centre, "in_service": in_service}]}


async def measure_restarts(deployment: Deployment, addresses: list[str]) -> None:
    """Measure a planned stop and restart of all daemons in turn under load."""
    capacity = 8 * deployment.shape.endpoints / SERVICE_SECONDS
    names = deployment.running_daemons()
    seconds = 4.0 * len(names) + 6.0
    work = asyncio.create_task(
        run_load(addresses, rate=capacity * 0.4 / 2, seconds=seconds, timeout=4.0, health=True)
    )
    await asyncio.sleep(3.0)
    for name in names:
        deployment.terminate(name)
        while deployment.processes[name].poll() is None:
            await asyncio.sleep(0.05)
        deployment.start_daemon(name)
        await deployment.wait_healthy([name])
    summary = await work
    cut = summary.outcomes.get("broken", 0)
    print_figure("restarts.cut_requests", cut, "requests", **summary.outcomes)
    share = summary.outcomes.get("answered", 0) / sum(summary.outcomes.values())
    print_figure("restarts.answered_share", share, "share", daemons=len(names))


async def measure_slots() -> None:
    """Measure how far daemons over-commit an endpoint's slots at twice the capacity."""
    async with Deployment(FOLDER, Shape()) as deployment:
        await deployment.wait_owned()
        await set_service_time(deployment, SERVICE_SECONDS)
        daemons = [deployment.address(name) for name in deployment.running_daemons()]
        capacity = 8 * deployment.shape.endpoints / SERVICE_SECONDS
        await run_load(daemons, rate=capacity, seconds=10.0, timeout=4.0)
        reports = await deployment.endpoint_reports()
        requests = max(report.most_waiting for report in reports)
        print_figure("slots.most_requests_at_an_endpoint", requests, "requests", slots=8)
        connections = max(report.most_connections for report in reports)
        print_figure("slots.most_connections", connections, "connections", limit=64)


async def measure_failures() -> None:
    """Measure goodput in a burst, a departure and restarts."""
    async with Deployment(FOLDER, Shape()) as deployment:
        await deployment.wait_owned()
        daemons = [deployment.address(name) for name in deployment.running_daemons()]
        endpoints = [machine.address for machine in deployment.of_kind(MachineKind.ENDPOINT)]
        for name, addresses in (("baseline", endpoints), ("jaypier", daemons)):
            await set_service_time(deployment, SERVICE_SECONDS)
            await measure_burst(deployment, addresses, name)
            await measure_departure(deployment, addresses, name)
        await measure_restarts(deployment, daemons)


async def main() -> None:
    """Make the chosen measurements, all by default."""
    chosen = sys.argv[1:] or ["path", "slots", "failures"]
    if "path" in chosen:
        await measure_path()
    if "slots" in chosen:
        await measure_slots()
    if "failures" in chosen:
        await measure_failures()


if __name__ == "__main__":
    asyncio.run(main())
