"""Tests of daemons as separate processes against the platform's protocol on loopback."""

import asyncio
import json
import signal
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from jaypier.jobs.model import Resources, RunOutcome
from standins.cluster import LIMIT_PROPAGATION_SECONDS
from standins.deployment import ConfigurationSource, Deployment, send_request
from standins.protocol import RawValue, encode_configuration, encode_worker
from standins.proxy import ProxyMode

VMS = 3


def job_body(count: int, seconds: float, **values) -> bytes:
    step = {"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": 2, **values}
    return msgspec.json.encode(
        {"Spec": "work", "Phases": [{**step, "EstimatedMs": int(seconds * 1000)}]}
    )


async def wait_for_state(deployment: Deployment, job: str, state: str, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while True:
        response = await deployment.call_any("GET", f"/common/{job}")
        if response.status == 200 and msgspec.json.decode(response.body)["State"] == state:
            return
        assert loop.time() < deadline, (
            f"job {job} is not {state} after {seconds} s: status {response.status}, "
            f"body {response.body!r}"
        )
        await asyncio.sleep(0.1)


def run_scenario(scenario, folder: Path) -> None:
    async def run() -> None:
        async with Deployment(folder, ConfigurationSource.PLATFORM, VMS) as deployment:
            await scenario(deployment)
        assert deployment.cluster.violations == []
        assert deployment.servers.handler_errors == []

    asyncio.run(run())


class TestEntryDaemons:
    def test_job_completes_and_every_daemon_reports_it(self, tmp_path):
        async def scenario(deployment):
            job = "00000000000000a1"
            response = await deployment.call_as_caller(
                0, "POST", f"/common/{job}", job_body(4, 0.5)
            )
            assert response.status == 200
            await wait_for_state(deployment, job, "completed", 10)
            for number in range(VMS):
                response = await deployment.call_as_caller(number, "GET", f"/common/{job}")
                assert msgspec.json.decode(response.body) == {"State": "completed"}

        run_scenario(scenario, tmp_path)

    @pytest.mark.parametrize("stop_signal", [signal.SIGKILL, signal.SIGTERM])
    def test_stopped_leader_loses_no_job(self, tmp_path, stop_signal):
        async def scenario(deployment):
            jobs = [f"{number:016x}" for number in range(6)]
            for number, job in enumerate(jobs):
                response = await deployment.call_as_caller(
                    number % VMS,
                    "POST",
                    f"/common/{job}",
                    job_body(3, 2.0, GangScheduled=number % 2 == 0),
                )
                assert response.status == 200
            code = await deployment.stop(deployment.find_leader(), stop_signal)
            assert code == (0 if stop_signal is signal.SIGTERM else -signal.SIGKILL)
            for job in jobs:
                await wait_for_state(deployment, job, "completed", 25)
            assert_completed_once(deployment, tasks=18, gang_size=3)

        run_scenario(scenario, tmp_path)


class TestTeamLimits:
    def test_configured_limit_holds_for_starts_and_submissions(self, tmp_path):
        async def scenario(deployment):
            deployment.cluster.change_team_limits({"clinic": Resources(0, 0, 4)})
            value = encode_configuration(2, {"clinic": ["k1"]})
            value["Tenants"][0]["MaxValue"] = {"Gpu": 4}
            deployment.servers.write_configuration(value)
            # Longer than a lowered limit may still be used.
            await asyncio.sleep(LIMIT_PROPAGATION_SECONDS)
            refused = await deployment.call_as_caller(
                0, "POST", "/common/00000000000000b1", job_body(3, 0.5, GangScheduled=True)
            )
            assert refused.status == 429
            job = "00000000000000b2"
            response = await deployment.call_as_caller(
                1, "POST", f"/common/{job}", job_body(6, 0.5)
            )
            assert response.status == 200
            await wait_for_state(deployment, job, "completed", 15)
            assert {run.task.job_id for run in deployment.cluster.runs.values()} == {job}

        run_scenario(scenario, tmp_path)


def assert_completed_once(deployment: Deployment, tasks: int, gang_size: int) -> None:
    """Check that one run completed each task, and that every other attempt was an incomplete gang.

    A leader that is killed while it starts a gang leaves an incomplete gang, which never begins to
    work; the next leader stops it and starts the gang again.
    """
    runs = list(deployment.cluster.runs.values())
    done = Counter(run.task for run in runs if run.outcome is RunOutcome.DONE)
    assert len(done) == tasks and set(done.values()) == {1}
    others = Counter(
        (run.task.job_id, run.attempt) for run in runs if run.outcome is not RunOutcome.DONE
    )
    assert all(members < gang_size for members in others.values()), others


class TestStorePathLoss:
    @pytest.mark.parametrize("mode", [ProxyMode.DROP, ProxyMode.REFUSE, ProxyMode.DROP_RESPONSES])
    @pytest.mark.parametrize("is_leader", [True, False])
    def test_callers_are_served_through_another_daemon(self, tmp_path, mode, is_leader):
        async def scenario(deployment):
            await wait_for_peers(deployment)
            leader = deployment.find_leader()
            isolated = leader if is_leader else (leader + 1) % VMS
            deployment.proxies[isolated].mode = mode
            jobs = [f"{number:016x}" for number in range(8)]
            for job in jobs:
                await submit_until_accepted(deployment, isolated, job)
            deployment.proxies[isolated].mode = ProxyMode.FORWARD
            for job in jobs:
                await wait_for_state(deployment, job, "completed", 25)
            assert "own path to the store lost" in deployment.read_log(isolated)
            assert len(deployment.cluster.runs) == 8

        run_scenario(scenario, tmp_path)


class TestSlowStorePath:
    def test_callers_and_leader_work_with_a_slow_path_to_the_store(self, tmp_path):
        async def scenario(deployment):
            for proxy in deployment.proxies:
                proxy.delay_seconds = 0.1
            jobs = [f"{number:016x}" for number in range(4)]
            for number, job in enumerate(jobs):
                await submit_until_accepted(deployment, number % VMS, job)
            for job in jobs:
                await wait_for_state(deployment, job, "completed", 25)
            assert len(deployment.cluster.runs) == 4

        run_scenario(scenario, tmp_path)


async def wait_for_peers(deployment: Deployment) -> None:
    """Wait until every daemon lists all others as peers."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + 15
    while True:
        numbers = range(VMS)
        dumps = [await send_request(deployment.ports[n].metrics, "GET", "/dump") for n in numbers]
        if all(len(msgspec.json.decode(each.body)["peers"]) == VMS - 1 for each in dumps):
            return
        assert loop.time() < deadline, "daemons do not list each other as peers after 15 s"
        await asyncio.sleep(0.1)


async def submit_until_accepted(deployment: Deployment, number: int, job: str) -> None:
    """Submit a job to one daemon, and retry up to 3 times while its outcome is unknown (504)."""
    for _ in range(4):
        response = await deployment.call_as_caller(
            number, "POST", f"/common/{job}", job_body(1, 0.3)
        )
        if response.status != 504:
            break
    assert response.status == 200, response


def odd_entries(deployment: Deployment) -> dict[str, RawValue]:
    """Return entries that another writer may leave among those of the workers, by name."""
    valid = encode_worker(next(iter(deployment.cluster.workers.values())))
    address = "10.0.0.1"
    changed = [
        *({"Address": f"{address}:{port}"} for port in (0, -1, 65536, 10**30)),
        {"Labels": [str(number) for number in range(20_000)]},
        {"Zone": "a\nb\r\nx: y"},
        {"Capacity": {"Cpu": 10**400, "MemMb": 1, "Gpu": 1}},
        {"Capacity": None},
        {"State": "resting"},
    ]
    texts = [json.dumps({**valid, **each}) for each in changed]
    for number in (400 * "9", 6000 * "9", "1e999", "NaN"):
        texts.append(json.dumps({**valid, "born": 0})[:-2] + f"{number}}}")
    for levels in (100, 900, 990, 20_000, 200_000):
        nested = levels * "[" + levels * "]"
        objects = levels * '{"a":' + "1" + levels * "}"
        texts += [nested, objects, json.dumps({**valid, "Labels": 0})[:-2] + f"{nested}}}"]
    values = [RawValue.from_bytes(text.encode()) for text in texts]
    values += [RawValue(None), RawValue(""), RawValue("!"), RawValue.from_bytes(b"{no JSON")]
    names = [f"odd-{number}" for number in range(len(values))]
    return dict(zip([*names[:-2], "odd\nname\r\nx: y", "x" * 200], values, strict=True))


class TestOddWorkerEntries:
    def test_odd_entries_end_no_process_and_jobs_are_done(self, tmp_path):
        # Regression (LOST): processes that read the list of workers ended or stopped following it.
        async def scenario(deployment):
            await submit_until_accepted(deployment, 0, "00000000000000c1")
            await wait_for_state(deployment, "00000000000000c1", "completed", 15)
            entries = odd_entries(deployment)
            for name, value in entries.items():
                deployment.servers.write_odd_entry(name, value)
            await asyncio.sleep(1.0)
            await submit_until_accepted(deployment, 1, "00000000000000c2")
            await wait_for_state(deployment, "00000000000000c2", "completed", 15)
            logs = [deployment.read_log(number) for number in range(VMS)]
            assert sum(log.count("leadership began") for log in logs) == 1
            for event in ("background task failed", "leader task failed", "cannot be applied"):
                assert not any(event in log for log in logs)
            left_out = sum(log.count("row left out: cannot be decoded") for log in logs)
            assert left_out == len(entries)
            assert all(process.returncode is None for process in deployment.processes.values())
            # The next leader reads the same list.
            await deployment.stop(deployment.find_leader(), signal.SIGKILL)
            job = "00000000000000c3"
            await deployment.call_any("POST", f"/common/{job}", job_body(1, 0.3))
            await wait_for_state(deployment, job, "completed", 25)
            assert len(deployment.cluster.runs) == 3

        run_scenario(scenario, tmp_path)

    @pytest.mark.parametrize("text", ["{no JSON", 200_000 * "["])
    def test_worker_whose_entry_turns_odd_keeps_its_runs(self, tmp_path, text):
        async def scenario(deployment):
            job, cluster = "00000000000000d1", deployment.cluster
            response = await deployment.call_as_caller(
                0, "POST", f"/common/{job}", job_body(1, 4.0, Gpu=8)
            )
            assert response.status == 200
            while not cluster.runs:
                await asyncio.sleep(0.02)
            (_, _, worker), *_ = cluster.runs
            deployment.servers.write_odd_entry(worker, RawValue.from_bytes(text.encode()))
            await asyncio.sleep(1.0)
            await deployment.stop(deployment.find_leader(), signal.SIGKILL)
            await wait_for_state(deployment, job, "completed", 25)
            assert len(cluster.runs) == 1
            logs = "".join(deployment.read_log(number) for number in range(VMS))
            assert f'"key": "servers/{worker}"' in logs
            # The worker gets no new work until its entry is valid again.
            for job in (f"00000000000000e{number}" for number in range(4)):
                await deployment.call_any("POST", f"/common/{job}", job_body(1, 0.3))
                await wait_for_state(deployment, job, "completed", 15)
            assert [key[2] for key in cluster.runs].count(worker) == 1

        run_scenario(scenario, tmp_path)
