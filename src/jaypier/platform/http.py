"""Platform back end over HTTP and JSON; the interface is written down in docs/platform.md."""

from urllib.parse import quote

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, from_json, to_json
from jaypier.platform.abstract import MachineList, ObjectStore, Platform, TableService
from jaypier.platform.errors import ConditionFailed, PlatformUnavailable
from jaypier.platform.model import Machine, Row, Transaction
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

MAX_ANSWER_BYTES = 16 << 20
"""Largest answer of the platform; the list of 6,400 workers takes 1.5 MB."""


@attrs.frozen
class FailedCondition:
    """Body of the answer to a transaction that was not applied."""

    key: str


class PlatformCaller:
    """Sends requests to the platform and turns transport errors into platform errors.

    :param timeout: seconds to wait for one answer.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        self.pool = ConnectionPool(address, MAX_ANSWER_BYTES)
        self.timeout = timeout

    async def call(self, method: str, target: str, body: bytes = b"") -> HttpResponse:
        """Make one call.

        :raises PlatformUnavailable: for a failed exchange, a 5xx or an unexpected status.
        """
        try:
            response = await self.pool.exchange(HttpRequest(method, target, [], body), self.timeout)
        except TransportError as error:
            raise PlatformUnavailable(str(error), error.sent and method != "GET") from error
        if response.status not in (200, 404, 409):
            message = f"platform answered {response.status} to {method} {target}"
            raise PlatformUnavailable(message, response.status >= 500 and response.status != 503)
        return response


def _decode(response: HttpResponse, expected: type) -> object:
    try:
        return from_json(response.body, expected)
    except DecodeError as error:
        raise PlatformUnavailable(f"platform sent an unreadable answer: {error}", False) from error


class HttpTableService(TableService):
    """Table service at ``/table``."""

    def __init__(self, caller: PlatformCaller) -> None:
        self.caller = caller

    async def read(self, key: str) -> Row | None:
        """See :meth:`TableService.read`."""
        response = await self.caller.call("GET", f"/table/row?key={quote(key)}")
        return None if response.status == 404 else _decode(response, Row)

    async def scan(self, prefix: str) -> list[Row]:
        """See :meth:`TableService.scan`."""
        response = await self.caller.call("GET", f"/table/scan?prefix={quote(prefix)}")
        return _decode(response, list[Row])

    async def transact(self, transaction: Transaction) -> None:
        """See :meth:`TableService.transact`."""
        response = await self.caller.call("POST", "/table/transact", to_json(transaction))
        if response.status == 409:
            raise ConditionFailed(_decode(response, FailedCondition).key)


class HttpObjectStore(ObjectStore):
    """Object store at ``/objects``."""

    def __init__(self, caller: PlatformCaller) -> None:
        self.caller = caller

    async def get(self, name: str) -> bytes | None:
        """See :meth:`ObjectStore.get`."""
        response = await self.caller.call("GET", f"/objects/{quote(name)}")
        return None if response.status == 404 else response.body

    async def put(self, name: str, data: bytes) -> None:
        """See :meth:`ObjectStore.put`."""
        await self.caller.call("PUT", f"/objects/{quote(name)}", data)


class HttpMachineList(MachineList):
    """Machine list at ``/machines``; an unchanged answer is not decoded again."""

    def __init__(self, caller: PlatformCaller) -> None:
        self.caller = caller
        self.body = b""
        self.decoded: list[Machine] = []

    async def machines(self) -> list[Machine]:
        """See :meth:`MachineList.machines`."""
        response = await self.caller.call("GET", "/machines")
        if response.body != self.body:
            self.decoded = _decode(response, list[Machine])
            self.body = response.body
        return self.decoded


class HttpPlatform(Platform):
    """Platform client over one HTTP address.

    :param address: where the platform listens.
    :param timeout: seconds to wait for one answer.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        self.caller = PlatformCaller(address, timeout)
        self.table = HttpTableService(self.caller)
        self.objects = HttpObjectStore(self.caller)
        self.machine_list = HttpMachineList(self.caller)

    async def close(self) -> None:
        """Close every connection."""
        self.caller.pool.close()
