"""Control exchange with a worker: lease renewal, commands and report in one round trip."""

from abc import ABC, abstractmethod

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, from_json, to_json
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest
from jaypier.workers.errors import EpochRefused, WorkerUnreachable
from jaypier.workers.model import TaskCommand, TaskReport

CONTROL_TIMEOUT = 2.0
"""Seconds to wait for a worker's answer."""


@attrs.frozen
class ControlRequest:
    """What an owner tells a worker.

    :param epoch: fencing epoch of the owner; a worker refuses one lower than any it has seen.
    :param lease_until: worker clock time at which all tasks stop unless renewed, in seconds;
        0 leaves the lease as it is.
    """

    epoch: int
    owner: str
    lease_until: float
    commands: list[TaskCommand] = attrs.field(factory=list)


@attrs.frozen
class ControlReply:
    """What a worker answers after it obeyed.

    :param epoch: epoch that it obeys.
    :param clock: its monotonic clock, in seconds.
    :param tasks: every task that it holds or has not been told to forget.
    """

    epoch: int
    clock: float
    tasks: list[TaskReport]


class WorkerLink(ABC):
    """Connection to one worker."""

    @abstractmethod
    async def control(self, request: ControlRequest) -> ControlReply:
        """Exchange one control request.

        :raises EpochRefused: when the worker obeys a higher epoch.
        :raises WorkerUnreachable: when it does not answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class HttpWorkerLink(WorkerLink):
    """Control exchange as ``POST /control`` with JSON."""

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.pool = ConnectionPool(address)

    async def control(self, request: ControlRequest) -> ControlReply:
        """See :meth:`WorkerLink.control`."""
        http_request = HttpRequest("POST", "/control", [], to_json(request))
        try:
            response = await self.pool.exchange(http_request, CONTROL_TIMEOUT)
            if response.status not in (200, 409):
                raise WorkerUnreachable(f"worker {self.name!r} answered {response.status}")
            reply = from_json(response.body, ControlReply)
        except (TransportError, DecodeError) as error:
            raise WorkerUnreachable(str(error)) from error
        if response.status == 409:
            raise EpochRefused(self.name, reply.epoch)
        return reply

    def close(self) -> None:
        """Close the connection."""
        self.pool.close()
