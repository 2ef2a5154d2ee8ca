"""Which resting client connections are worth their descriptor.

Clients hold at most a part of the descriptors for requests and keep their connections. Some ask again in a
moment, some never do; those that never do fill the clients' part until nobody can open the next, long before
our own bound is reached. Closing too eagerly costs a handshake for each that would have asked. So this is
estimated from what is seen: how likely a connection that has rested so long, after so many commands,
asks again soon. The
product-limit estimate (Kaplan and Meier 1958) over spans of rest: of the rests that reached a span, the
share that ended in it by a command. Rests cut short by a close count in the spans that they outlived and in
no other, so that what is closed does not teach that nobody returns.
All times in milliseconds; nothing is kept per connection.
"""

from __future__ import annotations

from bisect import bisect_right

IDLE_SPAN_EDGES = (100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0)  # ends of the spans of rest
IDLE_SPAN_COUNT = len(IDLE_SPAN_EDGES)
GROUPS = (1, 2, 4)  # commands asked so far, at least: once, two or three times, more
SOON = 3  # spans looked ahead: a connection that returns later than that may as well come anew
FIRST = 0.8  # the share taken to return within the first span, without evidence
WEIGHT = 3.0  # rests that such an assumption counts as
MEMORY = 256.0  # rests that a span remembers; then all it knows is halved


def use_group(asked: int) -> int:
    """The group of a connection that has asked so many commands (at least one)."""
    return bisect_right(GROUPS, max(asked, 1)) - 1


def idle_span(rested: float) -> int:
    """The span in which a rest is now; SPANS once it has outlived the last."""
    return bisect_right(IDLE_SPAN_EDGES, rested)


class IdleReturnEstimator:
    """How likely resting connections are to ask again."""

    def __init__(self) -> None:
        self._came = [[0.0] * IDLE_SPAN_COUNT for _ in GROUPS]
        self._stayed = [[0.0] * IDLE_SPAN_COUNT for _ in GROUPS]

    def _add(self, counts: list[list[float]], kind: int, place: int) -> None:
        counts[kind][place] += 1
        if self._came[kind][place] + self._stayed[kind][place] > MEMORY:
            self._came[kind][place] /= 2
            self._stayed[kind][place] /= 2

    def returned(self, asked: int, rested: float) -> None:
        """A rest ended with the next command. The spans it outlived were told by `outlived`."""
        place = idle_span(rested)
        if place < IDLE_SPAN_COUNT:
            self._add(self._came, use_group(asked), place)

    def outlived(self, asked: int, first: int, last: int) -> None:
        """A rest has outlived the spans from `first` up to, not including, `last`."""
        for place in range(first, min(last, IDLE_SPAN_COUNT)):
            self._add(self._stayed, use_group(asked), place)

    def chance(self, asked: int, rested: float) -> float:
        """That a connection which has rested so long asks again within this span and the next ones.

        Each span is taken to be like the one before until it has shown otherwise: where rests are long, few
        spans have evidence, and to wait for it would leave a flood of them in place for seconds. As spans
        double in length, that is a hazard which falls off as 1 / time."""
        kind, place = use_group(asked), idle_span(rested)
        if place >= IDLE_SPAN_COUNT:
            return 0.0
        stays, share = 1.0, FIRST
        for n in range(min(place + SOON, IDLE_SPAN_COUNT)):
            came, stayed = self._came[kind][n], self._stayed[kind][n]
            share = (came + WEIGHT * share) / (came + stayed + WEIGHT)
            if n >= place:
                stays *= 1 - share
        return 1 - stays
