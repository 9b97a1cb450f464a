"""The accepted configuration as one variable, for replays and tests without a store."""

from jaypier.notes.configuration import Configuration, JobOutcome, apply_entry
from jaypier.notes.model import Entities, ReleaseNote, Withdrawals
from jaypier.notes.validation import NoteRefusal
from jaypier.platform import Machine
from jaypier.scheduling.assignment import SchedulerChange, plan_change, plan_note
from jaypier.scheduling.model import Decisions


class FakeLedger:
    """The accepted configuration as one variable."""

    def __init__(self, machines: list[Machine]) -> None:
        self.machines = machines
        self.configuration = Configuration()
        self.outcomes: dict[str, JobOutcome] = {}
        self.count = 0

    def submit(self, added: Entities | None = None, **sections: object) -> NoteRefusal | None:
        """Commit a note, or return its refusal."""
        self.count += 1
        note = ReleaseNote(f"note-{self.count}", added=added or Entities(), **sections)
        planned = plan_note(note, self.configuration, self.machines)
        if planned.is_error():
            return planned.error
        self.configuration = apply_entry(self.configuration, planned.ok)
        return None

    def withdraw(self, *jobs: str) -> NoteRefusal | None:
        """Commit a note that cancels jobs."""
        return self.submit(withdrawn=Withdrawals(jobs=list(jobs)))

    def commit(self, decisions: Decisions, data_centre: str = "here") -> None:
        """Commit the decisions of a data centre's scheduler."""
        pulled = dict.fromkeys(decisions.pulled, data_centre)
        change = SchedulerChange(decisions.retired, decisions.moved, pulled, decisions.to_mark)
        self.count += 1
        entry = plan_change(f"change-{self.count}", change, self.configuration, self.machines)
        if entry is not None:
            self.outcomes |= entry.retired
            self.configuration = apply_entry(self.configuration, entry)
