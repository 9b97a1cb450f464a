import pytest

from jaypier.entry.capacity import CapacitySettings
from jaypier.platform.settings import SettingsError, load_vm_settings

TEXT = """
NodeName = "edge-1"
Zone = "dc-a"
Ip = "10.1.0.19"
InternalPortRange = [7000,7015]
Unknown = 7
[ListenAddrs]
Frontend = "10.1.0.19:8521"
Ready = "10.1.0.19:8523"
[Limits]
CpuQuota = 0.5
CpuCores = 2
MemoryLimitMb = 200
MaxFds = 8192
[platform]
Address = "10.200.1.7:8524"
[Bounds]
MaxHoldMs = 6000
RevokeTimeoutMs = 5000
RestoreTimeoutMs = 600
"""


class TestSettings:
    def load(self, tmp_path, text):
        path = tmp_path / "node.toml"
        path.write_text(text)
        return load_vm_settings(path)

    def test_settings_are_decoded(self, tmp_path):
        settings = self.load(tmp_path, TEXT)
        assert settings.name == "edge-1"
        assert settings.data_centre == "dc-a"
        assert settings.caller_address.port == 8521
        assert settings.metrics_address.port == 7001
        assert settings.processor_share == 1.0
        assert settings.bounds.lease == 6.0
        assert settings.bounds.restore == 0.6
        assert settings.bounds.grace == 6.0
        assert settings.capacity == CapacitySettings(memory_mb=200, descriptors=8192)

    def test_slowdown_on_several_racks_is_decoded(self, tmp_path):
        assert self.load(tmp_path, TEXT).bounds.spread_slowdown == 3.0
        settings = self.load(tmp_path, f"{TEXT}RemoteFactor = 2.5\n")
        assert settings.bounds.spread_slowdown == 2.5

    def test_capacity_has_defaults(self, tmp_path):
        settings = self.load(
            tmp_path, TEXT.replace("MaxFds = 8192", "").replace("MemoryLimitMb", "Other")
        )
        assert settings.capacity == CapacitySettings()

    @pytest.mark.parametrize(
        "change, message",
        [
            (("MaxFds = 8192", "MaxFds = 100"), "too little"),
            (('NodeName = "edge-1"', ""), "NodeName"),
            (('"10.200.1.7:8524"', '"store"'), "IP:PORT"),
            (("[platform]", "[platform"), "node.toml"),
        ],
    )
    def test_invalid_setting_is_named(self, tmp_path, change, message):
        with pytest.raises(SettingsError) as caught:
            self.load(tmp_path, TEXT.replace(*change))
        assert message in str(caught.value)

    def test_missing_file_is_named(self, tmp_path):
        with pytest.raises(SettingsError) as caught:
            load_vm_settings(tmp_path / "none.toml")
        assert "none.toml" in str(caught.value)
