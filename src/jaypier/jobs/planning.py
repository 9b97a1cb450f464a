"""Scheduling decisions: which tasks start where, and which runs are preempted for them.

On the heaviest days demand exceeds capacity by a third, and in bursts it is twice as much. Jobs
are therefore ordered by value for the room that they still need. Urgent jobs within their team's
guarantee come first and may preempt others. Jobs that can be worth nothing any more run on room
that nothing else needs.
"""

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from operator import attrgetter, itemgetter

import attrs

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.headroom import Headroom
from jaypier.jobs.holding import MAX_HOLD_SHARE, GangHolds
from jaypier.jobs.isolation import Isolation, earliest_idle, tasks_to_hold_for
from jaypier.jobs.model import URGENT_PRIORITY, Job, JobStatus, Resources
from jaypier.jobs.placement import (
    FreeResourcesOf,
    assign_tasks,
    can_fit_one_rack,
    group_by_rack,
    is_in_pool,
    max_tasks_on,
    place_gang,
    slots_by_fit,
)
from jaypier.jobs.preemption import (
    STOP_DELAY_SECONDS,
    Fit,
    Preemption,
    StopCosts,
    can_wait,
    cheapest_preemption,
    earliest_fit,
)
from jaypier.jobs.preferences import (
    MAX_PREFERENCE_SECONDS,
    EndedWait,
    PreferenceWaits,
    RackWait,
)
from jaypier.jobs.scheduling_pass import Plan, SchedulingPass
from jaypier.jobs.state import JobState, Run, StepState, TaskState, Worker
from jaypier.jobs.unplaceable import StepNeed, UnplaceableSteps
from jaypier.jobs.valuation import Valuation, ValueSettings
from jaypier.scheduling.packing import Packing, scaled
from jaypier.scheduling.rooms import MIN_CONTENDED_SHARE, most_used_share
from jaypier.scheduling.team_limits import TeamLimits
from jaypier.scheduling.team_shares import TeamShares

PROVEN_SECONDS = 3.0
"""Age of the last success on a worker up to which it is preferred for work that has failed."""

MAX_TASKS_PER_DECISION = 512
"""Maximum number of independent tasks of a step that are placed together; the pass may pause before
it goes on with the others."""

RESERVATION_SECONDS = 2.0
"""Time for which freed capacity is reserved for the step it was freed for: long enough to stop a
run and to receive two reports."""


PRESSING_SHARE = 0.25
"""Slack of a job, as a share of its remaining critical path, up to which it needs fast workers."""


@attrs.define(eq=False)
class Reservation:
    """Capacity that is being freed by preemption for an urgent step.

    :param step: step for which the capacity is reserved.
    :param amounts: reserved resources by worker id.
    :param expires_at: time on the local clock, in seconds, at which the reservation ends.
    """

    step: StepState
    amounts: dict[str, Resources]
    expires_at: float


class Planner:
    """Decides which tasks to start and which runs to preempt.

    :param cluster_state: state of jobs, workers and runs, to which assignments are applied.
    :param restore_seconds: time that a worker needs to restore a checkpoint.
    :param values: what jobs are worth to their callers.
    :param spread_slowdown: factor by which a rack-local gang takes longer on several racks.

    :ivar valuation: scores jobs.
    :ivar guarantees: guaranteed accelerators by team.
    :ivar covered: ids of the waiting urgent jobs that their teams' guarantees cover.
    :ivar expired: ids of the other waiting jobs that can be worth nothing any more.
    :ivar stop_costs: what callers lose by stops in the current pass.
    :ivar holds: workers held for waiting gangs; other tasks only start there if they are expected
        to end before the gang can start.
    :ivar headroom: workers that are kept free for urgent jobs.
    :ivar packing: what recently submitted tasks need, by which workers are chosen.
    :ivar isolation: keeps jobs that may crash their workers apart from others.
    :ivar unplaceable: what does not fit in the current pass.
    :ivar preference_waits: how long steps have waited beside room that they may use.
    :ivar eligible: workers that accept new tasks in the current pass, with those to be avoided.
    :ivar idle_pools: whether the pool of a service is mostly idle, as far as asked in this pass.
    :ivar fits_elsewhere: whether there is room for a need without preferences, in the same way.
    :ivar non_preemptible: accelerators that non-preemptible jobs hold, by team, once asked for in
        the current pass.
    :ivar total_accelerators: accelerators of all usable workers, in the same way.
    :ivar ended_waits: steps that have been started without preferences and not been logged yet.
    :ivar reservations: capacity that is being freed for urgent steps.
    :ivar team_limits: limits on what each team may have running.
    :ivar team_shares: compares how well teams are served.
    :ivar considered: job that the pass is concerned with, ``None`` outside of decisions about one.
    :ivar urgent_arrivals: urgent jobs that have come since the current pass looked for any.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        restore_seconds: float = 0.5,
        values: ValueSettings | None = None,
        spread_slowdown: float = 3.0,
    ) -> None:
        self.cluster_state = cluster_state
        self.restore_seconds = restore_seconds
        self.spread_slowdown = spread_slowdown
        self.valuation = Valuation(values or ValueSettings())
        self.holds = GangHolds()
        self.headroom = Headroom()
        self.packing = Packing()
        self.isolation = Isolation()
        self.unplaceable = UnplaceableSteps()
        self.preference_waits = PreferenceWaits()
        self.eligible: list[Worker] = []
        self.idle_pools: dict[str, bool] = {}
        self.fits_elsewhere: dict[StepNeed, bool] = {}
        self.ended_waits: list[EndedWait] = []
        self.non_preemptible: Counter[str] | None = None
        self.total_accelerators = 0
        self.guarantees: dict[str, int] = {}
        self.covered: set[str] = set()
        self.expired: set[str] = set()
        self.reservations: list[Reservation] = []
        self.team_limits = TeamLimits()
        self.team_shares = TeamShares()
        self.considered: JobState | None = None
        self.urgent_arrivals: list[JobState] = []
        self.stop_costs = StopCosts(self.valuation, restore_seconds, 0.0, 0.0)

    # Arrivals

    def observe_job(self, state: JobState, now: float) -> None:
        """Record a job that this leader has learned of.

        :param now: time on the local clock, in seconds.
        """
        state.added_at = now
        if state.spec.priority == URGENT_PRIORITY and not state.status.is_final:
            first = state.spec.steps[0]
            self.headroom.observe_arrival(first.count * first.demand.accelerators, now)
            self.urgent_arrivals.append(state)
        self.valuation.observe(state)
        if not state.status.is_final:
            self.packing.observe(state.spec.steps)

    # Passes

    def plan(self, now: float, wall_time: float) -> Plan:
        """Decide what to start and what to preempt, and assign the tasks to start, in one piece.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        return SchedulingPass(self).run_slice(now, wall_time)

    def refresh(self, now: float, wall_time: float, is_resumed: bool) -> list[Worker]:
        """Prepare for a slice of a pass; return the workers that accept new tasks.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        :param is_resumed: whether the pass has begun with an earlier slice. Claims within team
            limits, holds, headroom and what did not fit last for the whole pass.
        """
        self.reservations = [
            each
            for each in self.reservations
            if each.expires_at > now and each.step.is_startable and each.step.waiting_count
        ]
        self.eligible = self.eligible_workers(now)
        workers = self.usable_workers(now)
        if not workers:
            return []
        self.valuation.observe_workers(workers)
        self.stop_costs = StopCosts(self.valuation, self.restore_seconds, now, wall_time)
        self.packing.refresh((worker.entry.capacity for worker in workers), now)
        self.isolation.refresh(self.cluster_state.jobs.values(), now)
        self.idle_pools.clear()
        self.fits_elsewhere.clear()
        self.non_preemptible = None
        if is_resumed:
            self.team_limits.recount(self.cluster_state, now)
        else:
            self.team_limits.refresh(self.cluster_state, now)
            self.holds.refresh(workers, now)
            self.headroom.update(workers, now)
            self.unplaceable.clear()
            self.preference_waits.begin_pass()
        return workers

    def observe_starts(self, step: StepState, started: list[Run]) -> None:
        """Record the starts of runs of a step that are about to be requested."""
        self.isolation.observe_starts(started)
        self.team_limits.observe_starts(started)
        if not step.job.spec.is_preemptible and self.non_preemptible is not None:
            accelerators = len(started) * step.spec.demand.accelerators
            self.non_preemptible[step.job.spec.team] += accelerators

    def is_partial(self, started: list[Run]) -> bool:
        """Whether more tasks of a step may fit than those that have just been started."""
        return len(started) >= MAX_TASKS_PER_DECISION and not started[0].step.spec.is_gang

    def need_of(self, step: StepState) -> StepNeed:
        """Return what decides whether any task of a step can be placed."""
        return StepNeed.of(
            step,
            self.holds,
            self.headroom,
            self.has_reservation(step) or step in self.preference_waits.waits,
        )

    def release_hold(self, step: StepState) -> None:
        """Drop the hold of a step, if it has one; its workers may have room for others."""
        if self.holds.release(step):
            self.unplaceable.clear()

    def has_reservation(self, step: StepState) -> bool:
        """Whether capacity is being freed for the step."""
        return any(each.step is step for each in self.reservations)

    def rank_jobs(self, now: float, wall_time: float) -> list[JobState]:
        """Return the jobs with tasks that may start, in scheduling order.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        *_, ranked = self.ranking(now, wall_time)
        return ranked

    def ranking(self, now: float, wall_time: float) -> Iterator[list[JobState]]:
        """Rank the jobs with tasks that may start; yield an empty list after each, then all.

        Urgent jobs within their team's guarantee come first, those of teams with smaller guarantees
        before others. All other jobs follow by descending score, those that can be worth nothing
        any more last.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        may_start = self.cluster_state.start_condition(now)
        waiting = [state for state in self.waiting_jobs() if may_start(state)]
        self.cover_urgent_jobs(waiting)
        self.expired = set()
        keyed = []
        for state in waiting:
            self.considered = state
            job = state.spec
            if job.id not in self.covered and self.valuation.is_expired(state, wall_time):
                self.expired.add(job.id)
            keyed.append((self.sort_key(state, wall_time), state))
            yield []
        yield [state for _, state in sorted(keyed, key=itemgetter(0))]

    def waiting_jobs(self) -> list[JobState]:
        """Return the jobs that have steps with tasks that do not wait for others."""
        return [state for state in self.cluster_state.jobs.values() if state.ready]

    def sort_key(self, state: JobState, wall_time: float) -> tuple:
        """Return the place of a job in scheduling order.

        :param wall_time: Unix time in seconds.
        """
        job = state.spec
        if job.id in self.covered:
            return self.urgent_sort_key(state)
        group = 2 if job.id in self.expired else 1
        score = self.valuation.score(state, wall_time) * self.team_shares.factor(job.team)
        return (group, -score, job.submitted_at, job.id)

    def urgent_sort_key(self, state: JobState) -> tuple:
        """Return the place of an urgent job among those within their teams' guarantees."""
        job = state.spec
        return (0, self.guarantees.get(job.team, 0), job.submitted_at, job.id)

    def cover_urgent_jobs(self, waiting: Iterable[JobState]) -> list[JobState]:
        """Find the urgent jobs that their teams' guarantees cover; return all urgent ones in order.

        :param waiting: jobs with tasks that may start.
        """
        used = self.accelerators_by_team(lambda job: job.priority == URGENT_PRIORITY)
        covered: set[str] = set()
        urgent = [state for state in waiting if state.spec.priority == URGENT_PRIORITY]
        for state in sorted(urgent, key=lambda each: (each.spec.submitted_at, each.spec.id)):
            self.considered = state
            need = sum(
                step.spec.demand.accelerators * step.waiting_count for step in state.ready_steps
            )
            team = state.spec.team
            if used[team] + need <= self.guarantees.get(team, 0):
                used[team] += need
                covered.add(state.spec.id)
        self.covered = covered
        return sorted(
            urgent, key=lambda each: (each.spec.id not in covered, self.urgent_sort_key(each))
        )

    def accelerators_by_team(self, is_counted: Callable[[Job], bool]) -> Counter[str]:
        """Return the number of accelerators allocated to the jobs of each team.

        :param is_counted: returns whether a job counts.
        """
        allocated: Counter[str] = Counter()
        for state in self.cluster_state.jobs.values():
            if state.held_accelerators and is_counted(state.spec):
                allocated[state.spec.team] += state.held_accelerators
        return allocated

    def preserves_guarantees(self, step: StepState, workers: list[Worker]) -> bool:
        """Whether all guarantees can still be met after a step of a non-preemptible job starts.

        The accelerators that non-preemptible jobs hold beyond their teams' guarantees must fit into
        the capacity that is not guaranteed to any team.
        """
        if self.non_preemptible is None:
            self.non_preemptible = self.accelerators_by_team(lambda job: not job.is_preemptible)
            self.total_accelerators = sum(each.entry.capacity.accelerators for each in workers)
        added = Counter({step.job.spec.team: step.spec.demand.accelerators * step.waiting_count})
        excess = sum(
            max(0, allocated - self.guarantees.get(team, 0))
            for team, allocated in (self.non_preemptible + added).items()
        )
        return excess <= max(0, self.total_accelerators - sum(self.guarantees.values()))

    def usable_workers(self, now: float) -> list[Worker]:
        """Return the workers that accept new tasks.

        Those to be avoided are only returned if there are no others.

        :param now: time on the local clock, in seconds.
        """
        usable = self.eligible_workers(now)
        preferred = [worker for worker in usable if not worker.is_avoided(now)]
        return preferred or usable

    def eligible_workers(self, now: float) -> list[Worker]:
        """Return the workers that accept new tasks.

        On a worker with unknown runs it is not known what is free.

        :param now: time on the local clock, in seconds.
        """
        return [
            worker
            for worker in self.cluster_state.workers.values()
            if worker.is_reconciled
            and worker.accepts_tasks
            and not worker.awaits_record
            and not worker.is_unreachable
            and not worker.has_unknown_runs
            and self.cluster_state.is_capacity_known(worker, now)
            and worker.entry.data_centre not in self.cluster_state.evacuated
        ]

    def free_resources_for(self, step: StepState) -> FreeResourcesOf:
        """Return a function from a worker to the resources that a step may use there.

        These are its free resources without those reserved for other steps.
        """
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

    def place_step(self, step: StepState, workers: list[Worker], now: float) -> list[Run]:
        """Assign the waiting tasks of a step to workers; return the new runs.

        A gang is assigned as a whole or not at all.

        :param now: time on the local clock, in seconds.
        """
        chosen = self.choose_workers(step, workers, now)
        racks = len({worker.entry.rack for _, worker in chosen})
        is_spread = step.spec.is_rack_local and racks > 1
        if chosen and (is_spread or self.ignores_preferences(step, now)):
            waited = self.preference_waits.seconds(step, now)
            self.ended_waits.append(EndedWait(chosen[0][0].id, waited, racks))
        if step.spec.is_gang:
            if not chosen:
                return []
            attempt = self.cluster_state.next_attempt(step.job)
            runs = [
                self.cluster_state.assign_task(step, task, worker, attempt, now)
                for task, worker in chosen
            ]
            for run in runs if is_spread else ():
                run.slowdown = self.spread_slowdown
            return runs
        return [self.assign_independent_task(step, task, worker, now) for task, worker in chosen]

    def choose_workers(
        self, step: StepState, workers: list[Worker], now: float
    ) -> list[tuple[TaskState, Worker]]:
        """Return the waiting tasks of a step that fit now, each with its worker.

        All tasks of a gang are returned, or none. No state is changed.

        :param now: time on the local clock, in seconds.
        """
        free_of = self.free_resources_for(step)
        candidates = self.candidate_workers(step, workers, now)
        permitted = self.isolation.permitted(step, candidates)
        if step.spec.is_gang:
            return self.choose_for_gang(step, permitted, candidates, free_of, now)
        if step.job.crash_suspects:
            placed = self.tasks_per_worker(step)
            permitted = self.isolation.trial_workers(step, permitted, free_of, placed)
        return self.choose_for_independent_tasks(step, permitted, free_of, now)

    def choose_for_gang(
        self,
        step: StepState,
        permitted: list[Worker],
        candidates: list[Worker],
        free_of: FreeResourcesOf,
        now: float,
    ) -> list[tuple[TaskState, Worker]]:
        """Return the tasks of a gang, each with its worker, or an empty list if it does not fit.

        A rack-local gang that fits on several racks only waits for one as long as that is worth it.

        :param permitted: workers that may be used now.
        :param candidates: workers that the gang could ever use.
        :param now: time on the local clock, in seconds.
        """
        failed_on = {worker_id for task in step.tasks for worker_id in task.failed_on}
        choices = self.choices_for(permitted, failed_on, now)
        is_pressing = self.is_pressing(step, now)

        def place(may_spread: bool) -> list[Worker]:
            placements = (
                place_gang(
                    step.spec, each, free_of, candidates, self.packing, is_pressing, may_spread
                )
                for each in choices
            )
            return next((placed for placed in placements if placed), [])

        chosen = place(may_spread=False)
        if not chosen and step.spec.is_rack_local:
            spread = place(may_spread=True)
            if spread and not self.rack_wait(step, candidates, now).is_worth_it:
                chosen = spread
        return list(zip(step.tasks, chosen, strict=True)) if chosen else []

    def rack_wait(self, step: StepState, candidates: list[Worker], now: float) -> RackWait:
        """Return what decides whether a rack-local gang waits until one rack can hold it.

        :param candidates: workers that the gang may use.
        :param now: time on the local clock, in seconds.
        """
        # Holds end, so held workers count as well.
        fit = self.earliest_rack_fit(step, self.permitted_workers(step, self.eligible), (), now)
        seconds = math.inf if fit is None else fit.seconds
        if step.job.spec.priority == URGENT_PRIORITY and self.find_preemption(step, candidates):
            seconds = min(seconds, STOP_DELAY_SECONDS)
        return RackWait(
            seconds,
            self.preference_waits.seconds(step, now),
            self.spread_extra_seconds(step),
            self.has_slots(step, 2 * step.spec.count),
        )

    def spread_extra_seconds(self, step: StepState) -> float:
        """Return by how much longer a rack-local gang is expected to take on several racks."""
        return (self.spread_slowdown - 1.0) * step.expected_seconds

    def ignores_preferences(self, step: StepState, now: float) -> bool:
        """Whether a step has waited so long beside ample room that it may use all of it.

        :param now: time on the local clock, in seconds.
        """
        waited = self.preference_waits.seconds(step, now)
        return waited >= MAX_PREFERENCE_SECONDS and self.has_ample_room(step)

    def has_ample_room(self, step: StepState) -> bool:
        """Whether twice the room of a step is free in a pool that is mostly idle."""
        is_idle = self.is_mostly_idle(step.job.spec.service)
        return is_idle and self.has_slots(step, 2 * tasks_to_hold_for(step))

    def is_mostly_idle(self, service: str) -> bool:
        """Whether less of each resource of a service's pool is in use than of a contended one.

        Workers that accept no tasks count as well, as callers know nothing of them.
        """
        if service not in self.idle_pools:
            pool = [
                worker
                for worker in self.cluster_state.workers.values()
                if service in ("", worker.entry.service)
            ]
            self.idle_pools[service] = most_used_share(pool) < MIN_CONTENDED_SHARE
        return self.idle_pools[service]

    def has_slots(self, step: StepState, count: int) -> bool:
        """Whether a number of tasks of a step fit on the workers that it may use, in any racks."""
        free_of, placed = self.free_resources_for(step), self.tasks_per_worker(step)
        in_pool = [worker for worker in self.eligible if is_in_pool(worker, step)]
        slots = itertools.accumulate(
            max_tasks_on(step.spec, worker, free_of(worker), placed[worker.id])
            for worker in self.isolation.permitted(step, in_pool)
        )
        return any(total >= count for total in slots)

    def is_kept_from_room(self, step: StepState, need: StepNeed) -> bool:
        """Whether a preference keeps waiting tasks of a step from room that they may use.

        The room for a rack-local gang counts wherever it fits, that for other steps while it is
        ample.
        """
        if need not in self.fits_elsewhere:
            self.fits_elsewhere[need] = (
                self.has_slots(step, step.spec.count)
                if step.spec.is_rack_local
                else self.has_ample_room(step)
            )
        return self.fits_elsewhere[need]

    def is_pressing(self, step: StepState, now: float) -> bool:
        """Whether a step needs fast workers: its job is in time still, but not on slow ones.

        :param now: time on the local clock, in seconds.
        """
        remaining = step.job.remaining_critical_path_seconds()
        slack = step.job.objective_seconds - (now - step.job.added_at) - remaining
        return 0 <= slack < PRESSING_SHARE * remaining

    def candidate_workers(self, step: StepState, workers: list[Worker], now: float) -> list[Worker]:
        """Return the workers that a step may use.

        Steps of jobs that are not urgent do not use workers kept free for urgent jobs unless they
        could fit nowhere else. They use workers held for a waiting gang only if they are expected
        to end before the gang can start. Both end, as for workers to be avoided, for a step that
        has waited for long beside ample room.

        :param now: time on the local clock, in seconds.
        """
        if self.ignores_preferences(step, now):
            return [worker for worker in self.eligible if is_in_pool(worker, step)]
        usable = self.permitted_workers(step, workers)
        if step.job.spec.priority == URGENT_PRIORITY:
            return usable
        ends_at = now + step.expected_seconds
        return [worker for worker in usable if self.holds.may_use(step, worker, ends_at)]

    def permitted_workers(self, step: StepState, workers: list[Worker]) -> list[Worker]:
        """Return the workers that a step may use, apart from holds."""
        usable = [worker for worker in workers if is_in_pool(worker, step)]
        if step.job.spec.priority == URGENT_PRIORITY:
            return usable
        open_to_all = [worker for worker in usable if worker.id not in self.headroom.until]
        return open_to_all if self.fits_idle_workers(step, open_to_all) else usable

    def fits_idle_workers(self, step: StepState, workers: list[Worker]) -> bool:
        """Whether a step would fit on the workers if they were idle."""
        if not step.spec.is_gang:
            return any(max_tasks_on(step.spec, each, each.entry.capacity) for each in workers)
        if step.spec.is_rack_local:
            return can_fit_one_rack(step.spec, workers)
        slots = sum(max_tasks_on(step.spec, each, each.entry.capacity) for each in workers)
        return slots >= step.spec.count

    def hold_workers(self, step: StepState, workers: list[Worker], now: float) -> None:
        """Hold the workers on which a waiting step fits earliest, unless it has a hold already.

        :param now: time on the local clock, in seconds.
        """
        if self.isolation.has_trial(step.job):
            return
        if step.job.crash_suspects:
            self.isolation.observe_wait(step.job, now)
        is_limit_reached = len(self.holds.until) >= MAX_HOLD_SHARE * len(workers)
        if is_limit_reached or step in self.holds.holds:
            return
        fit = self.find_earliest_fit(step, workers, now)
        if fit is not None and not math.isinf(fit.seconds):
            self.holds.add(step, fit, now)

    def find_earliest_fit(
        self, step: StepState, workers: list[Worker], now: float, may_spread: bool = True
    ) -> Fit | None:
        """Return when and where a step fits as current runs end, on workers that are not held.

        A step of a job that may crash its workers fits on idle workers only. A rack-local gang fits
        on several racks if that lets it end sooner, or if no rack could hold it.

        :param now: time on the local clock, in seconds.
        :param may_spread: whether a rack-local gang fits on several racks if one could hold it.
        """
        usable = self.permitted_workers(step, workers)
        find = earliest_idle if step.job.crash_suspects else earliest_fit
        if not step.spec.is_rack_local:
            return find(step, usable, self.holds.until, now)
        local = self.earliest_rack_fit(step, usable, self.holds.until, now)
        if can_fit_one_rack(step.spec, usable) and (local is None or not may_spread):
            # Without a fit, each such rack has held workers; the step gets a hold after these.
            return local
        spread = find(step, usable, self.holds.until, now)
        if local is None or spread is None:
            return local or spread
        is_sooner = spread.seconds + self.spread_extra_seconds(step) < local.seconds
        return spread if is_sooner else local

    def earliest_rack_fit(
        self, step: StepState, workers: list[Worker], held: Collection[str], now: float
    ) -> Fit | None:
        """Return when and where a step fits in one rack as current runs end.

        :param workers: workers that the step may use.
        :param held: ids of workers to leave out.
        :param now: time on the local clock, in seconds.
        """
        find = earliest_idle if step.job.crash_suspects else earliest_fit
        fits = [find(step, rack, held, now) for rack in group_by_rack(workers).values()]
        return min(
            (fit for fit in fits if fit is not None), key=lambda fit: fit.seconds, default=None
        )

    def choose_for_independent_tasks(
        self, step: StepState, candidates: list[Worker], free_of: FreeResourcesOf, now: float
    ) -> list[tuple[TaskState, Worker]]:
        """Return the waiting tasks that fit of a step that is not a gang, each with its worker.

        :param now: time on the local clock, in seconds.
        """
        suspects = step.job.crash_suspects
        waiting = sorted(step.waiting, key=lambda task: task.id not in suspects)
        limit = min(MAX_TASKS_PER_DECISION, self.team_limits.affordable_tasks(step))
        waiting = waiting[:limit]
        never_failed = [task for task in waiting if not task.failed_on]
        is_pressing = self.is_pressing(step, now)
        running = self.tasks_per_worker(step)
        ranked = slots_by_fit(step.spec, candidates, free_of, running, is_pressing)
        workers = assign_tasks(step.spec, ranked, free_of, len(never_failed), self.packing)
        chosen = list(zip(never_failed, workers, strict=False))
        # The tasks chosen before take room from those that follow.
        added = Counter(worker.id for _, worker in chosen)

        def free_beside(worker: Worker) -> Resources:
            free = free_of(worker)
            count = added[worker.id]
            return free - scaled(step.spec.reserved, count) if count else free

        for task in [task for task in waiting if task.failed_on]:
            ranked = (
                slots_by_fit(step.spec, each, free_beside, running, is_pressing, added)
                for each in self.choices_for(candidates, task.failed_on, now)
            )
            found = next((slots for slots in ranked if slots), [])
            for slots in found[:1]:
                chosen.append((task, slots.worker))
                added[slots.worker.id] += 1
        return chosen

    def choices_for(
        self, candidates: list[Worker], failed_on: set[str], now: float
    ) -> list[list[Worker]]:
        """Return the workers that a task or gang may use, in lists to be tried one after another.

        What has failed goes to workers on which a run has just succeeded, then to others on which
        it has not failed, then to any: a wide gang would otherwise meet one of a few faulty workers
        again, and a job has few attempts.

        :param failed_on: ids of the workers on which the task or gang has failed.
        :param now: time on the local clock, in seconds.
        """
        if not failed_on:
            return [candidates]
        untried = [worker for worker in candidates if worker.id not in failed_on]
        proven = [worker for worker in untried if now - worker.last_success_at <= PROVEN_SECONDS]
        return [proven, untried, candidates]

    def assign_independent_task(
        self, step: StepState, task: TaskState, worker: Worker, now: float
    ) -> Run:
        """Assign one task that does not belong to a gang.

        :param now: time on the local clock, in seconds.
        """
        return self.cluster_state.assign_task(
            step, task, worker, self.cluster_state.next_attempt(step.job), now
        )

    def tasks_per_worker(self, step: StepState) -> Counter[str]:
        """Return the number of a step's current runs by worker id."""
        return Counter(run.worker.id for run in step.runs)

    # Room for urgent steps

    def make_room(
        self, step: StepState, workers: list[Worker], now: float, wall_time: float
    ) -> list[Run]:
        """Make room for an urgent step that does not fit; return the runs to stop for it.

        If it fits soon enough as current runs end, it waits for them, and their workers are held.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        fit = self.find_earliest_fit(step, workers, now, may_spread=False)
        if can_wait(step, fit, now, wall_time):
            self.holds.hold_for_now(fit, now)
            return []
        return self.preempt_for(step, workers, now, wall_time)

    def wait_for_team_limit(self, step: StepState, now: float, wall_time: float) -> list[Run]:
        """Let a step wait that its team's limit keeps from starting in full.

        A gang and an urgent step claim what the limit leaves. For an urgent step within its team's
        guarantee, runs of its own team are stopped, unless enough of them end soon.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        :returns: runs to stop.
        """
        self.team_limits.observe_blocked(step)
        is_urgent = step.job.spec.priority == URGENT_PRIORITY
        if not is_urgent and not step.spec.is_gang:
            return []
        claim = self.team_limits.claim(step)
        is_guaranteed = step.job.spec.id in self.covered
        if claim is None or not is_guaranteed or step.job.crash_suspects:
            return []
        if can_wait(step, Fit(claim.fits_at - now, frozenset()), now, wall_time):
            return []
        victims = self.team_limits.runs_to_stop(step, self.stop_costs.of)
        return [run for run in victims if self.cluster_state.mark_stopping(run)]

    def preempt_for(
        self, step: StepState, workers: list[Worker], now: float, wall_time: float
    ) -> list[Run]:
        """Choose runs of lower priority to stop, so that an urgent step fits.

        The capacity that they free is reserved for the step. Returns the newly marked runs only.
        For a job that is late already and that its team's guarantee does not cover, none are
        stopped if their callers lose more than its caller gains.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        candidates = self.isolation.permitted(step, self.candidate_workers(step, workers, now))
        cheapest = self.find_preemption(step, candidates)
        is_covered = step.job.spec.id in self.covered
        if cheapest is None and step.spec.is_rack_local and is_covered:
            cheapest = self.find_preemption(step, candidates, may_spread=True)
        if cheapest is None:
            return []
        is_late = self.valuation.value_share(step.job, wall_time) < 1.0
        loses_more = cheapest.cost > self.valuation.value_now(step.job, wall_time)
        if is_late and loses_more and not is_covered:
            return []
        self.reservations.append(Reservation(step, cheapest.reserved, now + RESERVATION_SECONDS))
        to_stop = dict.fromkeys(
            each
            for run in cheapest.victims
            for each in (run.step.runs if run.step.spec.is_gang else [run])
        )
        return [run for run in to_stop if self.cluster_state.mark_stopping(run)]

    def find_preemption(
        self, step: StepState, workers: list[Worker], may_spread: bool = False
    ) -> Preemption | None:
        """Return the cheapest set of runs to stop so that a step fits, ``None`` if there is none.

        :param workers: workers that the step may use.
        :param may_spread: whether a rack-local step need not fit in one rack.
        """
        is_local = step.spec.is_rack_local and not may_spread
        groups = group_by_rack(workers).values() if is_local else [workers]
        free_of = self.free_resources_for(step)
        affordable = self.team_limits.affordable_tasks(step)
        options = (
            cheapest_preemption(step, group, free_of, self.stop_costs.of, affordable)
            for group in groups
        )
        return min(
            (option for option in options if option is not None),
            key=lambda option: option.cost,
            default=None,
        )

    # Statistics

    def count_queued_jobs(self) -> Counter[str]:
        """Return the number of jobs in each queue of which no task has started."""
        return Counter(
            state.spec.queue
            for state in self.cluster_state.jobs.values()
            if state.status is JobStatus.QUEUED
        )
