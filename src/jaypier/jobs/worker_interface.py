"""Interface between the leader and workers, independent of the transport."""

from abc import ABC, abstractmethod

import attrs

from jaypier.core.errors import JaypierError
from jaypier.jobs.model import StartRequest, StartResponse, TaskId, WorkerEntry, WorkerReport
from jaypier.platform import ChangeSource

MAX_ENDS_PER_REPORT = 500
"""Number of ended runs in a report at which it may leave out later ones."""


class WorkerUnreachable(JaypierError):
    """A worker sent no usable response.

    :param was_sent: whether any byte of the request may have reached the worker, which may then
        still carry it out later. If not, it has no effect.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class StaleEpoch(JaypierError):
    """A worker refused a request because it has accepted a newer epoch."""


class WorkerReplaced(JaypierError):
    """Another worker responds at the address of the intended one."""


class WorkerLink(ABC):
    """Requests to one worker.

    A worker refuses a request whose epoch is older than the newest that it has accepted.
    """

    @abstractmethod
    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease of the worker's runs; return its active runs and its ended ones.

        :param epoch: epoch of the leader.
        :param acknowledged: number of the last ended run that is durable in the store; the worker
            may drop its records up to this number.
        :param deadline: end of the lease on the worker's clock, in milliseconds; ``None`` does not
            extend the lease.
        :param wait: longest time in seconds for which the worker may delay its response until a run
            ends.
        :raises WorkerUnreachable: when there is no usable response.
        :raises StaleEpoch: when the worker has accepted a newer epoch.
        :raises WorkerReplaced: when another worker responds.
        """

    @abstractmethod
    async def start(self, epoch: int, start_request: StartRequest) -> StartResponse:
        """Start a run; repeating a request has no further effect.

        :param epoch: epoch of the leader.
        :returns: the worker's response; ``DEPOSED`` when it has accepted a newer epoch. A refusal
            does not tell what becomes of an earlier request without a response.
        :raises WorkerUnreachable: when there is no usable response.
        """

    @abstractmethod
    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or prevent its start if the start request has not arrived yet.

        :param epoch: epoch of the leader.
        :param attempt: attempt number of the run.
        :raises WorkerUnreachable: when there is no usable response.
        :raises StaleEpoch: when the worker has accepted a newer epoch.
        :raises WorkerReplaced: when another worker responds.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the worker."""


@attrs.frozen
class WorkerListing:
    """Entries of registered workers.

    :param entries: entry by worker id; ``None`` for a worker that has been deregistered or whose
        entry cannot be used.
    :param version: version up to which the listing is complete.
    """

    entries: dict[str, WorkerEntry | None]
    version: int


WorkerDirectory = ChangeSource[WorkerListing]
"""Source of registered workers: a snapshot of them, and the changes after a version."""
