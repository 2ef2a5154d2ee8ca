"""Estimates how likely an idle client connection is to carry another command soon.

Clients may use only a part of the descriptors for requests, and they keep their connections open. Some send
their next command soon, and some never do. The latter fill the clients' share until no client can open
another connection, long before the proxy's own limit is reached. Closing connections too eagerly costs a
handshake for each client that would have sent another command. The probability of a return is therefore
estimated from observed idle periods, with the product-limit estimate (Kaplan and Meier 1958) over spans of
idle time. Of the idle periods that reached a span, it counts the fraction that ended in the span with a
command. An idle period that was cut short by a close counts in the spans that it survived and in no other, so
that closing a connection is not taken as evidence that clients do not return.

All times are in milliseconds. No state is kept for individual connections.
"""

from __future__ import annotations

from bisect import bisect_right

IDLE_SPAN_EDGES_MS = (100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0)  # the end of each span of idle time
IDLE_SPAN_COUNT = len(IDLE_SPAN_EDGES_MS)
COMMAND_COUNT_GROUPS = (1, 2, 4)  # minimum command count of each group: 1, 2 to 3, 4 or more
LOOKAHEAD_SPANS = 3  # a client that returns later than within this many spans may as well reconnect
INITIAL_RETURN_RATE = 0.8  # assumed fraction that returns within the first span, without observations
PRIOR_WEIGHT = 3.0  # number of idle periods that an assumed return rate counts as
MAX_REMEMBERED_IDLE_PERIODS = 256.0  # maximum per span and group; above it both counts are halved


def command_count_group(command_count: int) -> int:
    """Return the group of a connection that has sent this many commands (at least one)."""
    return bisect_right(COMMAND_COUNT_GROUPS, max(command_count, 1)) - 1


def idle_span(idle_time: float) -> int:
    """Return the index of the span that an idle period has reached; IDLE_SPAN_COUNT beyond the last one."""
    return bisect_right(IDLE_SPAN_EDGES_MS, idle_time)


class IdleReturnEstimator:
    """Counts how idle periods ended and estimates from it how likely clients are to return."""

    def __init__(self) -> None:
        # By group and span: idle periods that ended in the span with a command, and those that survived it.
        self._returned = [[0.0] * IDLE_SPAN_COUNT for _ in COMMAND_COUNT_GROUPS]
        self._survived = [[0.0] * IDLE_SPAN_COUNT for _ in COMMAND_COUNT_GROUPS]

    def record_return(self, command_count: int, idle_time: float) -> None:
        """Count an idle period that ended with a command; `record_survived` counts the spans before its last
        one."""
        span = idle_span(idle_time)
        if span < IDLE_SPAN_COUNT:
            self._add(self._returned, command_count_group(command_count), span)

    def record_survived(self, command_count: int, first_span: int, end_span: int) -> None:
        """Count an idle period that has survived the spans from `first_span` up to, not including,
        `end_span`."""
        group = command_count_group(command_count)
        for span in range(first_span, min(end_span, IDLE_SPAN_COUNT)):
            self._add(self._survived, group, span)

    def _add(self, counts: list[list[float]], group: int, span: int) -> None:
        counts[group][span] += 1
        if self._returned[group][span] + self._survived[group][span] > MAX_REMEMBERED_IDLE_PERIODS:
            self._returned[group][span] /= 2
            self._survived[group][span] /= 2

    def return_probability(self, command_count: int, idle_time: float) -> float:
        """Return the probability that a client that has been idle for `idle_time` sends a command soon.

        Soon means in the current span or in one of the LOOKAHEAD_SPANS - 1 spans that follow. Each span is
        assumed to have the return rate of the span before it until there are observations. Where idle periods
        are long, few spans have any, and waiting for them would leave a flood of such connections in place
        for seconds. As the spans double in length, this assumption is a hazard rate that falls off as 1 /
        time.
        """
        group = command_count_group(command_count)
        current_span = idle_span(idle_time)
        if current_span >= IDLE_SPAN_COUNT:
            return 0.0
        no_return_probability = 1.0
        return_rate = INITIAL_RETURN_RATE
        for span in range(min(current_span + LOOKAHEAD_SPANS, IDLE_SPAN_COUNT)):
            returned = self._returned[group][span]
            survived = self._survived[group][span]
            return_rate = (returned + PRIOR_WEIGHT * return_rate) / (returned + survived + PRIOR_WEIGHT)
            if span >= current_span:
                no_return_probability *= 1 - return_rate
        return 1 - no_return_probability
