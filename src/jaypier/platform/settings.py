"""Settings file that the platform writes for each process (TOML)."""

import tomllib
from pathlib import Path
from typing import Any

import attrs

from jaypier.core.address import Address
from jaypier.core.errors import JaypierError

SETTINGS_VARIABLE = "JAYPIER_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

DEFAULT_PATH = Path("/etc/jaypier/node.toml")


class VmSettingsError(JaypierError):
    """The platform's settings file cannot be used."""


@attrs.frozen
class Bounds:
    """Time limits that the platform promises to its users or asks of jaypier, in seconds.

    :param revocation: time after which a removed key must not be accepted by any VM.
    :param lease: longest lease that a worker grants to what runs on it.
    :param grace: time between SIGTERM and SIGKILL.
    :param restore: time that a worker needs to restore a checkpoint.
    :param status: time for which the state of an ended job can be asked for.
    """

    revocation: float = 5.0
    lease: float = 6.0
    grace: float = 6.0
    restore: float = 0.5
    status: float = 120.0


@attrs.frozen
class VmSettings:
    """What the platform tells a process about itself and its surroundings.

    :param name: name of this VM.
    :param callers: address for callers.
    :param readiness: address of the platform's readiness probe.
    :param metrics: address of counters and histograms.
    :param store: address of the platform's store.
    :param processor_share: speed of this VM in cores.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    store: Address
    processor_share: float
    bounds: Bounds


def load_vm_settings(path: Path) -> VmSettings:
    """Read and check the settings file.

    :raises VmSettingsError: naming the file and what is wrong with it.
    """
    try:
        return decode_vm_settings(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise VmSettingsError(f"{path}: cannot be read: {error}") from error
    except KeyError as error:
        raise VmSettingsError(f"{path}: key {error} is missing") from error
    except (tomllib.TOMLDecodeError, ValueError, TypeError) as error:
        raise VmSettingsError(f"{path}: {error}") from error


def decode_vm_settings(values: dict[str, Any]) -> VmSettings:
    """Build settings from the decoded file; unknown keys are ignored."""
    listen, limits = values["ListenAddrs"], values["Limits"]
    first_port = int(values["InternalPortRange"][0])
    return VmSettings(
        name=str(values["NodeName"]),
        data_centre=str(values["Zone"]),
        callers=Address.parse(listen["Frontend"]),
        readiness=Address.parse(listen["Ready"]),
        metrics=Address(values["Ip"], first_port + 1),
        store=Address.parse(values["platform"]["Address"]),
        processor_share=float(limits["CpuQuota"]) * float(limits.get("CpuCores", 1)),
        bounds=_decode_bounds(values.get("Bounds", {})),
    )


def _decode_bounds(values: dict[str, Any]) -> Bounds:
    default = Bounds()
    milliseconds = {
        "revocation": "RevokeTimeoutMs",
        "lease": "MaxHoldMs",
        "restore": "RestoreTimeoutMs",
    }
    plain = {
        "grace": "GracePeriodS",
        "status": "status_s",
    }
    return Bounds(
        **{
            name: values[key] / 1000 if key in values else getattr(default, name)
            for name, key in milliseconds.items()
        },
        **{name: float(values.get(key, getattr(default, name))) for name, key in plain.items()},
    )
