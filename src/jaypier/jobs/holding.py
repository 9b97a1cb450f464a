"""Holds: workers kept for gangs that wait until enough of them are free at the same time.

Answers a backlog of small tasks beside wide gangs: small tasks would take each accelerator as it
becomes free, and a gang that needs many at once would starve.
"""

from collections.abc import Iterable

import attrs

from jaypier.jobs.isolation import tasks_to_hold_for
from jaypier.jobs.preemption import Fit, earliest_fit
from jaypier.jobs.state import StepState, Worker

MAX_HOLD_SHARE = 0.15
"""Share of the workers at which no more of them are held; the others run what fits now."""

MAX_DELAY_SECONDS = 2.0
"""Delay beyond the first expectation after which a hold is given up, so that other workers can be
chosen: a second report of a run that is slower than estimated."""


@attrs.define(eq=False)
class GangHold:
    """Workers that are held for a gang.

    :param workers: ids of the workers.
    :param fits_at: time on the local clock, in seconds, at which the gang is expected to fit.
    :param give_up_at: time on the local clock, in seconds, beyond which ``fits_at`` must not move.
    """

    step: StepState
    workers: frozenset[str]
    fits_at: float
    give_up_at: float


class GangHolds:
    """The current holds, which last from pass to pass until their gangs start.

    :ivar until: for each held worker, the time on the local clock, in seconds, until which other
        tasks may use it.
    """

    def __init__(self) -> None:
        self.holds: dict[StepState, GangHold] = {}
        self.until: dict[str, float] = {}

    def refresh(self, workers: Iterable[Worker], now: float) -> None:
        """Drop holds that are no longer needed or possible, and update the times of the others.

        :param workers: workers that accept tasks.
        :param now: time on the local clock, in seconds.
        """
        usable = {worker.id: worker for worker in workers}
        kept = {}
        for step, hold in self.holds.items():
            is_waiting = step.is_startable and step.waiting and not step.job.status.is_final
            if not is_waiting or not hold.workers <= usable.keys():
                continue
            held = [usable[worker_id] for worker_id in hold.workers]
            fit = earliest_fit(step, held, (), now, tasks_to_hold_for(step))
            if fit is not None and now + fit.seconds <= hold.give_up_at:
                hold.fits_at = now + fit.seconds
                kept[step] = hold
        self.holds = kept
        self.until = {
            worker_id: hold.fits_at for hold in kept.values() for worker_id in hold.workers
        }

    def add(self, step: StepState, fit: Fit, now: float) -> None:
        """Hold the workers of a fit for a gang until it starts.

        :param now: time on the local clock, in seconds.
        """
        fits_at = now + fit.seconds
        self.holds[step] = GangHold(step, fit.workers, fits_at, fits_at + MAX_DELAY_SECONDS)
        self.hold_for_now(fit, now)

    def release(self, step: StepState) -> bool:
        """Drop the hold of a gang that has started; return whether it had one."""
        hold = self.holds.pop(step, None)
        for worker_id in hold.workers if hold is not None else ():
            self.until.pop(worker_id, None)
        return hold is not None

    def hold_for_now(self, fit: Fit, now: float) -> None:
        """Hold the workers of a fit until the next pass.

        :param now: time on the local clock, in seconds.
        """
        self.until.update(dict.fromkeys(fit.workers, now + fit.seconds))

    def may_use(self, step: StepState, worker: Worker, ends_at: float) -> bool:
        """Whether a step may use a worker: it is not held, or held for this step, or free again.

        :param ends_at: time on the local clock, in seconds, at which the step's tasks would end.
        """
        if ends_at <= self.until.get(worker.id, ends_at):
            return True
        own = self.holds.get(step)
        return own is not None and worker.id in own.workers
