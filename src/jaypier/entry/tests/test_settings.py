"""Tests for loading and validating settings files."""

import json
import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals, HasLength, MatchesRegex
from typer.testing import CliRunner

from jaypier.entry.main import app
from jaypier.entry.settings import SettingsError, load_settings

EXAMPLE = Path(__file__).parents[4] / "examples" / "entry-1.json"


def valid_settings() -> dict:
    return {
        "id": "entry-1",
        "data_centre": "a",
        "caller_address": "127.0.0.1:8101",
        "operator_address": "127.0.0.1:8102",
        "ready_address": "127.0.0.1:8103",
        "metrics_address": "127.0.0.1:8104",
        "peer_address": "127.0.0.1:8105",
        "store_address": "127.0.0.1:7000",
        "operator_tokens": {"amina": "operator-0123456789"},
    }


class SettingsTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def load_errors(self, text: str) -> list[str]:
        self.path.write_text(text)
        return self.assertRaises(SettingsError, load_settings, self.path).lines

    def assert_error(self, changes: dict, key: str, detail: str):
        settings = valid_settings() | changes
        lines = self.load_errors(json.dumps({k: v for k, v in settings.items() if v is not ...}))
        self.assertThat(lines, HasLength(1))
        self.assertThat(lines[0], MatchesRegex(f".*settings.json: {key}.*{detail}"))
        self.assertThat(lines[0].count("\n"), Equals(0))


class TestValid(SettingsTestCase):
    def test_example_is_valid(self):
        self.assertThat(load_settings(EXAMPLE).id, Equals("entry-1"))

    def test_comments_are_allowed(self):
        self.path.write_text("// note\n" + json.dumps(valid_settings()) + "\n/* end */")
        self.assertThat(load_settings(self.path).bounds.lease, Equals(6.0))


class TestErrors(SettingsTestCase):
    def test_unknown_key(self):
        self.assert_error({"colour": 1}, "", "unknown key 'colour'; remove it")

    def test_missing_key(self):
        settings = valid_settings()
        del settings["ready_address"]
        lines = self.load_errors(json.dumps(settings))
        self.assertThat(lines[0], Contains("missing key 'ready_address'; add it"))

    def test_wrong_type(self):
        changes = {"bounds": {"lease": "soon"}}
        self.assert_error(changes, "bounds.lease", "expected float, got 'soon'")

    def test_number_out_of_range(self):
        self.assert_error({"bounds": {"grace": -1}}, "bounds", "-1.0 is out of range; use 0.0")

    def test_number_of_cores(self):
        self.assert_error({"processor_share": 0}, "", "0.0 is not a number of cores")

    def test_host_name_instead_of_address(self):
        self.assert_error({"caller_address": "localhost:80"}, "", "'localhost:80' is not IP:PORT")

    def test_duplicate_address(self):
        changes = {"ready_address": "127.0.0.1:8101"}
        self.assert_error(changes, "", "'127.0.0.1:8101' is used for two listen addresses")

    def test_short_token(self):
        self.assert_error({"operator_tokens": {"amina": "x"}}, "", "too short; use at least 16")

    def test_unknown_log_format(self):
        self.assert_error({"log": {"format": "xml"}}, "log", "use one of: json, console")

    def test_refusal_in_overload(self):
        self.assert_error({"overload": {"begins_at": 0}}, "overload", "0.0 is out of range")
        self.assert_error({"overload": {"refuses": 1}}, "overload.refuses", "expected bool")
        self.path.write_text(json.dumps(valid_settings() | {"overload": {"refuses": True}}))
        self.assertTrue(load_settings(self.path).to_vm_settings().overload.refuses)
        self.path.write_text(json.dumps(valid_settings()))
        self.assertFalse(load_settings(self.path).to_vm_settings().overload.refuses)

    def test_values_of_jobs(self):
        self.assert_error({"values": {"late_share": 2}}, "values", "2.0 is out of range; use 0.0")
        self.assert_error({"values": {"priority_weights": []}}, "values", "the list is empty")
        self.assert_error({"values": {"priority_weights": [1, -1]}}, "values", "-1.0 is out of")
        self.path.write_text(json.dumps(valid_settings() | {"values": {"priority_weights": [2]}}))
        self.assertEqual((2.0,), load_settings(self.path).to_vm_settings().values.priority_weights)

    def test_token_shared_by_two_operators(self):
        tokens = {"amina": "operator-0123456789", "juma": "operator-0123456789"}
        self.assert_error({"operator_tokens": tokens}, "", "share a token; give each its own")

    def test_every_error_is_listed(self):
        lines = self.load_errors(json.dumps(valid_settings() | {"id": 3, "colour": 1}))
        self.assertThat(lines, HasLength(2))

    def test_syntax_error_names_the_line(self):
        self.assertThat(self.load_errors('{\n"id": }')[0], Contains("line 2"))

    def test_duplicate_key(self):
        self.assertThat(self.load_errors('{"id": "a", "id": "b"}')[0], Contains("id"))

    def test_missing_file(self):
        error = self.assertRaises(SettingsError, load_settings, self.path)
        self.assertThat(error.lines[0], Contains("cannot be read"))

    def test_secrets_are_not_shown(self):
        self.path.write_text(json.dumps(valid_settings()))
        self.assertNotIn("0123456789", repr(load_settings(self.path)))


class TestCommandLine(SettingsTestCase):
    def test_check_of_valid_settings(self):
        result = CliRunner().invoke(app, ["--check-settings", str(EXAMPLE)])
        self.assertThat(result.exit_code, Equals(0))

    def test_check_of_wrong_settings_exits_with_2(self):
        self.path.write_text("{}")
        result = CliRunner().invoke(app, ["--check-settings", str(self.path)])
        self.assertThat(result.exit_code, Equals(2))
        self.assertThat(result.output, Contains("missing key 'id'; add it"))

    def test_platform_settings_are_checked(self):
        path = self.path.with_suffix(".toml")
        path.write_text('NodeName = "edge-1"')
        result = CliRunner().invoke(app, ["--check-settings", str(path)])
        self.assertThat(result.exit_code, Equals(2))
        self.assertThat(result.output, Contains("key 'ListenAddrs' is missing"))

    def test_missing_platform_settings_exit_with_2(self):
        environment = {"JAYPIER_NODE_FILE": str(self.path.with_name("nothing"))}
        result = CliRunner().invoke(app, [], env=environment)
        self.assertThat(result.exit_code, Equals(2))
        self.assertThat(result.output, Contains("cannot be read"))
