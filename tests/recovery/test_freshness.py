"""What a stored record may be used for, by its age."""

from __future__ import annotations

import itertools
from unittest import TestCase

from lupinladder.balancing.events import (
    LimitRestored,
)
from lupinladder.recovery import warm_start
from lupinladder.recovery.freshness import RecordType, Source, Usability, supersedes, usable_as

NOW = 1e12


S, MIN, HOUR = 1e3, 6e4, 3.6e6


AGES = (S, 10 * S, 10 * MIN, 10 * HOUR)


TABLE = {  # docs/recovery.md states the same
    RecordType.MEMBER: (Usability.ALL, Usability.PART, Usability.PART, Usability.TRIAL),
    RecordType.LIMIT: (Usability.ALL, Usability.ALL, Usability.PART, Usability.TRIAL),
    RecordType.HEALTH: (Usability.ALL, Usability.TRIAL, Usability.TRIAL, Usability.NOTHING),
    RecordType.SLOT: (Usability.ALL, Usability.PART, Usability.NOTHING, Usability.NOTHING),
    RecordType.ORIGIN: (Usability.ALL, Usability.ALL, Usability.PART, Usability.TRIAL),
}


def uses(begun: warm_start.WarmStart) -> dict[str, str]:
    return {e.server.decode(): e.mode.value for e in begun.events if isinstance(e, LimitRestored)}


class Trust(TestCase):
    def test_the_stated_table(self) -> None:
        for thing, uses in TABLE.items():
            found = tuple(usable_as(thing, Source.STORE, NOW - age, NOW) for age in AGES)
            self.assertEqual(found, uses, thing)

    def test_it_never_grows_with_age_and_a_peer_is_good_for_a_trial_at_most(self) -> None:
        ages = [0, 1, *(10**n for n in range(1, 12))]
        for thing, source in itertools.product(RecordType, Source):
            uses = [usable_as(thing, source, NOW - age, NOW) for age in ages]
            self.assertEqual(uses, sorted(uses, reverse=True))
            self.assertEqual(uses[-1], Usability.NOTHING)
            if source is Source.PEER:
                self.assertLessEqual(max(uses), Usability.TRIAL)

    def test_a_word_of_another_process_is_void_and_one_from_the_future_has_no_age(self) -> None:
        for thing in (RecordType.LIMIT, RecordType.HEALTH):
            self.assertEqual(usable_as(thing, Source.STORE, NOW - S, NOW, NOW - S + 1), Usability.NOTHING)
            self.assertEqual(usable_as(thing, Source.STORE, NOW - S, NOW, NOW - S), Usability.ALL)
        for thing in RecordType:  # a clock that jumped back while the proxy was down
            self.assertEqual(usable_as(thing, Source.STORE, NOW + HOUR, NOW), Usability.TRIAL)

    def test_an_older_index_never_overrules_a_newer_one_unless_discovery_began_anew(self) -> None:
        for index, generation, ours, theirs in [(5, 0, True, False), (4, 1, True, True), (6, 0, True, True)]:
            self.assertEqual(
                supersedes(index, generation, 5, 0), ours if index >= 5 or generation else theirs
            )
        self.assertFalse(supersedes(4, 0, 5, 0))
