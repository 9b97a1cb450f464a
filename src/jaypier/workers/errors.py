"""Errors of the worker control slice."""

from jaypier.core.errors import JaypierError


class WorkerError(JaypierError):
    """A control exchange with a worker failed."""


class WorkerUnreachable(WorkerError):
    """A worker did not answer; it may have obeyed."""


class EpochRefused(WorkerError):
    """A worker obeys an owner with a higher epoch.

    :param epoch: the epoch that the worker obeys.
    """

    def __init__(self, worker: str, epoch: int) -> None:
        super().__init__(f"worker {worker!r} obeys epoch {epoch}")
        self.epoch = epoch
