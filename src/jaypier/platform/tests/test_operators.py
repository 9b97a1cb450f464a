import math

import pytest

from jaypier.jobs.model import Resources
from jaypier.platform.errors import PlatformUnavailable
from jaypier.platform.model import Changes, Row
from jaypier.platform.operators import decode_changes
from standins.protocol import encode_configuration

ROWS = [
    Row("op/config", encode_configuration(7, {"clinic": ["k1", "k2"]}, 32), 3),
    Row("op/evacuate/dc-a", {}, 4),
    Row("op/evacuate/dc-b", None, 5),
    Row("op/wave/1", {"Cohort": 1}, 6),
]


def nested(levels: int) -> list:
    value: list = []
    for _ in range(levels):
        value = [value]
    return value


ROUTE = {"Host": "a", "PathPrefix": "/a/", "Service": "desk"}

ODD_ROUTE_VALUES = [
    {"Host": 7}, {"PathPrefix": ["/"]}, {"PathPrefix": None}, {"Service": {}},
    *(
        {name: value}
        for name in ("Priority", "MaxAttempts", "SlackFactor", "TargetLatencyMs", "TimeoutMs")
        for value in (math.inf, math.nan, int(400 * "9"), -1, 1e300, [1])
    ),
]  # fmt: skip

LIMIT_NAMES = ["MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"]


class TestConfiguration:
    def test_configuration_is_decoded(self):
        configuration = decode_changes(Changes(ROWS, 6)).configuration
        assert configuration.version == 7
        assert configuration.find_team_by_key("k2").guaranteed_accelerators == 32
        assert configuration.find_team_by_key("k3") is None
        route = configuration.find_route("desk.example", "/urgent/0123456789abcdef")
        assert (route.priority, route.max_attempts, route.slack_factor) == (0, 3, 3.0)
        assert configuration.find_route("desk.example", "/none/x") is None
        assert configuration.find_route("other.example", "/urgent/x") is None

    def test_services_whose_workers_do_not_guard_their_capacity(self):
        value = encode_configuration(7, {})
        value["Services"] = [{"Name": "guarded", "AdmissionControl": True}, {"Name": "open"}]
        configuration = decode_changes(Changes([Row("op/config", value, 3)], 3)).configuration
        assert configuration.unguarded_services == {"open"}

    def test_limits_and_weights_of_teams(self):
        value = encode_configuration(7, {"clinic": ["k1"], "dairy": [], "sorting": []})
        value["Tenants"][0] |= {
            "MaxValue": {"Cpu": 64000, "MemMb": 128000, "Gpu": 8},
            "Weight": 2.5,
        }
        value["Tenants"][1] |= {"MaxValue": {"Gpu": 4}, "Weight": None}
        configuration = decode_changes(Changes([Row("op/config", value, 3)], 3)).configuration
        assert [(team.limit, team.weight) for team in configuration.teams] == [
            (Resources(64000, 128000, 8), 2.5),
            (Resources(0, 0, 4), 0.0),
            (Resources(), 0.0),
        ]
        assert configuration.limit_of("dairy") == Resources(0, 0, 4)
        assert configuration.limit_of("nobody") == Resources()

    def test_data_centres_out_of_service(self):
        assert decode_changes(Changes(ROWS, 6)).out_of_service == {"dc-a": True, "dc-b": False}

    def test_changes_without_a_configuration(self):
        assert decode_changes(Changes(ROWS[1:], 6)).configuration is None

    @pytest.mark.parametrize(
        "value",
        [
            [],
            {},
            {"Version": "new"},
            {"Version": 1, "Routes": [None]},
            {"Version": 1, "Routes": [{"Host": "a"}]},
            {"Version": 1, "Tenants": [{"Name": "a", "ApiKeys": 7}]},
            {"Version": 1, "Tenants": [{"Name": "a", "MaxValue": 7}]},
            {"Version": 1, "Tenants": [{"Name": "a", "MaxValue": {"Gpu": "few"}}]},
            {"Version": 1, "Tenants": [{"Name": "a", "MaxValue": {"Gpu": -1}}]},
            {"Version": 1, "Tenants": [{"Name": "a", "Weight": "high"}]},
            {"Version": 1, "Tenants": [{"Name": "a", "Weight": -0.5}]},
            {"Version": 1, "Limits": "none"},
            {"Version": 1, "Services": [{"AdmissionControl": True}, {}]},
            nested(900),
            {"Version": nested(900)},
            {"Version": math.inf},
            {"Version": int(400 * "9")},
            {"Version": 1, "Tenants": [{"Name": nested(900)}]},
            {"Version": 1, "Tenants": [{"Name": ["a"]}]},
            {"Version": 1, "Tenants": [{"Name": "a", "ApiKeys": [nested(900)]}]},
            {"Version": 1, "Tenants": [{"Name": "a", "ApiKeys": [7]}]},
            {"Version": 1, "Tenants": [{"Name": "a", "Guaranteed": {"Gpu": int(400 * "9")}}]},
            {"Version": 1, "Tenants": [{"Name": "a", "MaxValue": {"Gpu": int(400 * "9")}}]},
            {"Version": 1, "Tenants": [{"Name": "a", "Weight": int(400 * "9")}]},
            {"Version": 1, "Tenants": [{"Name": "a", "Weight": 1e300}]},
            *({"Version": 1, "Routes": [ROUTE | odd]} for odd in ODD_ROUTE_VALUES),
            *({"Version": 1, "Limits": {name: math.inf}} for name in LIMIT_NAMES),
            *({"Version": 1, "Limits": {name: -1}} for name in LIMIT_NAMES),
            {"Version": 1, "Services": [{"Name": ["a"]}]},
        ],
    )
    def test_unreadable_configuration_is_not_taken_for_a_confirmation(self, value):
        rows = [Row("op/config", value, 3)]
        with pytest.raises(PlatformUnavailable, match="op/config"):
            decode_changes(Changes(rows, 3))
