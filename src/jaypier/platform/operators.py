"""Decodes what operators write to the store: the configuration, data centres out of service."""

import math
from typing import Any

from jaypier.entry.configuration import (
    Configuration,
    OperatorChanges,
    Route,
    Team,
)
from jaypier.jobs.model import Resources
from jaypier.platform.abstract import TableSource, WatchableTable
from jaypier.platform.errors import PlatformUnavailable
from jaypier.platform.model import Changes
from jaypier.wire.server import HttpLimits

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_TIMEOUT_MS = 3000


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
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise PlatformUnavailable(
            f"{CONFIGURATION_KEY} cannot be decoded: {error!r}", effect_unknown=False
        ) from error


def _decode_configuration(value: dict[str, Any]) -> Configuration:
    return Configuration(
        version=int(value["Version"]),
        routes=tuple(_decode_route(route) for route in value.get("Routes", ())),
        teams=tuple(_decode_team(team) for team in value.get("Tenants", ())),
        limits=_decode_limits(value.get("Limits", {})),
        unguarded_services=frozenset(
            service["Name"]
            for service in value.get("Services", ())
            if not service.get("AdmissionControl", False)
        ),
    )


def _decode_team(team: dict[str, Any]) -> Team:
    limit = team.get("MaxValue") or {}
    return Team(
        team["Name"],
        frozenset(team.get("ApiKeys", ())),
        int((team.get("Guaranteed") or {}).get("Gpu", 0)),
        Resources(*(_decode_amount(limit.get(name)) for name in ("Cpu", "MemMb", "Gpu"))),
        _decode_amount(team.get("Weight"), float),
    )


def _decode_amount(value: Any, kind: type = int) -> int | float:
    """Decode a number that is not negative, 0 if it is missing."""
    amount = kind(value or 0)
    if not 0 <= amount < math.inf:
        raise ValueError(f"{value!r} is not an amount")
    return amount


def _decode_route(route: dict[str, Any]) -> Route:
    return Route(
        host=route["Host"],
        prefix=route["PathPrefix"],
        service=route["Service"],
        priority=int(route.get("Priority", 0)),
        max_attempts=int(route.get("MaxAttempts") or DEFAULT_MAX_ATTEMPTS),
        slack_factor=float(route.get("SlackFactor") or 1.0),
        target_seconds=float(route.get("TargetLatencyMs") or 0) / 1000,
        timeout_seconds=float(route.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        is_public=bool(route.get("Public", False)),
        needs_placement_advice=bool(route.get("Recommendation")),
    )


def _decode_limits(limits: dict[str, Any]) -> HttpLimits:
    default = HttpLimits()
    return HttpLimits(
        int(limits.get("MaxHeaderBytes") or default.max_header_bytes),
        int(limits.get("MaxBodyBytes") or default.max_body_bytes),
        float(limits.get("HeaderTimeoutMs") or default.header_timeout_seconds * 1000) / 1000,
        float(limits.get("IdleTimeoutMs") or default.idle_timeout_seconds * 1000) / 1000,
    )
