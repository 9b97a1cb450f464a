"""What a daemon is told, and its settings file: JSON with comments, checked as a whole."""

import re
from pathlib import Path

import attrs
import json5

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, structure_strictly
from jaypier.core.errors import JaypierError

MIN_TOKEN_LENGTH = 16
"""Characters of a token at least, so that it cannot be guessed."""


MAX_BOUND_SECONDS = 30 * 86_400.0
"""Longest time limit that makes sense: 30 days."""


class SettingsError(JaypierError):
    """A settings file cannot be used.

    :param lines: one line for each mistake, naming file, key, value and remedy.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _validate_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    Address.parse(value)


def _validate_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}", value):
        raise ValueError(f"{value!r} is not a name; use letters, digits, '.', '_' and '-'")


def _validate_tokens(instance: object, attribute: attrs.Attribute, value: dict[str, str]) -> None:
    short = sorted(name for name, token in value.items() if len(token) < MIN_TOKEN_LENGTH)
    if short:
        raise ValueError(
            f"token of {short[0]!r} is too short; use at least {MIN_TOKEN_LENGTH} characters"
        )
    if len(set(value.values())) < len(value):
        raise ValueError("two names share a token; give each its own")


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


@attrs.frozen
class LogSettings:
    """How to log."""

    format: str = attrs.field(default="json", validator=_one_of("json", "console"))
    level: str = attrs.field(default="info", validator=_one_of("debug", "info", "warning", "error"))


@attrs.frozen
class Bounds:
    """Time limits that the platform promises to its users or asks of jaypier, in seconds.

    :param revocation: time after which a removed key must not be accepted by any VM.
    :param lease: longest lease that a worker grants to what runs on it.
    :param grace: time between SIGTERM and SIGKILL.
    :param restore: time that a worker needs to restore a checkpoint.
    :param status: time for which the state of an ended job can be asked for.
    """

    revocation: float = attrs.field(default=5.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    lease: float = attrs.field(default=6.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    grace: float = attrs.field(default=6.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    restore: float = attrs.field(default=0.5, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))
    status: float = attrs.field(default=120.0, validator=_seconds_between(0.0, MAX_BOUND_SECONDS))


@attrs.frozen
class OperatorSettings:
    """Where operators call, and who they are.

    :param tokens: token of each operator.
    """

    address: Address
    tokens: dict[str, str] = attrs.field(repr=False)


@attrs.frozen
class VmSettings:
    """What a daemon is told about its VM and its surroundings.

    :param name: name of this VM.
    :param caller_address: address for callers.
    :param ready_address: address of the balancer's readiness probe.
    :param metrics_address: address of counters and histograms.
    :param store_address: address of the platform's store.
    :param peer_address: address for daemons that have lost their own path to the store.
    :param processor_share: speed of this VM in cores.
    :param operators: where operators hand release notes in, ``None`` where the platform's own
        configuration is followed.
    :param max_row_bytes: length of a row's value in the store at most.
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
    max_row_bytes: int = 65536


@attrs.frozen
class Settings:
    """Settings file of a daemon that serves release notes.

    :param id: identity, unique among all daemons.
    :param data_centre: data centre that this VM is in.
    :param caller_address: where to serve callers.
    :param operator_address: where to serve operators.
    :param ready_address: where to answer the balancer's probe.
    :param metrics_address: where to serve counters, histograms and the state of the process.
    :param peer_address: where to serve daemons that have lost their own path to the store.
    :param store_address: where the platform's store listens.
    :param operator_tokens: token of each operator.
    :param processor_share: speed of this VM in cores; faster ones lead first.
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
            raise ValueError(f"{repeated[0]!r} is given for two duties; use another port")

    def to_vm_settings(self) -> VmSettings:
        """Return what the daemon needs."""
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
            operators=OperatorSettings(Address.parse(self.operator_address), self.operator_tokens),
        )


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with one line for each mistake.
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
            [_format_setting_error(path, mistake) for mistake in error.errors]
        ) from error


def _format_setting_error(path: Path, mistake: str) -> str:
    """Name file, key, value and remedy of one mistake in one line."""
    message, _, location = mistake.rpartition(" @ ")
    key = location.removeprefix("$").removeprefix(".")
    if message.startswith("unknown key"):
        message += "; remove it or correct its spelling"
    elif message.startswith("missing key"):
        message += "; add it"
    elif message.startswith("expected"):
        message += "; correct the value"
    return f"{path}: {key}: {message}" if key else f"{path}: {message}"
