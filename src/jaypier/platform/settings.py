"""Settings file that the platform writes for each process (TOML)."""

import tomllib
from pathlib import Path
from typing import Any

from jaypier.core.address import Address
from jaypier.entry.settings import Bounds, SettingsError, VmSettings

SETTINGS_VARIABLE = "JAYPIER_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

DEFAULT_SETTINGS_PATH = Path("/etc/jaypier/node.toml")


def load_vm_settings(path: Path) -> VmSettings:
    """Read and check the settings file.

    :raises SettingsError: naming the file and what is wrong with it.
    """
    try:
        return decode_vm_settings(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise SettingsError([f"{path}: cannot be read: {error}"]) from error
    except KeyError as error:
        raise SettingsError([f"{path}: key {error} is missing"]) from error
    except (tomllib.TOMLDecodeError, ValueError, TypeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error


def decode_vm_settings(values: dict[str, Any]) -> VmSettings:
    """Build settings from the decoded file; unknown keys are ignored."""
    listen_addresses, limits = values["ListenAddrs"], values["Limits"]
    first_port = int(values["InternalPortRange"][0])
    return VmSettings(
        name=str(values["NodeName"]),
        data_centre=str(values["Zone"]),
        caller_address=Address.parse(listen_addresses["Frontend"]),
        ready_address=Address.parse(listen_addresses["Ready"]),
        metrics_address=Address(values["Ip"], first_port + 1),
        store_address=Address.parse(values["platform"]["Address"]),
        peer_address=Address(values["Ip"], first_port),
        processor_share=float(limits["CpuQuota"]) * float(limits.get("CpuCores", 1)),
        bounds=_decode_bounds(values.get("Bounds", {})),
        max_row_bytes=int(values["platform"].get("MaxRowBytes", 65536)),
    )


def _decode_bounds(values: dict[str, Any]) -> Bounds:
    default = Bounds()
    milliseconds_keys = {
        "revocation": "RevokeTimeoutMs",
        "lease": "MaxHoldMs",
        "restore": "RestoreTimeoutMs",
    }
    seconds_keys = {
        "grace": "GracePeriodS",
        "status": "status_s",
    }
    return Bounds(
        **{
            name: values[key] / 1000 if key in values else getattr(default, name)
            for name, key in milliseconds_keys.items()
        },
        **{
            name: float(values.get(key, getattr(default, name)))
            for name, key in seconds_keys.items()
        },
    )
