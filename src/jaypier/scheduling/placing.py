"""Places queued gangs: claims of guarantees first, then lent capacity; no I/O."""

import attrs

from jaypier.notes.model import Job, entity_key
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.claims import ClaimLedger
from jaypier.scheduling.model import Gang, GangPhase, StopReason
from jaypier.scheduling.placement import place_gang
from jaypier.scheduling.reservations import is_home, team_order
from jaypier.scheduling.state import DataCentreState

PATIENCE_SECONDS = 20.0
"""Waiting time after which workers are kept free for a gang that needs several."""

EVICTION_PATIENCE_SECONDS = 60.0
"""Waiting time after which smaller preemptible gangs on those workers are preempted."""

HAND_BACK_SECONDS = 2.0
"""Time that a gang without a home here may wait before it is given back."""

EMPTY_DELAY_SECONDS = 2.0
"""Time that an empty data centre leaves single tasks to fuller ones."""

MAX_PULLED = 64
"""Jobs that a data centre pulls at a time."""

PULL_SECONDS = 1.0
"""Time in which pulled jobs must be assigned before others are pulled."""


@attrs.define
class Earmark:
    """Workers kept free for one gang that has waited for long."""

    job: str
    workers: set[str]


class Placer:
    """Places the queued gangs of one data centre."""

    def __init__(self, state: DataCentreState) -> None:
        self.state = state
        self.earmark: Earmark | None = None
        self.pulled: list[str] = []
        self.pulled_at = float("-inf")
        self.views: dict[frozenset[str], Capacity] = {}

    def place_queued(self, now: float) -> None:
        """Make one pass over the queued gangs."""
        state = self.state
        for name in state.workers.keys() - state.capacity.rack_of.keys():
            state.update_free(name, now)
        queued = [gang for gang in state.queued.values() if gang.not_before <= now]
        self.views = {}
        if queued:
            waiting = self._place_claims(queued, now)
            self._place_lent(waiting, now)
            self._hand_back(waiting, now)
        if self.earmark is not None and self.earmark.job not in state.queued:
            self.earmark = None

    def _place(
        self, gang: Gang, placement: dict[str, int], now: float, claim: str | None = None
    ) -> None:
        self.state.place(gang, placement, now, claim)
        for view in self.views.values():
            view.change(placement, gang.job.accelerators_per_task, -1)

    # Claims

    def _place_claims(self, queued: list[Gang], now: float) -> list[Gang]:
        """Place what teams claim from their guarantees, the smallest team first.

        :returns: the gangs that could not be placed so.
        """
        state = self.state
        claims = ClaimLedger(
            state.configuration,
            state.data_centre,
            state.claiming.values(),
            state.workers,
            state.capacity,
        )
        if not claims.homes:
            return queued
        teams = state.configuration.teams

        def order(gang: Gang) -> tuple:
            return (team_order(teams[gang.job.team]), not gang.job.urgent, gang.queued_at)

        waiting = []
        for gang in sorted(queued, key=order):
            found = claims.place(gang)
            if found is None:
                waiting.append(gang)
                continue
            self._evict_for(found.placement, gang.job.accelerators_per_task, now)
            self._place(gang, found.placement, now, found.reservation.key)
            gang.is_off_home = found.is_off_home
            claims.add(gang)
        return waiting

    def _evict_for(self, placement: dict[str, int], size: int, now: float) -> None:
        """Preempt gangs on lent capacity until a placement fits, the newest first."""
        for name, tasks in placement.items():
            worker = self.state.workers[name]
            stopping = sum(
                gang.job.accelerators_per_task
                for gang in worker.assigned.values()
                if gang.phase is GangPhase.STOPPING
            )
            room = self.state.capacity.free_of(name) + stopping
            lent = {gang.job.name: gang for gang in worker.assigned.values() if gang.is_evictable}
            for gang in sorted(lent.values(), key=lambda each: -each.phase_since):
                if room >= tasks * size:
                    break
                room += gang.placement[name] * gang.job.accelerators_per_task
                self.state.stop(gang, StopReason.PREEMPTED, now)

    # Jobs without a data centre

    def pull(self, now: float) -> list[str]:
        """Return jobs without a data centre that fit here now, or that wait for this one.

        The oldest go first. They are placed once the ledger has assigned them.
        """
        state = self.state
        is_pending = any(name in state.pool for name in self.pulled)
        if not state.pool or (is_pending and now - self.pulled_at < PULL_SECONDS):
            return []
        jobs = self._pool_jobs()
        self.pulled = [*self._pull_for_patience(jobs, now), *self._pull_fitting(jobs, now)]
        self.pulled_at = now
        return self.pulled

    def _pull_fitting(self, jobs: list[Job], now: float) -> list[str]:
        """Return the oldest jobs that fit together on what is free here now.

        Single tasks are left to fuller data centres for a moment, so that whole racks stay
        free elsewhere for gangs that need them.
        """
        seen_before = now - EMPTY_DELAY_SECONDS * (1 - self._busy_share(set(self.state.workers)))
        capacity = self._capacity_without(self._kept_free()).copy()
        pulled: list[str] = []
        hopeless: set[tuple] = set()
        for job in jobs:
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            if len(pulled) == MAX_PULLED or capacity.free_total == 0:
                break
            if job.tasks == 1 and self.state.pool[job.name] > seen_before:
                continue
            placement = None if shape in hopeless else place_gang(capacity, *shape)
            if placement is not None:
                capacity.change(placement, job.accelerators_per_task, -1)
                pulled.append(job.name)
                continue
            hopeless.add(shape)
        return pulled

    def _pool_jobs(self) -> list[Job]:
        """Return the pooled jobs that may be lent capacity, urgent and old ones first."""
        configuration = self.state.configuration
        jobs = [configuration.jobs[name] for name in self.state.pool]
        return sorted(
            (job for job in jobs if job.preemptible),
            key=lambda job: (
                not job.urgent,
                configuration.revisions.get(entity_key("jobs", job.name), 0),
            ),
        )

    def _pull_for_patience(self, jobs: list[Job], now: float) -> list[str]:
        """Pull one large gang that has waited for long, to keep workers free for it.

        The data centre with the least work on the workers that the gang needs goes first.
        """
        if self.earmark is not None:
            return []
        for job in jobs:
            waited = now - self.state.pool[job.name]
            if waited < PATIENCE_SECONDS or job.tasks == 1:
                # Older single tasks would wait still longer for the workers kept free.
                return []
            workers = self._workers_to_keep_free(job)
            if workers and waited >= PATIENCE_SECONDS * (1 + self._busy_share(workers)):
                return [job.name]
        return []

    def _busy_share(self, workers: set[str]) -> float:
        """Return the share of some workers' accelerators that are in use."""
        total = sum(self.state.workers[name].accelerators for name in workers)
        free = sum(self.state.capacity.free_of(name) for name in workers)
        return 1 - free / total if total else 1.0

    def _hand_back(self, waiting: list[Gang], now: float) -> None:
        """Give back gangs that found no room here, unless workers are kept free for them."""
        for gang in waiting:
            is_earmarked = self.earmark is not None and self.earmark.job == gang.job.name
            is_stuck = gang.phase is GangPhase.QUEUED and gang.job.preemptible
            if is_stuck and not is_earmarked and now - gang.adopted_at > HAND_BACK_SECONDS:
                self.state.hand_on(gang)

    # Lent capacity

    def _place_lent(self, waiting: list[Gang], now: float) -> None:
        """Place preemptible gangs on capacity that nobody claims, the longest waiting first."""
        hopeless: set[tuple] = set()
        for gang in sorted(waiting, key=lambda each: (not each.job.urgent, each.queued_at)):
            job = gang.job
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            is_earmarked = self.earmark is not None and self.earmark.job == job.name
            if not job.preemptible:
                self._follow_home(gang)
                continue
            if shape in hopeless and not is_earmarked:
                continue
            placement = self._choose_workers(gang, is_earmarked)
            if placement is not None:
                self._place(gang, placement, now)
                continue
            hopeless.add(shape)
            self._keep_workers_free(gang, now)

    def _choose_workers(self, gang: Gang, is_earmarked: bool) -> dict[str, int] | None:
        """Choose workers for a gang, if possible none on which it has failed before.

        Workers that failed everything are probed by single tasks, never by larger gangs.
        """
        job = gang.job
        kept_free = set() if is_earmarked else self._kept_free()
        suspects = self.state.health.suspects() if job.tasks > 1 else set()
        excluded = frozenset(kept_free | suspects)
        shape = (job.tasks, job.accelerators_per_task, job.adjacency)
        failed_on = gang.failed_on
        if failed_on:
            placement = place_gang(self.state.capacity.without(excluded | failed_on), *shape)
            if placement is not None:
                return placement
        return place_gang(self._capacity_without(excluded), *shape)

    def _kept_free(self) -> frozenset[str]:
        return frozenset(self.earmark.workers if self.earmark is not None else ())

    def _capacity_without(self, excluded: frozenset[str]) -> Capacity:
        """Return the capacity without some workers, built once in each pass."""
        if not excluded:
            return self.state.capacity
        if excluded not in self.views:
            self.views[excluded] = self.state.capacity.without(excluded)
        return self.views[excluded]

    def _follow_home(self, gang: Gang) -> None:
        """Hand on a gang that can only run in a home when all its homes are elsewhere."""
        reservations = self.state.configuration.reservations
        homes = {each.data_centre for each in reservations if is_home(each, gang.job)}
        if homes and self.state.data_centre not in homes:
            self.state.hand_on(gang)

    def _keep_workers_free(self, gang: Gang, now: float) -> None:
        """Keep workers free for a gang that has waited for long, one gang at a time."""
        waited = now - gang.queued_at
        if waited < PATIENCE_SECONDS or gang.job.tasks == 1:
            return
        if self.earmark is None:
            workers = self._workers_to_keep_free(gang.job)
            if workers:
                self.earmark = Earmark(gang.job.name, workers)
                self.state.metrics.count("gangs.earmarked")
        elif self.earmark.job == gang.job.name and waited > EVICTION_PATIENCE_SECONDS:
            self._evict_smaller(gang, now)

    def _workers_to_keep_free(self, job: Job) -> set[str]:
        """Choose workers that a gang would fit on once smaller gangs have given way."""
        potential = Capacity()
        for name, rack in self.state.capacity.rack_of.items():
            worker = self.state.workers[name]
            fixed = sum(
                other.job.accelerators_per_task
                for other in worker.assigned.values()
                if not _gives_way(other, job)
            )
            potential.set_free(name, rack, max(0, worker.accelerators - fixed))
        placement = place_gang(potential, job.tasks, job.accelerators_per_task, job.adjacency)
        return set(placement or {})

    def _evict_smaller(self, gang: Gang, now: float) -> None:
        for name in self.earmark.workers & set(self.state.workers):
            for other in list(self.state.workers[name].assigned.values()):
                if _gives_way(other, gang.job):
                    self.state.stop(other, StopReason.PREEMPTED, now)


def _gives_way(gang: Gang, job: Job) -> bool:
    """Whether a gang on lent capacity ends or is preempted for a larger one that waits."""
    if gang.phase is GangPhase.STOPPING:
        return True
    return gang.is_evictable and gang.job.accelerators < job.accelerators
