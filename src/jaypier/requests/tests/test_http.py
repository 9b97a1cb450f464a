"""Tests of how requests and results are written in HTTP."""

import testtools
from testtools.matchers import Contains, Equals

from jaypier.requests.errors import InvalidRequest
from jaypier.requests.http import read_caller_request, read_result, write_result
from jaypier.requests.model import RequestResult, answered, not_run, unknown
from jaypier.wire.messages import HttpRequest, HttpResponse


def read(target: str = "/v1/services/returns/book?x=1", method: str = "POST", **headers: str):
    pairs = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return read_caller_request(HttpRequest(method, target, pairs, b"body"), "clinic", 100.0)


class TestReading(testtools.TestCase):
    def test_path_and_query_go_to_the_endpoint(self):
        request = read()
        self.assertThat((request.service, request.http.target), Equals(("returns", "/book?x=1")))

    def test_callers_own_request_id_is_not_sent_to_endpoints(self):
        self.assertThat(read(x_request_id="mine").http.headers, Equals([]))

    def test_credentials_are_not_sent_to_endpoints(self):
        self.assertThat(read(authorization="Bearer secret").http.headers, Equals([]))

    def test_key_is_sent_to_endpoints(self):
        request = read(idempotency_key="k")
        self.assertThat(request.http.header(b"idempotency-key"), Equals("k"))

    def test_only_safe_methods_may_be_repeated_unless_told(self):
        self.assertFalse(read().is_repeatable)
        self.assertTrue(read(method="GET").is_repeatable)
        self.assertTrue(read(jaypier_repeatable="true").is_repeatable)
        self.assertFalse(read(method="GET", jaypier_repeatable="false").is_repeatable)

    def test_mistakes_name_value_and_remedy(self):
        for headers, detail in [
            ({"jaypier_repeatable": "maybe"}, "'maybe'; use true or false"),
            ({"jaypier_timeout": "-1"}, "'-1'; use seconds"),
            ({"jaypier_timeout": "nan"}, "'nan'; use seconds"),
            ({"jaypier_timeout": "61"}, "up to 60"),
            ({"idempotency_key": "a" * 201}, "200 characters"),
            ({"idempotency_key": "a/b"}, "without '/'"),
        ]:
            error = self.assertRaises(InvalidRequest, read, **headers)
            self.assertThat(str(error), Contains(detail))

    def test_no_service(self):
        self.assertThat(
            self.assertRaises(InvalidRequest, read, "/v1/services/").status, Equals(404)
        )


class TestResults(testtools.TestCase):
    def assert_round_trip(self, result: RequestResult):
        self.assertThat(read_result(write_result(result)), Equals(result))

    def test_results_survive_a_hand_over(self):
        self.assert_round_trip(answered(HttpResponse(201, [(b"etag", b"1")], b"whole")))
        self.assert_round_trip(not_run("busy", 3.0))
        self.assert_round_trip(unknown("gone"))

    def test_refusal_tells_when_to_come_back(self):
        response = write_result(not_run("busy", 2.3))
        self.assertThat((response.status, response.header(b"retry-after")), Equals((503, "3")))

    def test_reason_cannot_inject_headers(self):
        response = write_result(unknown("a\r\nset-cookie: b"))
        self.assertThat(response.header(b"jaypier-reason"), Equals("a  set-cookie: b"))
