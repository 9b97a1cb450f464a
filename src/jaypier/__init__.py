"""jaypier: a scheduler for racks of accelerators that teams share under guarantees.

The names re-exported here are the public interface for programs that embed or test jaypier.
"""

from jaypier.core.address import Address
from jaypier.core.errors import JaypierError
from jaypier.daemon.assembly import Daemon
from jaypier.daemon.settings import Settings, SettingsError, load_settings
from jaypier.notes.configuration import Configuration, JobOutcome, JobState
from jaypier.notes.model import (
    Adjacency,
    DataCentre,
    Entities,
    GuaranteedShape,
    Job,
    ReleaseNote,
    Team,
    Withdrawals,
)
from jaypier.platform import open_platform
from jaypier.requests.model import Outcome
from jaypier.scheduling.placement import place_gang
from jaypier.scheduling.reservations import plan_reservations

__all__ = [
    "Address",
    "Adjacency",
    "Configuration",
    "Daemon",
    "DataCentre",
    "Entities",
    "GuaranteedShape",
    "JaypierError",
    "Job",
    "JobOutcome",
    "JobState",
    "Outcome",
    "ReleaseNote",
    "Settings",
    "SettingsError",
    "Team",
    "Withdrawals",
    "load_settings",
    "open_platform",
    "place_gang",
    "plan_reservations",
]
