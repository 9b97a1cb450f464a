"""Data that is exchanged with the platform."""

from enum import StrEnum
from typing import Any

import attrs

from jaypier.core.address import Address


@attrs.frozen
class Row:
    """A row of the table service.

    :param key: unique key.
    :param value: plain JSON value.
    :param version: number that grows with each write of the row, from 1.
    """

    key: str
    value: Any
    version: int


@attrs.frozen
class Changes:
    """Rows of a table.

    :param rows: in key order, or in the order of their versions; a deleted row has no value.
    :param version: version of the store up to which these rows are complete.
    """

    rows: list[Row]
    version: int


@attrs.frozen
class Condition:
    """A requirement on one row.

    :param version: version the row must have; 0 means that the row must not exist.
    """

    key: str
    version: int


@attrs.frozen
class Put:
    """A write of one row."""

    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that are all applied if all conditions hold, else none is."""

    conditions: list[Condition] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    deletes: list[str] = attrs.field(factory=list)


class MachineKind(StrEnum):
    """What a machine of the platform's list is used for."""

    WORKER = "worker"
    ENDPOINT = "endpoint"
    ENTRY = "entry"


class MachineState(StrEnum):
    """State of a machine in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Machine:
    """One VM of the platform's list.

    :param id: unique name.
    :param address: control or service address, ``"IP:PORT"``.
    :param peer_address: address for messages between daemons, entry VMs only.
    :param rack: rack within the data centre, workers only.
    :param service: name of the service, endpoints only.
    :param accelerators: number of accelerators, workers only.
    :param processors: number of processor cores, workers only.
    :param memory_gb: memory in GB, workers only.
    """

    id: str
    kind: MachineKind
    data_centre: str
    address: str
    state: MachineState = MachineState.LIVE
    peer_address: str = ""
    rack: str = ""
    service: str = ""
    accelerators: int = 0
    processors: int = 0
    memory_gb: int = 0

    @property
    def network_address(self) -> Address:
        """The parsed ``address``."""
        return Address.parse(self.address)
