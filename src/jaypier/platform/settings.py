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

    :param configuration: time in which a configuration has to be in force.
    :param revocation: time after which a removed key must not be accepted by any VM.
    :param lease: longest lease that a worker grants to what runs on it.
    :param stop: time that a worker takes to stop a task.
    :param gang_wait: time that the tasks of a gang wait for each other on their workers.
    :param grace: time between SIGTERM and SIGKILL.
    :param reclaim: time in which urgent jobs within a team's guarantee have to start.
    :param checkpoint_interval: time of work between two checkpoints.
    :param restore: time that a worker needs to restore a checkpoint.
    :param status: time for which the state of an ended job can be asked for.
    :param remote_factor: slow-down of rack-local gangs that run on several racks.
    """

    configuration: float = 2.0
    revocation: float = 5.0
    lease: float = 6.0
    stop: float = 0.4
    gang_wait: float = 3.0
    grace: float = 6.0
    reclaim: float = 2.9
    checkpoint_interval: float = 1.0
    restore: float = 0.5
    status: float = 120.0
    remote_factor: float = 3.0


@attrs.frozen
class VmSettings:
    """What the platform tells a process about itself and its surroundings.

    :param name: name of this VM.
    :param callers: address for callers.
    :param readiness: address of the platform's readiness probe.
    :param peer: address for messages between daemons.
    :param metrics: address of counters and histograms.
    :param store: address of the platform's store.
    :param processor_share: speed of this VM in cores.
    :param memory_mb: memory limit of this process.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    peer: Address
    metrics: Address
    store: Address
    processor_share: float
    memory_mb: int
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
        peer=Address(values["Ip"], first_port),
        metrics=Address(values["Ip"], first_port + 1),
        store=Address.parse(values["platform"]["Address"]),
        processor_share=float(limits["CpuQuota"]) * float(limits.get("CpuCores", 1)),
        memory_mb=int(limits["MemoryLimitMb"]),
        bounds=_decode_bounds(values.get("Bounds", {})),
    )


def _decode_bounds(values: dict[str, Any]) -> Bounds:
    default = Bounds()
    milliseconds = {
        "configuration": "ConfigApplyMs",
        "revocation": "RevokeTimeoutMs",
        "lease": "MaxHoldMs",
        "stop": "StopTimeoutMs",
        "gang_wait": "GangTimeoutMs",
        "reclaim": "ReclaimTimeoutMs",
        "restore": "RestoreTimeoutMs",
    }
    plain = {
        "grace": "GracePeriodS",
        "checkpoint_interval": "CheckpointIntervalS",
        "status": "status_s",
        "remote_factor": "RemoteFactor",
    }
    return Bounds(
        **{
            name: values[key] / 1000 if key in values else getattr(default, name)
            for name, key in milliseconds.items()
        },
        **{name: float(values.get(key, getattr(default, name))) for name, key in plain.items()},
    )
