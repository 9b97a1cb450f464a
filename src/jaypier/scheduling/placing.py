"""Places queued gangs: claims of guarantees first, then lent capacity; no I/O."""

import attrs

from jaypier.notes.configuration import JobState
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

SETTLE_SECONDS = 30.0
"""Time for which a gang must not fit on all listed workers before it is given up."""


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
        self.whole: Capacity | None = None
        self.views: dict[frozenset[str], Capacity] = {}

    def on_machines(self) -> None:
        """Note that workers have come or gone."""
        self.whole = None

    def place_queued(self, now: float) -> None:
        """Make one pass over the queued gangs."""
        state = self.state
        for name in state.workers.keys() - state.capacity.rack_of.keys():
            state.update_free(name, now)
        queued = [gang for gang in state.queued.values() if gang.not_before <= now]
        if queued:
            self.views = {}
            waiting = self._place_claims(queued, now)
            self._place_lent(waiting, now)
            self._retire_impossible(waiting, now)
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
        kept_free = self.earmark.workers if self.earmark and not is_earmarked else set()
        suspects = self.state.health.suspects() if job.tasks > 1 else set()
        excluded = frozenset(kept_free | suspects)
        shape = (job.tasks, job.accelerators_per_task, job.adjacency)
        failed_on = gang.failed_on
        if failed_on:
            placement = place_gang(self.state.capacity.without(excluded | failed_on), *shape)
            if placement is not None:
                return placement
        return place_gang(self._capacity_without(excluded), *shape)

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
            workers = self._workers_to_keep_free(gang)
            if workers:
                self.earmark = Earmark(gang.job.name, workers)
                self.state.metrics.count("gangs.earmarked")
        elif self.earmark.job == gang.job.name and waited > EVICTION_PATIENCE_SECONDS:
            self._evict_smaller(gang, now)

    def _workers_to_keep_free(self, gang: Gang) -> set[str]:
        """Choose workers that the gang would fit on once lent capacity is free."""
        potential = Capacity()
        for name, rack in self.state.capacity.rack_of.items():
            worker = self.state.workers[name]
            fixed = sum(
                other.job.accelerators_per_task
                for other in worker.assigned.values()
                if not other.is_evictable and other.phase is not GangPhase.STOPPING
            )
            potential.set_free(name, rack, max(0, worker.accelerators - fixed))
        job = gang.job
        placement = place_gang(potential, job.tasks, job.accelerators_per_task, job.adjacency)
        return set(placement or {})

    def _evict_smaller(self, gang: Gang, now: float) -> None:
        for name in self.earmark.workers & set(self.state.workers):
            for other in list(self.state.workers[name].assigned.values()):
                if other.is_evictable and other.job.accelerators < gang.job.accelerators:
                    self.state.stop(other, StopReason.PREEMPTED, now)

    # Jobs that can never run

    def _retire_impossible(self, waiting: list[Gang], now: float) -> None:
        """Give up gangs that would not fit even if every listed worker were free."""
        if self.whole is None:
            self.whole = Capacity(
                (worker.name, worker.rack, worker.accelerators)
                for worker in self.state.workers.values()
                if worker.is_listed
            )
        verdicts: dict[tuple, bool] = {}
        for gang in waiting:
            job = gang.job
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            if shape not in verdicts:
                verdicts[shape] = place_gang(self.whole, *shape) is not None
            if gang.phase is not GangPhase.QUEUED or verdicts[shape]:
                gang.unfit_since = None
                continue
            gang.unfit_since = now if gang.unfit_since is None else gang.unfit_since
            if now - gang.unfit_since >= SETTLE_SECONDS:
                self.state.retire(gang, JobState.IMPOSSIBLE, self._why_impossible(gang))

    def _why_impossible(self, gang: Gang) -> str:
        job = gang.job
        return (
            f"{job.tasks} tasks with {job.accelerators_per_task} accelerators "
            f"({job.adjacency.value} adjacency) never fit on the {len(self.state.workers)} "
            f"workers of {self.state.data_centre}"
        )
