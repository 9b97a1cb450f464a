import json

import pytest

from jaypier.jobs.model import JobStatus, Resources
from jaypier.platform.callers import (
    BadRequest,
    decode_job,
    error_response,
    get_timeout_seconds,
    pending_response,
    state_response,
)
from jaypier.wire.messages import HttpRequest


def encode(**values):
    return json.dumps({"Spec": "text", "Phases": [{"Count": 1}], **values}).encode()


class TestJobs:
    def test_every_field_of_a_step_is_decoded(self):
        step = {
            "Count": 20,
            "Cpu": 2000,
            "MemMb": 1024,
            "Gpu": 4,
            "EstimatedMs": 7000,
            "After": [0],
            "Checkpointing": True,
            "GangScheduled": True,
            "RackLocal": True,
            "Requirements": "a",
            "DataRack": "r1-3",
            "AntiAffinity": 2,
            "LongRunning": True,
            "DisruptionBudget": 3,
            "TargetMs": 50,
            "FillCount": True,
            "Image": "fits:7",
        }
        request = decode_job(encode(Phases=[{"Count": 4}, step]))
        _, decoded = request.steps
        assert (request.payload, request.repeats) == ("text", 0)
        assert decoded.demand == Resources(2000, 1024, 4)
        assert decoded.count == 20
        assert decoded.estimated_seconds == 7.0
        assert decoded.after == (0,)
        assert decoded.saves and decoded.is_gang and decoded.is_rack_local
        assert (decoded.label, decoded.data_rack, decoded.max_per_worker) == ("a", "r1-3", 2)
        assert decoded.lasts and decoded.is_serving and decoded.is_filling
        assert decoded.disruption_budget == 3

    def test_times_of_a_job_are_decoded(self):
        request = decode_job(encode(RepeatCount=4, StartAtMs=1_700_000_000_500, IntervalMs=2500))
        assert request.repeats == 4
        assert request.first_start_at == 1_700_000_000.5
        assert request.interval_seconds == 2.5

    @pytest.mark.parametrize(
        "body, message",
        [
            (b"{", "not JSON"),
            (b"[]", "must be an object"),
            (b"\xff\xfe", "not JSON"),
            (encode(Spec=7), "Spec must be a text"),
            (encode(Spec="x" * 4001), "at most 4000 bytes"),
            (encode(Phases=[]), "1 to 1000 steps"),
            (encode(Phases={}), "1 to 1000 steps"),
            (encode(Phases=[7]), "must be an object"),
            (encode(Phases=[{"Count": 0}]), "Phases[0].Count is 0"),
            (encode(Phases=[{"Count": True}]), "Phases[0].Count is True"),
            (encode(Phases=[{"Count": 10**9}]), "Phases[0].Count"),
            (encode(Phases=[{"Count": 1, "Cpu": -1}]), "Phases[0].Cpu is -1"),
            (encode(Phases=[{"Count": 1, "After": [0]}]), "numbers of earlier steps"),
            (encode(Phases=[{"Count": 1, "GangScheduled": 1}]), "expected true or false"),
            (encode(Phases=[{"Count": 20000}, {"Count": 1}]), "more than 20000 tasks"),
            (encode(RepeatCount=-1), "RepeatCount is -1"),
            (encode(RepeatCount=3, StartAtMs="soon"), "StartAtMs is 'soon'"),
            (encode(RepeatCount=2, Phases=[{"Count": 1, "LongRunning": True}]), "LongRunning"),
        ],
    )
    def test_invalid_value_is_named_in_the_error(self, body, message):
        with pytest.raises(BadRequest) as caught:
            decode_job(body)
        assert message in str(caught.value)

    @pytest.mark.parametrize("number", [400 * "9", "1e308", "-1"])
    @pytest.mark.parametrize(
        "name", ["Count", "Cpu", "MemMb", "Gpu", "EstimatedMs", "AntiAffinity", "TargetMs"]
    )
    def test_number_out_of_range_is_rejected(self, name, number):
        # Regression: a number of 400 digits was an internal error.
        with pytest.raises(BadRequest):
            decode_job(f'{{"Spec": "x", "Phases": [{{"{name}": {number}}}]}}'.encode())

    @pytest.mark.parametrize("value", [400 * "9", 900 * "[" + 900 * "]"])
    @pytest.mark.parametrize("name", ["Spec", "Phases", "RepeatCount", "StartAtMs", "IntervalMs"])
    def test_odd_value_of_a_job_is_rejected(self, name, value):
        with pytest.raises(BadRequest):
            decode_job(f'{{"Phases": [{{"Cpu": 1}}], "{name}": {value}}}'.encode())

    @pytest.mark.parametrize("name", ["Count", "GangScheduled", "Requirements", "After"])
    def test_deeply_nested_value_of_a_step_is_rejected(self, name):
        value = 900 * "[" + 900 * "]"
        with pytest.raises(BadRequest):
            decode_job(f'{{"Phases": [{{"{name}": {value}}}]}}'.encode())

    def test_deeply_nested_body_is_rejected(self):
        with pytest.raises(BadRequest):
            decode_job(b"[" * 200_000)


class TestResponses:
    def test_states_use_the_platform_names(self):
        names = {status: json.loads(state_response(status).body)["State"] for status in JobStatus}
        assert list(names.values()) == [
            "queued",
            "in_progress",
            "completed",
            "failed",
            "cancelled",
            "failed",
        ]

    def test_error_response_carries_retry_after(self):
        response = error_response(503, "not run", 1)
        assert (response.status, response.header(b"retry-after")) == (503, "1")

    def test_pending_count(self):
        assert json.loads(pending_response(3).body) == {"Pending": 3}


class TestDeadlines:
    @pytest.mark.parametrize(
        "text, seconds",
        [("1500", 1.5), ("", 3.0), ("soon", 3.0), ("-1", 3.0), ("inf", 3.0), ("99999", 3.0)],
    )
    def test_timeout_from_the_deadline_header(self, text, seconds):
        request = HttpRequest("GET", "/", [(b"deadline-ms", text.encode())])
        assert get_timeout_seconds(request, 3.0) == seconds
