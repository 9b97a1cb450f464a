"""jaypier: a scheduler for accelerator racks shared by teams with guaranteed capacity.

The names re-exported here are the public interface for programs that embed or test jaypier.
"""

from jaypier.core.address import Address
from jaypier.core.errors import JaypierError
from jaypier.entry.daemon import EntryDaemon
from jaypier.entry.settings import Settings, SettingsError, VmSettings, load_settings
from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Job, JobStatus, Resources, Step, WorkerEntry
from jaypier.jobs.placement import place_gang
from jaypier.jobs.planning import Planner
from jaypier.notes.guarantees import find_shortfall
from jaypier.notes.model import (
    Adjacency,
    DataCentre,
    Entities,
    GuaranteedShape,
    Queue,
    ReleaseNote,
    Team,
    Withdrawals,
)

__all__ = [
    "Address",
    "Adjacency",
    "DataCentre",
    "Entities",
    "EntryDaemon",
    "GuaranteedShape",
    "JaypierError",
    "Job",
    "ClusterState",
    "JobStatus",
    "Planner",
    "Queue",
    "ReleaseNote",
    "Resources",
    "Settings",
    "SettingsError",
    "Step",
    "Team",
    "VmSettings",
    "WorkerEntry",
    "Withdrawals",
    "find_shortfall",
    "load_settings",
    "place_gang",
]
