"""Settings of a daemon: one file of JSON with comments, checked as a whole on start."""

import re
from pathlib import Path

import attrs
import json5

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, structure_strictly
from jaypier.core.errors import JaypierError
from jaypier.platform.registry import BACK_ENDS

MIN_SECRET_LENGTH = 16


class SettingsError(JaypierError):
    """A settings file cannot be used.

    :param lines: one line for each mistake, naming file, key, value and remedy.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    Address.parse(value)


def _addresses(instance: object, attribute: attrs.Attribute, value: list[str]) -> None:
    for address in value:
        Address.parse(address)


def _name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}", value):
        raise ValueError(f"{value!r} is not a name; use letters, digits, '.', '_' and '-'")


def _secret(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if len(value) < MIN_SECRET_LENGTH:
        raise ValueError(f"value is too short; use at least {MIN_SECRET_LENGTH} characters")


def _tokens(instance: object, attribute: attrs.Attribute, value: dict[str, str]) -> None:
    short = sorted(name for name, token in value.items() if len(token) < MIN_SECRET_LENGTH)
    if short:
        raise ValueError(
            f"token of {short[0]!r} is too short; use at least {MIN_SECRET_LENGTH} characters"
        )
    if len(set(value.values())) < len(value):
        raise ValueError("two names share a token; give each its own")


def _one_of(*choices: str):
    def check(instance: object, attribute: attrs.Attribute, value: str) -> None:
        if value not in choices:
            raise ValueError(f"{value!r} is not known; use one of: {', '.join(choices)}")

    return check


def _seconds(low: float, high: float):
    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"{value!r} is out of range; use {low} to {high} seconds")

    return check


@attrs.frozen
class PlatformSettings:
    """Where the platform is.

    :param back_end: protocol of the platform's interface.
    :param timeout_seconds: time to wait for one answer.
    """

    address: str = attrs.field(validator=_address)
    back_end: str = attrs.field(default="http", validator=_one_of(*BACK_ENDS))
    timeout_seconds: float = attrs.field(default=1.0, validator=_seconds(0.05, 30.0))


@attrs.frozen
class LogSettings:
    """How to log."""

    format: str = attrs.field(default="json", validator=_one_of("json", "console"))
    level: str = attrs.field(default="info", validator=_one_of("debug", "info", "warning", "error"))


@attrs.frozen
class StopSettings:
    """How a planned stop goes.

    :param notice_seconds: time between turning unhealthy and refusing connections; longer
        than the balancer takes to notice.
    :param drain_seconds: longest time to wait for requests in flight.
    """

    notice_seconds: float = attrs.field(default=2.0, validator=_seconds(0.0, 300.0))
    drain_seconds: float = attrs.field(default=65.0, validator=_seconds(0.0, 600.0))


@attrs.frozen
class Settings:
    """Everything that one daemon is told.

    :param id: identity, unique among all daemons; the same as in the platform's list.
    :param data_centre: data centre that this VM is in, one of ``data_centres``.
    :param data_centres: every data centre of the deployment.
    :param caller_address: where to serve callers and operators.
    :param peer_address: where to receive messages of other daemons.
    :param peer_seeds: peer addresses to try when the platform does not answer at start.
    :param cluster_secret: shared by all daemons; authenticates their messages.
    :param operator_tokens: token of each operator.
    :param team_tokens: token of each team.
    """

    id: str = attrs.field(validator=_name)
    data_centre: str = attrs.field(validator=_name)
    data_centres: list[str]
    caller_address: str = attrs.field(validator=_address)
    peer_address: str = attrs.field(validator=_address)
    platform: PlatformSettings
    cluster_secret: str = attrs.field(validator=_secret, repr=False)
    operator_tokens: dict[str, str] = attrs.field(validator=_tokens, repr=False)
    team_tokens: dict[str, str] = attrs.field(validator=_tokens, repr=False)
    peer_seeds: list[str] = attrs.field(factory=list, validator=_addresses)
    log: LogSettings = attrs.field(factory=LogSettings)
    stop: StopSettings = attrs.field(factory=StopSettings)

    def __attrs_post_init__(self) -> None:
        if self.data_centre not in self.data_centres:
            known = ", ".join(self.data_centres)
            raise ValueError(
                f"data_centre {self.data_centre!r} is not in data_centres; use one of: {known}"
            )
        if self.caller_address == self.peer_address:
            raise ValueError(
                f"peer_address {self.peer_address!r} is also caller_address; use another port"
            )
        if set(self.operator_tokens.values()) & set(self.team_tokens.values()):
            raise ValueError("an operator and a team share a token; give each its own")


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
        raise SettingsError([_line(path, mistake) for mistake in error.mistakes]) from error


def _line(path: Path, mistake: str) -> str:
    """Name file, key, value and remedy of one mistake in one line."""
    message, _, place = mistake.rpartition(" @ ")
    key = place.removeprefix("$").removeprefix(".")
    if message.startswith("unknown key"):
        message += "; remove it or correct its spelling"
    elif message.startswith("missing key"):
        message += "; add it"
    elif message.startswith("expected"):
        message += "; correct the value"
    return f"{path}: {key}: {message}" if key else f"{path}: {message}"
