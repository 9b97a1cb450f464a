"""The settings file (TOML) that the platform writes for each process."""

import tomllib
from pathlib import Path
from typing import Any

from jaypier.core.address import Address
from jaypier.entry.capacity import CapacitySettings
from jaypier.entry.settings import Bounds, SettingsError, VmSettings

SETTINGS_VARIABLE = "JAYPIER_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

DEFAULT_SETTINGS_PATH = Path("/etc/jaypier/node.toml")


def load_vm_settings(path: Path) -> VmSettings:
    """Read and validate the settings file.

    :raises SettingsError: if the file cannot be read or is invalid; the message names the file
        and the error.
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
    """Build the settings from the parsed file; unknown keys are ignored.

    :raises KeyError: if a key is missing.
    :raises ValueError: if a value is invalid.
    :raises TypeError: if a value has the wrong type.
    """
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
        capacity=_decode_capacity(limits),
    )


def _decode_capacity(limits: dict[str, Any]) -> CapacitySettings:
    names = {"memory_mb": "MemoryLimitMb", "descriptors": "MaxFds"}
    return CapacitySettings(
        **{name: int(limits[key]) for name, key in names.items() if key in limits}
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
    slowdown = float(values.get("RemoteFactor", default.spread_slowdown))
    return Bounds(
        **{
            name: values[key] / 1000 if key in values else getattr(default, name)
            for name, key in milliseconds_keys.items()
        },
        **{
            name: float(values.get(key, getattr(default, name)))
            for name, key in seconds_keys.items()
        },
        spread_slowdown=slowdown,
    )
