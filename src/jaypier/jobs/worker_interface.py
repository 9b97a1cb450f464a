"""The entry point that every way of speaking to workers implements."""

from abc import ABC, abstractmethod

import attrs

from jaypier.core.errors import JaypierError
from jaypier.jobs.model import StartRequest, StartResponse, TaskId, WorkerEntry, WorkerReport
from jaypier.platform import ChangeSource


class WorkerUnreachable(JaypierError):
    """A worker did not answer; the order may still be carried out later."""


class StaleEpoch(JaypierError):
    """A worker has obeyed a newer leader."""


class WorkerReplaced(JaypierError):
    """Another worker answers at the address."""


class WorkerLink(ABC):
    """Orders to one worker."""

    @abstractmethod
    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease of all that runs, and learn what runs and what has ended.

        :param epoch: epoch of the leader.
        :param acknowledged: number of the last end that the worker may forget.
        :param deadline: worker clock in milliseconds until which the lease is to hold.
        :param wait: seconds that the worker may wait for an end.
        :raises WorkerUnreachable: when there is no answer.
        :raises StaleEpoch: when the worker knows a newer epoch.
        :raises WorkerReplaced: when another worker answers.
        """

    @abstractmethod
    async def start(self, epoch: int, order: StartRequest) -> StartResponse:
        """Start a task; repeating an order is harmless.

        :raises WorkerUnreachable: when there is no answer.
        """

    @abstractmethod
    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or make sure that it never starts.

        :raises WorkerUnreachable: when there is no answer.
        :raises StaleEpoch: when the worker knows a newer epoch.
        :raises WorkerReplaced: when another worker answers.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the worker."""


@attrs.frozen
class WorkerListing:
    """Registered workers.

    :param entries: each worker, ``None`` for one that is gone or not to be used.
    :param version: version up to which the listing is complete.
    """

    entries: dict[str, WorkerEntry | None]
    version: int


WorkerDirectory = ChangeSource[WorkerListing]
"""Where workers register."""
