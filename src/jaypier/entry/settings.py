"""Settings of a daemon, and its settings file: JSON with comments."""

import re
from pathlib import Path

import attrs
import json5

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, structure_strictly
from jaypier.core.errors import JaypierError
from jaypier.entry.capacity import CapacitySettings
from jaypier.jobs.valuation import ValueSettings
from jaypier.scheduling.overload import OverloadSettings

MIN_TOKEN_LENGTH = 16
"""Minimum number of characters of a token, so that it cannot be guessed."""

MAX_BOUND_SECONDS = 30 * 86_400.0
"""Upper limit of configurable times: 30 days."""


class SettingsError(JaypierError):
    """A settings file is unreadable or invalid.

    :param lines: one line for each error, with file, key, value and remedy.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _validate_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    Address.parse(value)


def _validate_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}", value):
        raise ValueError(
            f"{value!r} is not a name; use letters, digits, '.', '_' and '-', "
            "at most 100 characters"
        )


def _validate_tokens(instance: object, attribute: attrs.Attribute, value: dict[str, str]) -> None:
    short = sorted(name for name, token in value.items() if len(token) < MIN_TOKEN_LENGTH)
    if short:
        raise ValueError(
            f"token of {short[0]!r} is too short; use at least {MIN_TOKEN_LENGTH} characters"
        )
    if len(set(value.values())) < len(value):
        raise ValueError("two operators share a token; give each its own")


def _one_of(*choices: str):
    def check(instance: object, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(f"{value!r} is not known; use one of: {', '.join(choices)}")

    return check


def _seconds_between(low: float, high: float):
    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"{value!r} is out of range; use {low} to {high} seconds")

    return check


def _validate_processor_share(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if not 0.0 < value <= 1024.0:
        raise ValueError(f"{value!r} is not a number of cores; use more than 0, at most 1024")


def _validate_slowdown(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if not 1.0 <= value <= 1000.0:
        raise ValueError(f"{value!r} is out of range; use a factor of 1 to 1000")


@attrs.frozen
class LogSettings:
    """Format and level of the log."""

    format: str = attrs.field(default="json", validator=_one_of("json", "console"))
    level: str = attrs.field(default="info", validator=_one_of("debug", "info", "warning", "error"))


@attrs.frozen
class Bounds:
    """What the platform guarantees to its users or requires of jaypier; times are in seconds.

    :param revocation: time after which no VM may accept a removed API key.
    :param lease: longest lease that a worker grants to a run.
    :param grace: time between SIGTERM and SIGKILL.
    :param restore: time that a worker needs to restore a checkpoint.
    :param status: time for which the state of an ended job stays available.
    :param spread_slowdown: factor by which a rack-local gang takes longer on several racks.
    """

    revocation: float = attrs.field(default=5.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    lease: float = attrs.field(default=6.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    grace: float = attrs.field(default=6.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    restore: float = attrs.field(default=0.5, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    status: float = attrs.field(default=120.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    spread_slowdown: float = attrs.field(default=3.0, validator=_validate_slowdown)


@attrs.frozen
class TeamSettings:
    """How teams share capacity that is contended.

    :param share_equally: whether teams without weights have equal shares. Weights are part of the
        operators' configuration and count in any case.
    """

    share_equally: bool = False


@attrs.frozen
class OperatorSettings:
    """Listen address and credentials of operators.

    :param tokens: bearer token of each operator, by name.
    """

    address: Address
    tokens: dict[str, str] = attrs.field(repr=False)


@attrs.frozen
class VmSettings:
    """Settings of the daemon on one VM, whichever file they come from.

    :param name: name of this VM, unique among all daemons.
    :param data_centre: data centre of this VM.
    :param caller_address: listen address for callers.
    :param ready_address: listen address for the load balancer's readiness probe.
    :param metrics_address: listen address for metrics and the state dump.
    :param store_address: address of the platform's store.
    :param peer_address: listen address for daemons that have no direct path to the store.
    :param processor_share: speed of this VM in cores.
    :param operators: settings for release notes, ``None`` if the configuration comes from the
        platform.
    :param values: what jobs are worth to their callers.
    :param overload: refusal of jobs at submission.
    :param teams: how teams share capacity that is contended.
    :param max_row_bytes: largest value of a row in the store, in bytes.
    :param capacity: what the daemon may take up on this VM.
    """

    name: str
    data_centre: str
    caller_address: Address
    ready_address: Address
    metrics_address: Address
    store_address: Address
    peer_address: Address
    processor_share: float
    bounds: Bounds
    operators: OperatorSettings | None = None
    values: ValueSettings = attrs.field(factory=ValueSettings)
    overload: OverloadSettings = attrs.field(factory=OverloadSettings)
    teams: TeamSettings = attrs.field(factory=TeamSettings)
    max_row_bytes: int = 65536
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)


@attrs.frozen
class Settings:
    """Settings file of a daemon that accepts release notes; addresses are ``"IP:PORT"``.

    :param id: name of the daemon, unique among all daemons.
    :param data_centre: data centre of this VM.
    :param caller_address: listen address for callers.
    :param operator_address: listen address for operators.
    :param ready_address: listen address for the load balancer's readiness probe.
    :param metrics_address: listen address for metrics and the state dump.
    :param peer_address: listen address for daemons that have no direct path to the store.
    :param store_address: address of the platform's store.
    :param operator_tokens: bearer token of each operator, by name.
    :param processor_share: speed of this VM in cores; faster VMs become leader first.
    :param values: what jobs are worth to their callers.
    :param overload: refusal of jobs at submission.
    :param teams: how teams share capacity that is contended.
    :param capacity: what the daemon may take up on this VM.
    """

    id: str = attrs.field(validator=_validate_name)
    data_centre: str = attrs.field(validator=_validate_name)
    caller_address: str = attrs.field(validator=_validate_address)
    operator_address: str = attrs.field(validator=_validate_address)
    ready_address: str = attrs.field(validator=_validate_address)
    metrics_address: str = attrs.field(validator=_validate_address)
    peer_address: str = attrs.field(validator=_validate_address)
    store_address: str = attrs.field(validator=_validate_address)
    operator_tokens: dict[str, str] = attrs.field(validator=_validate_tokens, repr=False)
    processor_share: float = attrs.field(default=1.0, validator=_validate_processor_share)
    bounds: Bounds = attrs.field(factory=Bounds)
    values: ValueSettings = attrs.field(factory=ValueSettings)
    overload: OverloadSettings = attrs.field(factory=OverloadSettings)
    teams: TeamSettings = attrs.field(factory=TeamSettings)
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)
    log: LogSettings = attrs.field(factory=LogSettings)

    def __attrs_post_init__(self) -> None:
        listen_addresses = [
            self.caller_address,
            self.operator_address,
            self.ready_address,
            self.metrics_address,
            self.peer_address,
        ]
        repeated = [address for address in listen_addresses if listen_addresses.count(address) > 1]
        if repeated:
            raise ValueError(f"{repeated[0]!r} is used for two listen addresses; use another port")

    def to_vm_settings(self) -> VmSettings:
        """Return the settings that the daemon uses."""
        return VmSettings(
            name=self.id,
            data_centre=self.data_centre,
            caller_address=Address.parse(self.caller_address),
            ready_address=Address.parse(self.ready_address),
            metrics_address=Address.parse(self.metrics_address),
            store_address=Address.parse(self.store_address),
            peer_address=Address.parse(self.peer_address),
            processor_share=self.processor_share,
            bounds=self.bounds,
            values=self.values,
            overload=self.overload,
            teams=self.teams,
            capacity=self.capacity,
            operators=OperatorSettings(Address.parse(self.operator_address), self.operator_tokens),
        )


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: if it is unreadable or invalid, with one line for each error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: cannot be read: {error}; check the path"]) from error
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        detail = str(error).removeprefix("<string>:")
        raise SettingsError(
            [f"{path}: not JSON with comments: line {detail}; correct the syntax"]
        ) from error
    try:
        return structure_strictly(value, Settings)
    except DecodeError as error:
        raise SettingsError(
            [_format_setting_error(path, description) for description in error.errors]
        ) from error


def _format_setting_error(path: Path, description: str) -> str:
    """Return one line with file, key, value and remedy of an error.

    :param description: message and path of the value, joined by ``" @ "``.
    """
    message, _, location = description.rpartition(" @ ")
    key = location.removeprefix("$").removeprefix(".")
    if message.startswith("unknown key"):
        message += "; remove it or correct its spelling"
    elif message.startswith("missing key"):
        message += "; add it"
    elif message.startswith("expected"):
        message += "; correct the value"
    return f"{path}: {key}: {message}" if key else f"{path}: {message}"
