"""What a record may be used for, by its source, its age, and the time since when its server runs.

One pure function, `usable_as`, over one table, `AGE_LIMITS`. The limits are not estimates of what is likely:
each follows from how long the recorded thing stays as it was, which the settings name or which was measured
(docs/recovery.md has the table in words and the reason for each).

All times are Unix time in milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from math import inf
from typing import NamedTuple

SECOND_MS = 1_000.0
MINUTE_MS = 60_000.0
HOUR_MS = 3_600_000.0
DAY_MS = 24 * HOUR_MS
MAX_CLOCK_SKEW_MS = 1_000.0  # by which a clock may run ahead of the one that wrote a record


class Usability(IntEnum):
    """What a record may be used for; a higher value includes the lower ones."""

    NONE = 0
    PROBE = 1  # one send at a time, until it is answered well
    PARTIAL = 2  # a half of what it states, growing by what is observed
    FULL = 3

    @property
    def label(self) -> str:
        """The term in reports and in docs/recovery.md."""
        return USABILITY_LABELS[self]


USABILITY_LABELS = {
    Usability.NONE: "nothing",
    Usability.PROBE: "trial",
    Usability.PARTIAL: "part",
    Usability.FULL: "all",
}


class Source(IntEnum):
    """Where a record comes from. Of two of equal age the one with the higher value takes precedence."""

    STORE = 0  # this proxy, before it stopped
    PEER = 1  # another proxy, which may differ in its measurements or be misinformed
    CONFIG = 2  # the platform's file: the list as this proxy last had it
    DISCOVERY = 3


class RecordType(IntEnum):
    """What a record is about."""

    MEMBER = 0  # that a server is listed, and where it is
    LIMIT = 1  # what a server could handle
    HEALTH = 2  # that a server failed
    SLOT = 3  # that a slot had a high load
    ORIGIN = 4  # what the origin could handle


class AgeLimits(NamedTuple):
    """Up to which age (ms) a record may be used in full, in part, as a probe; an older one is not used."""

    full: float
    partial: float
    probe: float


# A record is good in full while the recorded thing cannot have changed without a message to this proxy, in
# part while it has probably changed a little, as a probe while a probe costs less than to know nothing.
AGE_LIMITS: dict[RecordType, AgeLimits] = {
    # Discovery's updates count as delivered 6 s later. Servers come and go within minutes in a deploy, and a
    # list of some hours names enough that live to be worth one connection each; after a week it names none.
    RecordType.MEMBER: AgeLimits(full=6 * SECOND_MS, partial=10 * MINUTE_MS, probe=7 * DAY_MS),
    # Limits are set anew by each window of some ten seconds, and the load of a time of day holds for minutes.
    # What a server could handle yesterday shows only that a probe does no harm.
    RecordType.LIMIT: AgeLimits(full=30 * SECOND_MS, partial=15 * MINUTE_MS, probe=DAY_MS),
    # An ejection lasts at most sixteen latency objectives; a record of it is of no more use by then.
    RecordType.HEALTH: AgeLimits(full=5 * SECOND_MS, partial=5 * SECOND_MS, probe=10 * MINUTE_MS),
    # Keys have a high load for five to twenty seconds.
    RecordType.SLOT: AgeLimits(full=5 * SECOND_MS, partial=20 * SECOND_MS, probe=20 * SECOND_MS),
    # The origin is one server that stays for months; what it can handle changes with what it is asked for.
    RecordType.ORIGIN: AgeLimits(full=30 * SECOND_MS, partial=15 * MINUTE_MS, probe=DAY_MS),
}
SOURCE_LIMITS: dict[Source, Usability] = {  # the most that a record of this source may be used for
    Source.STORE: Usability.FULL,
    Source.PEER: Usability.PROBE,
    Source.CONFIG: Usability.FULL,
    Source.DISCOVERY: Usability.FULL,
}


def usable_as(
    record_type: RecordType,
    source: Source,
    recorded_at: float,
    now: float,
    server_started_at: float = 0.0,
) -> Usability:
    """Return what a record may be used for at `now`.

    `server_started_at` is when the record's server last started, 0 for long ago. A limit or a failure from
    before that start is of another process, and is not used. A record from the future was written by a clock
    that has jumped: its age is unknown, so it is good for a probe at most, whatever its source.
    """
    if record_type in (RecordType.LIMIT, RecordType.HEALTH) and recorded_at < server_started_at:
        return Usability.NONE
    age = now - recorded_at
    if age < -MAX_CLOCK_SKEW_MS:
        return min(Usability.PROBE, SOURCE_LIMITS[source])
    return min(_usable_at_age(AGE_LIMITS[record_type], age), SOURCE_LIMITS[source])


def supersedes(index: int, generation: int, known_index: int, known_generation: int) -> bool:
    """Whether one list takes precedence over another that is known.

    An older index never overrides a newer one of the same generation. A generation begins when discovery
    itself began anew, with a whole list.
    """
    return (generation, index) >= (known_generation, known_index)


def format_age(age_ms: float) -> str:
    """Return an age as people read it."""
    if age_ms < 0:
        return "in the future"
    for unit_ms, unit in ((DAY_MS, "d"), (HOUR_MS, "h"), (MINUTE_MS, "min"), (SECOND_MS, "s")):
        if age_ms >= unit_ms:
            return f"{age_ms / unit_ms:.1f} {unit}"
    return f"{age_ms:.0f} ms" if age_ms < inf else "ever"


def _usable_at_age(limits: AgeLimits, age: float) -> Usability:
    if age <= limits.full:
        return Usability.FULL
    if age <= limits.partial:
        return Usability.PARTIAL
    if age <= limits.probe:
        return Usability.PROBE
    return Usability.NONE
