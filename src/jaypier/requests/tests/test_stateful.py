"""Stateful fuzzing of several daemons' request slices against a simple oracle."""

import asyncio
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jaypier.requests.model import Outcome
from jaypier.requests.tests.builders import Scene
from standins.virtual_time import LoopClock, VirtualTimeLoop

DAEMONS = 3
ENDPOINTS = 3
daemon_names = st.sampled_from([f"entry-{index}" for index in range(DAEMONS)])
endpoint_names = st.sampled_from([f"endpoint-{index}" for index in range(ENDPOINTS)])


class RequestMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.scene = Scene(LoopClock(self.loop), DAEMONS, ENDPOINTS)
        self.scene.platform.access.delay = 0.005
        self.keys: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.told: Counter = Counter()
        self.faults: list[str] = []

    def teardown(self):
        self.pass_time(70.0)
        assert not [task for task in self.tasks if not task.done()]
        self.check()
        self.loop.close()

    def pass_time(self, seconds: float):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def send(self, daemon: str, key: str, repeatable: bool, timeout: float):
        service = self.scene.services[daemon]
        request = self.scene.request(key, repeatable, timeout=timeout)
        task = self.loop.create_task(self.follow(service, request))
        self.tasks.add(task)
        self.pass_time(0.001)

    async def follow(self, service, request):
        """Send one request and hold what it is told against what ran."""
        started_at = self.loop.time()
        try:
            result = await service.serve(request)
        except asyncio.CancelledError:
            return
        if (service.own_id, service.incarnation) not in self.scene.processes:
            return
        self.told[result.outcome] += 1
        runs = self.scene.runs[request.key]
        if result.outcome is Outcome.NOT_RUN and runs:
            self.faults.append(f"{request.key} was told 'not run' after {runs} runs")
        if result.outcome is Outcome.ANSWERED and not runs:
            self.faults.append(f"{request.key} was answered without a run")
        if result.response is not None and result.response.body != request.key.encode():
            self.faults.append(f"{request.key} got another answer")
        if self.loop.time() > max(request.deadline, started_at) + 1.0:
            self.faults.append(f"{request.key} was told too late")

    # Rules

    @rule(daemon=daemon_names, timeout=st.sampled_from([0.2, 2.0, 10.0]), count=st.integers(1, 12))
    def send_new_key(self, daemon, timeout, count):
        for _ in range(count):
            key = f"key-{len(self.keys)}"
            self.keys.append(key)
            self.send(daemon, key, False, timeout)

    @rule(daemon=daemon_names, minted_by=daemon_names, timeout=st.sampled_from([0.2, 2.0, 10.0]))
    def send_new_ticket(self, daemon, minted_by, timeout):
        key = self.scene.services[minted_by].mint("small")
        self.keys.append(key)
        self.send(daemon, key, False, timeout)

    @rule(daemon=daemon_names, data=st.data())
    def send_again(self, daemon, data):
        if self.keys:
            self.send(daemon, data.draw(st.sampled_from(self.keys[-8:])), False, 2.0)

    @rule(daemon=daemon_names, count=st.integers(1, 12))
    def send_repeatable(self, daemon, count):
        for index in range(count):
            self.send(daemon, f"repeatable-{len(self.tasks)}-{index}", True, 2.0)

    @rule(data=st.data())
    def caller_leaves(self, data):
        waiting = sorted((t for t in self.tasks if not t.done()), key=lambda t: t.get_name())
        if waiting:
            data.draw(st.sampled_from(waiting)).cancel()

    @rule(daemon=daemon_names)
    def kill_daemon(self, daemon):
        self.scene.kill(daemon)
        self.pass_time(0.001)
        self.scene.start(daemon)

    @rule(daemon=daemon_names)
    def stop_daemon(self, daemon):
        """Stop as planned when nothing is in flight there any more."""
        self.pass_time(70.0)
        if not self.scene.platform.access.is_down:
            self.loop.run_until_complete(self.scene.stop(daemon))
            self.scene.start(daemon)

    @rule(
        endpoint=endpoint_names,
        mode=st.sampled_from(["ok", "ok", "refuse", "unreachable", "break", "hang"]),
        seconds=st.sampled_from([0.01, 0.1, 1.0]),
    )
    def change_endpoint(self, endpoint, mode, seconds):
        self.scene.endpoints[endpoint].mode = mode
        self.scene.endpoints[endpoint].seconds = seconds

    @rule(is_down=st.booleans())
    def switch_store(self, is_down):
        self.scene.platform.access.is_down = is_down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.scene.platform.access.lose_answers = count

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0, 5.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    # Oracle

    @invariant()
    def check(self):
        assert self.faults == []
        repeated = {key: self.scene.runs[key] for key in self.keys if self.scene.runs[key] > 1}
        assert repeated == {}

    @invariant()
    def slots_add_up(self):
        for service in self.scene.services.values():
            for endpoint in service.executor.board.endpoints.values():
                assert 0 <= endpoint.in_flight <= 64


RequestMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestRequestMachine = RequestMachine.TestCase
