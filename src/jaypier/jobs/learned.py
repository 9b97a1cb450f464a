"""The row ``learned/learned``: what a leader has learned of the load and of the workers.

It improves decisions and is needed for none, so the leader writes it rarely, beside other rows, and
the next leader drops what it cannot use.
"""

import math
from typing import Any

import structlog

from jaypier.core.codec import encoded_size
from jaypier.platform import Put
from jaypier.platform.decoding import describe_error
from jaypier.scheduling.learned_section import LearnedSection

LEARNED_KEY = "learned/learned"

RECORD_VERSION = 1
"""Version of the row's format; rows of another version are dropped."""

MIN_INTERVAL_SECONDS = 5.0
"""Shortest time between two writes of the row."""

MAX_AGE_SECONDS = 3600.0
"""Age of a row from which it is dropped: the load and the workers may have changed."""

MAX_CLOCK_ERROR_SECONDS = 30.0
"""Time by which a row may appear to be written in the future, as the clocks of VMs differ."""

log = structlog.get_logger()


class LearnedState:
    """Reads and writes the row.

    :param sections: parts of the row by name. More may be added before ``restore`` is called.
    :ivar recorded: sections in the last row that was read, or is being written.
    :ivar recorded_at: time on the local clock, in seconds, at which that row was written.
    """

    def __init__(self, sections: dict[str, LearnedSection]) -> None:
        self.sections = sections
        self.recorded: dict[str, dict[str, Any]] = {}
        self.recorded_at = -math.inf

    def restore(self, value: Any, now: float, wall_time: float) -> None:
        """Start from the value of the row; log and leave out what cannot be used.

        :param value: ``None`` when there is no row.
        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        if value is None:
            return
        try:
            age = wall_time - float(value["written_at"])
            records = dict(value["sections"])
            is_current = value["version"] == RECORD_VERSION
        except Exception as error:
            # A row of another writer may fail in ways that are not foreseen here.
            reason = f"cannot be decoded: {describe_error(error)}"
            log.warning("learned state dropped", reason=reason)
            return
        if not is_current:
            reason = f"not of version {RECORD_VERSION}, which this build reads"
            log.warning("learned state dropped", reason=reason)
            return
        if not -MAX_CLOCK_ERROR_SECONDS <= age <= MAX_AGE_SECONDS:
            log.warning("learned state dropped", reason="too old, or from the future", age=age)
            return
        self.recorded_at = now - max(0.0, age)
        for name, section in self.sections.items():
            if name in records:
                self.restore_section(name, section, records[name])
        log.info("learned state restored", age=age, sections=sorted(self.recorded))

    def restore_section(self, name: str, section: LearnedSection, record: Any) -> None:
        """Start from the record of one section."""
        try:
            section.restore(record)
        except Exception as error:
            log.warning("learned state dropped", section=name, reason=describe_error(error))
        else:
            self.recorded[name] = record

    def has_changed(self, name: str) -> bool:
        """Return whether a section differs from its record, or its record cannot be compared."""
        try:
            return self.sections[name].differs(self.recorded.get(name, {}))
        except Exception as error:
            log.warning("learned state dropped", section=name, reason=describe_error(error))
            self.recorded.pop(name, None)
            return True

    def due_puts(self, now: float, wall_time: float, max_bytes: int) -> list[Put]:
        """Return the row if what is known has changed noticeably and it is due.

        It is also due when it would soon be too old to be used. A section for which there is no
        room is left out.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        :param max_bytes: longest value of a row.
        """
        age = now - self.recorded_at
        if age < MIN_INTERVAL_SECONDS:
            return []
        has_changed = any(self.has_changed(name) for name in self.sections)
        if not has_changed and not (self.recorded and age > MAX_AGE_SECONDS / 2):
            return []
        self.recorded_at = now
        self.recorded = {name: section.to_record() for name, section in self.sections.items()}
        value = make_value(self.recorded, wall_time)
        if encoded_size(value) > max_bytes:
            value = make_value(without_largest(self.recorded, max_bytes), wall_time)
        entries = {name: len(record) for name, record in value["sections"].items()}
        log.info("learned state recorded", bytes=encoded_size(value), entries=entries)
        return [Put(LEARNED_KEY, value)]


def make_value(sections: dict[str, Any], wall_time: float) -> dict[str, Any]:
    """Return the value of the row.

    :param wall_time: Unix time in seconds.
    """
    return {"version": RECORD_VERSION, "written_at": round(wall_time), "sections": sections}


def without_largest(sections: dict[str, Any], max_bytes: int) -> dict[str, Any]:
    """Return sections without the largest ones, so that the row has at most ``max_bytes``."""
    kept = dict(sections)
    while kept and encoded_size(make_value(kept, 0.0)) + len("0000000000") > max_bytes:
        largest = max(kept, key=lambda name: encoded_size(kept[name]))
        del kept[largest]
        log.warning("learned state left out: row too long", section=largest)
    return kept
