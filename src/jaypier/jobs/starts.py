"""What the response to a start request proves about the run.

A request without a response may be carried out seconds later, also after newer ones. So a refusal
shows that its own request has started nothing, but not that an earlier one never did or will.
"""

from enum import StrEnum

import attrs

from jaypier.jobs.model import StartResponse

INITIAL_START_RETRY_SECONDS = 0.02
"""Shortest time from the first try of a start to the second; it doubles with each further try up to
``MAX_START_RETRY_SECONDS``."""

MAX_START_RETRY_SECONDS = 0.4
"""Longest time between two tries of a start, unless a response is awaited for longer."""


START_REPORT_MAX_AGE_SECONDS = 1.5
"""Age of a worker's last report up to which a start request is sent: a long poll and a margin. A
process that has ended is mostly noticed before, and no request is left without a response."""


class StartVerdict(StrEnum):
    """What is known about a run after a response to its start request.

    ``RUNNING``: it has started. ``NOT_STARTED``: it has not, and never will. ``UNCLEAR``: it may
    have started, or may start later; it holds its capacity until its stop has been confirmed.
    ``DEPOSED``: the worker carries out no further request of this leader, and the next leader finds
    out.
    """

    RUNNING = "running"
    NOT_STARTED = "not_started"
    UNCLEAR = "unclear"
    DEPOSED = "deposed"


@attrs.frozen
class ResponseMeaning:
    """What a response proves.

    :param alone: verdict if every earlier try of the run was answered, or there was none.
    :param after_silence: verdict if an earlier try had no response.
    """

    alone: StartVerdict
    after_silence: StartVerdict


MEANINGS = {
    StartResponse.STARTED: ResponseMeaning(StartVerdict.RUNNING, StartVerdict.RUNNING),
    StartResponse.DEPOSED: ResponseMeaning(StartVerdict.DEPOSED, StartVerdict.DEPOSED),
    # No later request starts the run, but the earlier one may have: it may even have succeeded.
    StartResponse.OUTDATED: ResponseMeaning(StartVerdict.NOT_STARTED, StartVerdict.UNCLEAR),
    StartResponse.EXPIRED: ResponseMeaning(StartVerdict.NOT_STARTED, StartVerdict.UNCLEAR),
    # The worker may have room, or be healthy, when the earlier request is carried out.
    StartResponse.NO_ROOM: ResponseMeaning(StartVerdict.NOT_STARTED, StartVerdict.UNCLEAR),
    StartResponse.UNHEALTHY: ResponseMeaning(StartVerdict.NOT_STARTED, StartVerdict.UNCLEAR),
    # Another worker may have responded, while the intended one still has the earlier request.
    StartResponse.REFUSED: ResponseMeaning(StartVerdict.NOT_STARTED, StartVerdict.UNCLEAR),
}


def judge_start(response: StartResponse, has_unanswered_try: bool) -> StartVerdict:
    """Return what a response to a start request proves about the run.

    :param has_unanswered_try: whether an earlier start request for the run had no response.
    """
    meaning = MEANINGS[response]
    return meaning.after_silence if has_unanswered_try else meaning.alone


def seconds_until_next_try(tries: int) -> float:
    """Return the least time from a try to the next one, so that a fast refusal is not a busy loop.

    :param tries: number of tries so far.
    """
    return min(MAX_START_RETRY_SECONDS, INITIAL_START_RETRY_SECONDS * 2 ** (tries - 1))
