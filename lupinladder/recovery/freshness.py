"""What a stored or heard word may be used for, by who says it, how old it is, and since when its server runs.

One pure function, `trust`, over one table, `SPANS`. The spans are no guesses at what is likely: each follows
from how long the thing it speaks of stays as it was, and is named in the settings or measured (see
docs/recovery.md for the table in words and the reason of each).

All times are Unix time in milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from math import inf
from typing import NamedTuple


class Usability(IntEnum):
    """What a word may be used for; a higher one includes the lower."""

    NOTHING = 0
    TRIAL = 1  # one send at a time, until it has answered well
    PART = 2  # a half of what it says, growing by what is observed
    ALL = 3


class Source(IntEnum):
    """Who says it. Between words of equal age the higher prevails."""

    STORE = 0  # this proxy, before it stopped
    PEER = 1  # another proxy; it may be of another opinion, and it may have been told wrong
    CONFIG = 2  # the platform's file: the list as this proxy last had it
    DISCOVERY = 3


class RecordType(IntEnum):
    """What a word is about."""

    MEMBER = 0  # that a server is of the fleet and where it is
    LIMIT = 1  # what a server could do
    HEALTH = 2  # that a server failed
    SLOT = 3  # that a slot was hot
    ORIGIN = 4  # what the origin could take


class AgeLimits(NamedTuple):
    """Up to which age (ms) a word may be used for all, for a part, for a trial; older ones for nothing."""

    all: float
    part: float
    trial: float


S, MIN, HOUR = 1_000.0, 60_000.0, 3_600_000.0

# A word of a thing is good for all while the thing cannot have changed without our being told of it, for a
# part while it has probably changed a little, for a trial while a trial costs less than not to know.
AGE_LIMITS: dict[RecordType, AgeLimits] = {
    # What discovery has to tell counts as told 6 s later. Machines come and go within minutes in a deploy,
    # and a list of some hours names enough that live to be worth one connection each; after a week none.
    RecordType.MEMBER: AgeLimits(6 * S, 10 * MIN, 7 * 24 * HOUR),
    # Limits are set anew by each window, some ten seconds; a load of the time of day holds for minutes. What
    # a machine could do yesterday tells only that it is no slower than a trial.
    RecordType.LIMIT: AgeLimits(30 * S, 15 * MIN, 24 * HOUR),
    # A cut lasts sixteen aims at most; a word of it is used up by then.
    RecordType.HEALTH: AgeLimits(5 * S, 5 * S, 10 * MIN),
    # Keys run hot for five to twenty seconds.
    RecordType.SLOT: AgeLimits(5 * S, 20 * S, 20 * S),
    # The origin is one machine that is there for months; what it can take changes with what it is asked.
    RecordType.ORIGIN: AgeLimits(30 * S, 15 * MIN, 24 * HOUR),
}
SOURCE_LIMITS: dict[Source, Usability] = {  # the most that a word of this source is good for
    Source.STORE: Usability.ALL,
    Source.PEER: Usability.TRIAL,
    Source.CONFIG: Usability.ALL,
    Source.DISCOVERY: Usability.ALL,
}
MAX_CLOCK_SKEW_MS = 1_000.0  # ms by which a clock may run ahead of the one that wrote a word


def usable_as(thing: RecordType, source: Source, said: float, now: float, since: float = 0.0) -> Usability:
    """What a word said at `said` may be used for at `now`. `since` is when its server last started, 0 for
    long ago. A word about what a server could do or how it failed that was said before its start is about
    another process: nothing. One said in the future was said by a clock that has jumped: its age is unknown,
    so it is good for a trial at most, whatever its source."""
    if thing in (RecordType.LIMIT, RecordType.HEALTH) and said < since:
        return Usability.NOTHING
    age = now - said
    if age < -MAX_CLOCK_SKEW_MS:
        return min(Usability.TRIAL, SOURCE_LIMITS[source])
    for use, span in zip((Usability.ALL, Usability.PART, Usability.TRIAL), AGE_LIMITS[thing], strict=True):
        if age <= span:
            return min(use, SOURCE_LIMITS[source])
    return Usability.NOTHING


def supersedes(index: int, generation: int, known_index: int, known_generation: int) -> bool:
    """Whether one list goes before another that is known: an older index never overrules a newer one of the
    same generation. A generation begins when discovery itself began anew, with a whole list."""
    return (generation, index) >= (known_generation, known_index)


def format_age(age: float) -> str:
    """An age as people read it."""
    if age < 0:
        return "in the future"
    for span, name in ((24 * HOUR, "d"), (HOUR, "h"), (MIN, "min"), (S, "s")):
        if age >= span:
            return f"{age / span:.1f} {name}"
    return f"{age:.0f} ms" if age < inf else "ever"
