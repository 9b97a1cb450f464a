"""Finds jobs that can never run because they fit in no data centre; no I/O."""

from jaypier.notes.configuration import Configuration, JobOutcome, JobState
from jaypier.notes.model import Job
from jaypier.platform import Machine, MachineKind
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.placement import place_gang

SETTLE_SECONDS = 30.0
"""Time for which a job must fit nowhere before it is given up: the machine list lags."""


class ImpossibleJobs:
    """Watches the jobs without a data centre."""

    def __init__(self) -> None:
        self.unfit_since: dict[str, float] = {}

    def check(
        self, configuration: Configuration, machines: list[Machine], now: float
    ) -> dict[str, JobOutcome]:
        """Return the outcome of each job that has fitted in no data centre for long.

        Data centres out of service count: they come back.

        :param machines: the platform's list.
        :param now: present time, in seconds.
        """
        pool = [
            job for name, job in configuration.jobs.items() if name not in configuration.assignments
        ]
        capacities = _whole_capacities(machines) if pool else {}
        verdicts: dict[tuple, bool] = {}
        unfit = {}
        for job in pool:
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            if shape not in verdicts:
                placements = (place_gang(each, *shape) for each in capacities.values())
                verdicts[shape] = any(placement is not None for placement in placements)
            if capacities and not verdicts[shape]:
                unfit[job.name] = self.unfit_since.get(job.name, now)
        self.unfit_since = unfit
        return {
            name: JobOutcome(JobState.IMPOSSIBLE, _reason(configuration.jobs[name]))
            for name, since in unfit.items()
            if now - since >= SETTLE_SECONDS
        }


def _whole_capacities(machines: list[Machine]) -> dict[str, Capacity]:
    capacities: dict[str, Capacity] = {}
    for machine in machines:
        if machine.kind is MachineKind.WORKER:
            capacity = capacities.setdefault(machine.data_centre, Capacity())
            capacity.set_free(machine.id, machine.rack, machine.accelerators)
    return capacities


def _reason(job: Job) -> str:
    return (
        f"{job.tasks} tasks with {job.accelerators_per_task} accelerators "
        f"({job.adjacency.value} adjacency) fit in no data centre, even an empty one; "
        "make the gang smaller"
    )
