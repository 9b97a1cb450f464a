"""Decodes what operators write to the store: the configuration, data centres out of service."""

from typing import Any

from jaypier.entry.configuration import (
    Configuration,
    OperatorChanges,
    Route,
    Team,
)
from jaypier.jobs.model import Resources
from jaypier.platform.abstract import TableSource, WatchableTable
from jaypier.platform.decoding import describe_error
from jaypier.platform.errors import PlatformUnavailable
from jaypier.platform.model import Changes, Unreadable
from jaypier.wire.server import HttpLimits

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_TIMEOUT_MS = 3000

MAX_AMOUNT = 1 << 53
"""Largest valid number: up to it, JSON numbers are exact in all languages."""


class StoreOperatorSource(TableSource[OperatorChanges]):
    """The rows that operators write to the store.

    :param table: the platform's store.
    """

    def __init__(self, table: WatchableTable) -> None:
        super().__init__(table, OPERATORS_TABLE, decode_changes)


def decode_changes(changes: Changes) -> OperatorChanges:
    """Decode rows that operators wrote; those with other keys are ignored."""
    configuration = None
    out_of_service: dict[str, bool] = {}
    for row in changes.rows:
        if row.key == CONFIGURATION_KEY and row.value is not None:
            configuration = decode_configuration(row.value)
        elif row.key.startswith(EVACUATION_PREFIX):
            out_of_service[row.key.removeprefix(EVACUATION_PREFIX)] = row.value is not None
    return OperatorChanges(configuration, out_of_service, changes.version)


def decode_configuration(value: Any) -> Configuration:
    """Decode a configuration.

    :raises PlatformUnavailable: if it cannot be decoded. It then counts as not read, so that keys
        that it may have removed are not accepted for longer than without a response.
    """
    try:
        return _decode_configuration(value)
    except Exception as error:
        # A value of another writer may fail in ways that are not foreseen here.
        raise PlatformUnavailable(
            f"{CONFIGURATION_KEY} cannot be decoded: {describe_error(error)}", effect_unknown=False
        ) from error


def _decode_configuration(value: Any) -> Configuration:
    if isinstance(value, Unreadable):
        raise ValueError(value.reason)
    return Configuration(
        version=_decode_amount(value["Version"]),
        routes=tuple(_decode_route(route) for route in value.get("Routes", ())),
        teams=tuple(_decode_team(team) for team in value.get("Tenants", ())),
        limits=_decode_limits(value.get("Limits", {})),
        unguarded_services=frozenset(
            _decode_string(service["Name"])
            for service in value.get("Services", ())
            if not service.get("AdmissionControl", False)
        ),
    )


def _decode_team(team: dict[str, Any]) -> Team:
    limit = team.get("MaxValue") or {}
    return Team(
        _decode_string(team["Name"]),
        frozenset(_decode_string(key) for key in team.get("ApiKeys", ())),
        _decode_amount((team.get("Guaranteed") or {}).get("Gpu", 0)),
        Resources(*(_decode_amount(limit.get(name)) for name in ("Cpu", "MemMb", "Gpu"))),
        _decode_amount(team.get("Weight"), float),
    )


def _decode_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {type(value).__name__}")
    return value


def _decode_amount(value: Any, kind: type = int, default: float = 0) -> int | float:
    """Decode a number that is not negative, ``default`` if it is missing or 0."""
    amount = kind(value or default)
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f"expected a number from 0 to {MAX_AMOUNT}")
    return amount


def _decode_route(route: dict[str, Any]) -> Route:
    return Route(
        host=_decode_string(route["Host"]),
        prefix=_decode_string(route["PathPrefix"]),
        service=_decode_string(route["Service"]),
        priority=_decode_amount(route.get("Priority")),
        max_attempts=_decode_amount(route.get("MaxAttempts"), int, DEFAULT_MAX_ATTEMPTS),
        slack_factor=_decode_amount(route.get("SlackFactor"), float, 1.0),
        target_seconds=_decode_amount(route.get("TargetLatencyMs"), float) / 1000,
        timeout_seconds=_decode_amount(route.get("TimeoutMs"), float, DEFAULT_TIMEOUT_MS) / 1000,
        is_public=bool(route.get("Public", False)),
        needs_placement_advice=bool(route.get("Recommendation")),
    )


def _decode_limits(limits: dict[str, Any]) -> HttpLimits:
    default = HttpLimits()
    header_millis = default.header_timeout_seconds * 1000
    idle_millis = default.idle_timeout_seconds * 1000
    return HttpLimits(
        _decode_amount(limits.get("MaxHeaderBytes"), int, default.max_header_bytes),
        _decode_amount(limits.get("MaxBodyBytes"), int, default.max_body_bytes),
        _decode_amount(limits.get("HeaderTimeoutMs"), float, header_millis) / 1000,
        _decode_amount(limits.get("IdleTimeoutMs"), float, idle_millis) / 1000,
    )
