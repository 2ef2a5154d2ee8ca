"""Decides what a record may be used for, by its source, its age and the start time of its server.

The decision is made by the pure function `usable_as` with the table `AGE_LIMITS`. The age limits are not
estimates: each follows from how long the recorded state stays valid, which is given by the settings or was
measured (docs/recovery.md explains the table and the reason for each limit).

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
MAX_CLOCK_SKEW_MS = 1_000.0  # records up to this far in the future count as new


class Usability(IntEnum):
    """What a record may be used for; a higher value includes the lower ones."""

    NONE = 0
    PROBE = 1  # one attempt at a time until one succeeds
    PARTIAL = 2  # half of the recorded value, adjusted by later measurements
    FULL = 3

    @property
    def label(self) -> str:
        """The term used in reports and in docs/recovery.md."""
        return USABILITY_LABELS[self]


USABILITY_LABELS = {
    Usability.NONE: "nothing",
    Usability.PROBE: "trial",
    Usability.PARTIAL: "part",
    Usability.FULL: "all",
}


class Source(IntEnum):
    """The source of a record. Of two records of equal age, that with the higher source takes precedence."""

    STORE = 0  # this proxy's own store
    PEER = 1  # another proxy, whose measurements may differ or be wrong
    CONFIG = 2  # the platform's configuration file, which contains this proxy's last known list
    DISCOVERY = 3


class RecordType(IntEnum):
    """What a record is about. These values are not stored, unlike the type numbers of `store.records`."""

    ENDPOINT_LIST = 0  # listed servers and their addresses
    LIMIT = 1  # load that a server could handle
    HEALTH = 2  # failure rate of a server
    SLOT_LOAD = 3  # load of the busiest slots
    ORIGIN = 4  # load that the origin could handle


class AgeLimits(NamedTuple):
    """The maximum age in ms for each use of a record. A record older than `probe` is not used."""

    full: float
    partial: float
    probe: float


# A record is used in full while its content cannot have changed without a message to this proxy, in part
# while it has probably changed only a little, and for a probe while a probe costs less than having no
# information.
AGE_LIMITS: dict[RecordType, AgeLimits] = {
    # Discovery's updates count as delivered after 6 s. During a deploy, servers are added and removed within
    # minutes. A list that is some hours old still names enough running servers to be worth one connection to
    # each; after a week it names none.
    RecordType.ENDPOINT_LIST: AgeLimits(full=6 * SECOND_MS, partial=10 * MINUTE_MS, probe=7 * DAY_MS),
    # Limits are updated by each sample window of about ten seconds, and the load at a time of day stays
    # similar for minutes. The load that a server could handle yesterday shows only that a probe does no harm.
    RecordType.LIMIT: AgeLimits(full=30 * SECOND_MS, partial=15 * MINUTE_MS, probe=DAY_MS),
    # An ejection lasts at most 16 latency objectives; a record of it is useless after that.
    RecordType.HEALTH: AgeLimits(full=5 * SECOND_MS, partial=5 * SECOND_MS, probe=10 * MINUTE_MS),
    # A key has a high load for 5 to 20 seconds.
    RecordType.SLOT_LOAD: AgeLimits(full=5 * SECOND_MS, partial=20 * SECOND_MS, probe=20 * SECOND_MS),
    # The origin is one server that runs for months; the load that it can handle depends on the requests.
    RecordType.ORIGIN: AgeLimits(full=30 * SECOND_MS, partial=15 * MINUTE_MS, probe=DAY_MS),
}
MAX_USABILITY_BY_SOURCE: dict[Source, Usability] = {  # highest usability of records of each source
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

    `server_started_at` is the last start of the record's server, 0 if it was long ago. A limit or a failure
    that was recorded before that start belongs to an earlier process and is not used. If a record is from the
    future, a clock has jumped: the record's age is unknown, so it may be used for a probe at most, whatever
    its source.
    """
    if record_type in (RecordType.LIMIT, RecordType.HEALTH) and recorded_at < server_started_at:
        return Usability.NONE
    age = now - recorded_at
    if age < -MAX_CLOCK_SKEW_MS:
        return min(Usability.PROBE, MAX_USABILITY_BY_SOURCE[source])
    return min(_usable_at_age(AGE_LIMITS[record_type], age), MAX_USABILITY_BY_SOURCE[source])


def supersedes(index: int, generation: int, known_index: int, known_generation: int) -> bool:
    """Whether a list takes precedence over a known one.

    An older index never overrides a newer one of the same generation. A new generation starts when discovery
    restarts with a full list.
    """
    return (generation, index) >= (known_generation, known_index)


def format_age(age_ms: float) -> str:
    """Format an age for display."""
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
