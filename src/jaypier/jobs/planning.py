"""What starts next, and what gives way for it: decisions for times when not all fits.

Accelerators are the scarce resource on the heaviest days: a third more is asked for than there
is, in bursts twice as much. Jobs are therefore ordered by worth for each core-second that is
left, and urgent jobs within their team's guarantee go first and may stop others.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from operator import attrgetter

import attrs

from jaypier.jobs.board import JobBoard
from jaypier.jobs.model import URGENT_PRIORITY, Job, JobStatus, Resources
from jaypier.jobs.placing import (
    FreeOf,
    by_rack,
    can_fit_one_rack,
    fill,
    place_gang,
    room_of,
    rooms,
    serves,
)
from jaypier.jobs.state import JobState, Run, StepState, TaskState, Worker, core_equivalent

PRIORITY_WEIGHTS = (4.0, 3.0, 1.0)
"""Worth of a job by its priority, from the users' sheets; later priorities count as the last."""

LATE_SHARE = 0.25
"""Worth of a job after its objective against that within it, from the users' sheets."""

LATE_MULTIPLE = 3.0
"""Multiple of its objective after which a job is of no more worth, from the users' rules."""

HOPELESS_SHARE = 0.01
"""Worth of a job that comes too late for its caller: it still runs where there is room."""

HEADROOM_SECONDS = 1.0
"""Urgent arrivals for which accelerators are kept free: stopping others takes about 1 s, which is
most of the slack that an urgent job has."""

HEADROOM_SHARE = 0.25
"""Share of the accelerators that may be kept free for urgent jobs at most."""

HEADROOM_KEPT_SECONDS = 4.0
"""Time for which a worker stays kept for urgent jobs: longer than the pauses in a burst, so that
other work is not started there only to be stopped again."""

ARRIVALS_SECONDS = 12.0
"""Time over which urgent arrivals are averaged: twice the usual length of a burst."""

HELD_SHARE = 0.15
"""Share of the workers that may be kept for gangs at a time; the rest serves what fits now."""

DISPLACING_STEPS = 6
"""Urgent steps for which others are stopped in one pass, so that a pass in a burst stays short."""

RESERVATION_SECONDS = 2.0
"""Time for which freed capacity is kept for the job it was freed for: a stop and two reports."""


@attrs.define(eq=False)
class Reservation:
    """Capacity that is being freed for an urgent step."""

    step: StepState
    amounts: dict[str, Resources]
    expires_at: float


@attrs.frozen
class Plan:
    """Decisions of one pass.

    :param starts: runs to start; their capacity is taken.
    :param stops: runs to stop, for jobs that go before theirs.
    """

    starts: list[Run]
    stops: list[Run]


class Planner:
    """Decides about starts on a board.

    :param board: jobs, workers and runs.
    :param restore_seconds: time that a worker needs to restore a checkpoint.
    """

    def __init__(self, board: JobBoard, restore_seconds: float = 0.5) -> None:
        self.board = board
        self.restore_seconds = restore_seconds
        self.held: dict[str, float] = {}
        self.urgent_only: dict[str, float] = {}
        self.urgent_arrivals: deque[tuple[float, int]] = deque()
        self.guarantees: dict[str, int] = {}
        self.reservations: list[Reservation] = []
        self.mean_work: dict[str, tuple[int, float]] = {}

    # Worth

    def note_job(self, state: JobState, now: float) -> None:
        """Take a new job into the mean work of its queue and the rate of urgent arrivals."""
        if state.job.priority == URGENT_PRIORITY and not state.status.is_final:
            first = state.job.steps[0]
            self.urgent_arrivals.append((now, first.count * first.demand.accelerators))
        count, mean = self.mean_work.get(state.job.queue, (0, 0.0))
        work = state.remaining_work()
        self.mean_work[state.job.queue] = (count + 1, mean + (work - mean) / (count + 1))

    def score(self, state: JobState, now: float, wall: float) -> float:
        """Return the worth of finishing a job for each core-second that it still needs."""
        job = state.job
        _, mean = self.mean_work.get(job.queue, (0, 0.0))
        whole = sum(
            each.step.count * each.step.estimated_seconds * core_equivalent(each.step.demand)
            for each in state.steps
        )
        size = min(4.0, 0.3 + 0.7 * whole / mean) if mean > 0 else 1.0
        weight = PRIORITY_WEIGHTS[min(job.priority, len(PRIORITY_WEIGHTS) - 1)]
        age = wall - state.due_at
        end = age + state.remaining_chain()
        objective = job.objective_seconds
        share = 1.0
        if end > objective:
            share = LATE_SHARE if end <= LATE_MULTIPLE * objective else HOPELESS_SHARE
        return weight * size * share / max(1.0, state.remaining_work())

    # Passes

    def plan(self, now: float, wall: float) -> Plan:
        """Decide what starts and what stops now.

        :param now: local time in seconds.
        :param wall: Unix time in seconds.
        """
        self.reservations = [
            each
            for each in self.reservations
            if each.expires_at > now and each.step.is_startable and each.step.waiting
        ]
        starts: list[Run] = []
        stops: list[Run] = []
        workers = self.usable_workers(now)
        if not workers:
            return Plan([], [])
        self.held = {}
        self.choose_headroom(workers, now)
        refused: dict[tuple, int] = {}
        displacing = 0
        for state in self.order(now, wall):
            is_fixed = not state.job.is_preemptible
            for step in state.steps:
                if not step.is_startable or not step.waiting:
                    continue
                if is_fixed and not self.leaves_guarantees(step, workers):
                    continue
                signature = self.signature(step)
                is_urgent = state.job.priority == URGENT_PRIORITY
                if step.step.count < refused.get(signature, math.inf):
                    begun = self.place(step, workers, now)
                    starts += begun
                    if not step.waiting:
                        continue
                    if not begun:
                        refused[signature] = step.step.count if step.step.is_gang else 0
                        if step.step.is_gang and not is_urgent:
                            self.hold_workers(step, workers, now)
                may_displace = is_urgent and not step.runs and not self.has_reservation(step)
                if may_displace and displacing < DISPLACING_STEPS:
                    displacing += 1
                    stops += self.make_room(step, workers, now)
        return Plan(starts, stops)

    def has_reservation(self, step: StepState) -> bool:
        """Whether capacity is being freed for a step."""
        return any(each.step is step for each in self.reservations)

    def signature(self, step: StepState) -> tuple:
        """Return what decides whether a step fits: where one does not, no wider one does.

        A reservation is for one step only, and tasks that failed choose among other workers.
        """
        own = self.has_reservation(step)
        is_retry = any(task.failed_on for task in step.tasks)
        return (
            step.step.demand,
            step.step.label,
            step.step.data_rack,
            step.step.max_per_worker,
            step.step.is_gang,
            step.step.is_rack_local,
            step.step.is_serving,
            step.step.is_filling,
            step.job.job.service,
            step.job.job.priority == URGENT_PRIORITY,
            round(step.step.estimated_seconds) if self.held else 0,
            id(step) if own or is_retry else 0,
        )

    def order(self, now: float, wall: float) -> list[JobState]:
        """Return the jobs that may start tasks, the first to go first.

        Urgent jobs within their team's guarantee come first, those of the team with the
        smallest guarantee before others; then all others by worth for their work.
        """
        is_settled = not self.board.missing_workers
        waiting = [
            state
            for state in self.board.jobs.values()
            if not state.status.is_final
            and state.not_before <= now
            and (is_settled or not state.is_recovered)
        ]
        used = self.held_by_teams(lambda job: job.priority == URGENT_PRIORITY)
        covered: set[str] = set()
        urgent = [state for state in waiting if state.job.priority == URGENT_PRIORITY]
        for state in sorted(urgent, key=lambda each: (each.job.submitted_at, each.job.id)):
            if not any(step.waiting for step in state.steps):
                continue
            team = state.job.team
            need = sum(
                step.step.demand.accelerators * len(step.waiting)
                for step in state.steps
                if step.is_startable
            )
            if used[team] + need <= self.guarantees.get(team, 0):
                used[team] += need
                covered.add(state.job.id)

        def rank(state: JobState) -> tuple:
            job = state.job
            if job.id in covered:
                return (0, self.guarantees[job.team], job.submitted_at, job.id)
            return (1, -self.score(state, now, wall), job.submitted_at, job.id)

        return sorted(waiting, key=rank)

    def held_by_teams(self, counts: Callable[[Job], bool]) -> Counter[str]:
        """Return the accelerators that each team's jobs hold.

        :param counts: which jobs count.
        """
        held: Counter[str] = Counter()
        for state in self.board.jobs.values():
            if counts(state.job):
                held[state.job.team] += sum(run.step.step.demand.accelerators for run in state.runs)
        return held

    def leaves_guarantees(self, step: StepState, workers: list[Worker]) -> bool:
        """Whether all guarantees can still be met once a step runs that cannot be stopped.

        What a team's fixed jobs hold beyond its own guarantee has to fit beside all guarantees.
        """
        fixed = self.held_by_teams(lambda job: not job.is_preemptible)
        fixed[step.job.job.team] += step.step.demand.accelerators * len(step.waiting)
        beyond = sum(max(0, held - self.guarantees.get(team, 0)) for team, held in fixed.items())
        total = sum(worker.entry.capacity.accelerators for worker in workers)
        return beyond <= max(0, total - sum(self.guarantees.values()))

    def usable_workers(self, now: float) -> list[Worker]:
        """Return the workers that take new tasks, those under suspicion only if nothing else is."""
        usable = [
            worker
            for worker in self.board.workers.values()
            if worker.is_known
            and worker.is_listed
            and worker.entry.is_ready
            and not worker.is_unreachable
            and worker.entry.data_centre not in self.board.evacuated
        ]
        sound = [worker for worker in usable if worker.avoid_until <= now]
        return sound or usable

    def free_for(self, step: StepState) -> FreeOf:
        """Return what a step may take of each worker: free and not reserved for another."""
        reserved: dict[str, Resources] = defaultdict(Resources)
        for reservation in self.reservations:
            if reservation.step is not step:
                for worker_id, amount in reservation.amounts.items():
                    reserved[worker_id] = reserved[worker_id] + amount
        if not reserved:
            return attrgetter("free")
        return lambda worker: (
            worker.free - reserved[worker.id] if worker.id in reserved else worker.free
        )

    def place(self, step: StepState, workers: list[Worker], now: float) -> list[Run]:
        """Assign the waiting tasks of a step to workers, a gang whole or not at all."""
        free_of = self.free_for(step)
        candidates = self.candidates(step, workers, now)
        if step.step.is_gang:
            failed_on = {worker_id for task in step.tasks for worker_id in task.failed_on}
            untried = [worker for worker in candidates if worker.id not in failed_on]
            chosen = place_gang(step.step, untried, free_of, candidates) or (
                place_gang(step.step, candidates, free_of, candidates) if failed_on else []
            )
            if not chosen:
                return []
            attempt = self.board.next_attempt(step.job)
            return [
                self.board.start_run(step, task, worker, attempt, now)
                for task, worker in zip(step.tasks, chosen, strict=True)
            ]
        return self.place_singles(step, candidates, free_of, now)

    def choose_headroom(self, workers: list[Worker], now: float) -> None:
        """Choose the workers that only urgent jobs may use now.

        Their accelerators that no urgent job uses cover the urgent arrivals of the next moments.
        They are the first in a fixed order by rack, so that they are adjacent and stay the same.
        """
        while self.urgent_arrivals and self.urgent_arrivals[0][0] < now - ARRIVALS_SECONDS:
            self.urgent_arrivals.popleft()
        arrived = sum(accelerators for _, accelerators in self.urgent_arrivals)
        total = sum(worker.entry.capacity.accelerators for worker in workers)
        wanted = min(arrived / ARRIVALS_SECONDS * HEADROOM_SECONDS, HEADROOM_SHARE * total)
        in_order = sorted(workers, key=lambda each: (each.entry.rack, each.id)) if wanted else []
        for worker in in_order:
            if wanted <= 0:
                break
            urgent = sum(
                run.step.step.demand.accelerators
                for run in worker.runs.values()
                if run.step.job.job.priority == URGENT_PRIORITY
            )
            self.urgent_only[worker.id] = now + HEADROOM_KEPT_SECONDS
            wanted -= worker.entry.capacity.accelerators - urgent
        self.urgent_only = {name: end for name, end in self.urgent_only.items() if end > now}

    def candidates(self, step: StepState, workers: list[Worker], now: float) -> list[Worker]:
        """Return the workers that a step may use.

        Steps of other jobs than urgent ones leave out what is kept for these, unless they fit
        nowhere else, and what is held for a gang that goes before them, unless they end in time.
        """
        usable = [worker for worker in workers if serves(worker, step)]
        if step.job.job.priority == URGENT_PRIORITY:
            return usable
        open_to_all = [worker for worker in usable if worker.id not in self.urgent_only]
        if self.fits_empty(step, open_to_all):
            usable = open_to_all
        end = now + step.step.estimated_seconds
        return [worker for worker in usable if end <= self.held.get(worker.id, end)]

    def fits_empty(self, step: StepState, workers: list[Worker]) -> bool:
        """Whether a step could start on workers if nothing else ran on them."""
        if not step.step.is_gang:
            return any(room_of(step.step, each, each.entry.capacity) for each in workers)
        if step.step.is_rack_local:
            return can_fit_one_rack(step.step, workers)
        room = sum(room_of(step.step, each, each.entry.capacity) for each in workers)
        return room >= step.step.count

    def hold_workers(self, step: StepState, workers: list[Worker], now: float) -> None:
        """Keep the workers on which a waiting gang fits soonest free of longer work.

        Without this, small tasks take each accelerator that comes free, and a gang that needs
        many at once never starts while there is a backlog.
        """
        if len(self.held) >= HELD_SHARE * len(workers):
            return
        usable = [worker for worker in workers if serves(worker, step)]
        is_local = step.step.is_rack_local and can_fit_one_rack(step.step, usable)
        groups = by_rack(usable).values() if is_local else [usable]
        options = [self.soonest_fit(step, group, now) for group in groups]
        options = [option for option in options if option is not None]
        if options:
            seconds, names = min(options, key=lambda option: option[0])
            self.held.update(dict.fromkeys(names, now + seconds))

    def soonest_fit(self, step: StepState, group: list[Worker], now: float):
        """Return when a gang fits on a group of workers, and on which, or ``None``."""
        offers = []
        for worker in group:
            if worker.id in self.held:
                continue
            free = worker.free
            copies = room_of(step.step, worker, free)
            offers += [(0.0, worker.id)] * copies
            ends = [(run.remaining_seconds(now), run) for run in worker.runs.values()]
            for seconds, run in sorted(ends, key=lambda each: each[0]):
                free = free + run.step.step.reserved
                more = room_of(step.step, worker, free)
                offers += [(seconds, worker.id)] * (more - copies)
                copies = max(copies, more)
        if len(offers) < step.step.count:
            return None
        chosen = sorted(offers)[: step.step.count]
        return chosen[-1][0], {worker_id for _, worker_id in chosen}

    def place_singles(
        self, step: StepState, candidates: list[Worker], free_of: FreeOf, now: float
    ) -> list[Run]:
        """Assign the waiting tasks of a step that work alone."""
        fresh = [task for task in step.waiting if not task.failed_on]
        chosen = fill(rooms(step.step, candidates, free_of, self.placed(step)), len(fresh))
        begun = [
            self.begin(step, task, worker, now) for task, worker in zip(fresh, chosen, strict=False)
        ]
        for task in [task for task in step.waiting if task.failed_on]:
            untried = [worker for worker in candidates if worker.id not in task.failed_on]
            found = rooms(step.step, untried or candidates, free_of, self.placed(step))
            begun += [self.begin(step, task, room.worker, now) for room in found[:1]]
        return begun

    def begin(self, step: StepState, task: TaskState, worker: Worker, now: float) -> Run:
        """Assign one task that works alone."""
        return self.board.start_run(step, task, worker, self.board.next_attempt(step.job), now)

    def placed(self, step: StepState) -> Counter[str]:
        """Return the number of a step's tasks on each worker."""
        return Counter(run.worker.id for run in step.runs)

    # Preemption

    def make_room(self, step: StepState, workers: list[Worker], now: float) -> list[Run]:
        """Stop runs of lower priority so that an urgent step fits; return them."""
        if self.has_reservation(step):
            return []
        free_of = self.free_for(step)
        candidates = self.candidates(step, workers, now)
        groups = by_rack(candidates).values() if step.step.is_rack_local else [candidates]
        options = [self.cheapest_victims(step, list(group), free_of, now) for group in groups]
        options = [option for option in options if option is not None]
        if not options:
            return []
        _, victims, amounts = min(options, key=lambda option: option[0])
        self.reservations.append(Reservation(step, amounts, now + RESERVATION_SECONDS))
        whole = {
            each for run in victims for each in (run.step.runs if run.step.step.is_gang else [run])
        }
        return [run for run in whole if self.board.mark_stopping(run)]

    def cheapest_victims(self, step: StepState, workers: list[Worker], free_of, now: float):
        """Return cost, runs to stop and capacity to reserve so that a step fits, or ``None``."""
        need = len(step.waiting)
        demand = step.step.reserved
        offers = []
        chosen_of: Counter[StepState] = Counter()
        for worker in workers:
            free = free_of(worker)
            copies = room_of(step.step, worker, free)
            offers += [(0.0, worker, []) for _ in range(copies)]
            victims = sorted(
                (run for run in worker.runs.values() if self.may_stop(run, step)),
                key=lambda run: (self.loss(run, now), str(run.task)),
            )
            taken: list[Run] = []
            for run in victims:
                if not run.step.may_lose(run, chosen_of[run.step]):
                    continue
                chosen_of[run.step] += 1
                free = free + run.step.step.reserved
                taken.append(run)
                more = room_of(step.step, worker, free)
                if more > copies:
                    cost = sum(self.loss(each, now) for each in taken) / (more - copies)
                    offers += [
                        (cost, worker, taken if number == 0 else [])
                        for number in range(more - copies)
                    ]
                    copies, taken = more, []
        if len(offers) < need:
            return None
        offers.sort(key=lambda offer: offer[0])
        chosen = offers[:need]
        victims = [run for _, _, runs in chosen for run in runs]
        amounts: dict[str, Resources] = defaultdict(Resources)
        for _, worker, _ in chosen:
            amounts[worker.id] = amounts[worker.id] + demand
        return sum(offer[0] for offer in chosen), victims, dict(amounts)

    def may_stop(self, run: Run, step: StepState) -> bool:
        """Whether a run gives way to a step, or is on its way out already."""
        held, wanted = run.step.job.job, step.job.job
        is_lower = held.is_preemptible and held.priority > wanted.priority
        return run.is_stopping or is_lower

    def loss(self, run: Run, now: float) -> float:
        """Return the core-seconds that are lost if a run is stopped."""
        if run.is_stopping:
            return 0.0
        runs = run.step.runs if run.step.step.is_gang else [run]
        return sum(each.unsaved_cost(now, self.restore_seconds) for each in runs) + 1.0

    # Figures

    def pending(self) -> Counter[str]:
        """Return the number of jobs of each queue of which no task has started."""
        return Counter(
            state.job.queue
            for state in self.board.jobs.values()
            if state.status is JobStatus.QUEUED
        )
