"""How likely an idle client connection is to send another command soon.

Clients hold at most a part of the descriptors for requests and keep their connections. Some send their next
command in a moment, some never do; the latter fill the clients' part until nobody can open another
connection, long before the proxy's own limit is reached. Closing too eagerly costs a handshake for each
client that would have returned. So the probability of a return is estimated from what has been seen: the
product-limit estimate (Kaplan and Meier 1958) over spans of idle time. Of the idle periods that reached a
span, it counts the share that ended in it by a command. Idle periods cut short by a close count in the
spans that they outlived and in no other, so that closing a connection is not taken as evidence that nobody
returns.

All times are in milliseconds. Nothing is kept for single connections.
"""

from __future__ import annotations

from bisect import bisect_right

IDLE_SPAN_EDGES_MS = (100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0)  # where each span of idle time ends
IDLE_SPAN_COUNT = len(IDLE_SPAN_EDGES_MS)
COMMAND_COUNT_GROUPS = (1, 2, 4)  # the least commands of each group: one, two or three, more
LOOKAHEAD_SPANS = 3  # a client that returns later than within so many spans may as well reconnect
INITIAL_RETURN_RATE = 0.8  # the share that is assumed to return within the first span, without evidence
PRIOR_WEIGHT = 3.0  # how many idle periods such an assumption counts as
MAX_REMEMBERED_IDLE_PERIODS = 256.0  # of one span and group; beyond it both of its counts are halved


def command_count_group(command_count: int) -> int:
    """The group of a connection that has sent so many commands (at least one)."""
    return bisect_right(COMMAND_COUNT_GROUPS, max(command_count, 1)) - 1


def idle_span(idle_time: float) -> int:
    """The index of the span that an idle period has reached; IDLE_SPAN_COUNT beyond the last."""
    return bisect_right(IDLE_SPAN_EDGES_MS, idle_time)


class IdleReturnEstimator:
    """Counts how idle periods went on, and estimates from it how likely clients are to return."""

    def __init__(self) -> None:
        # By group and span: idle periods that ended in the span by a command, and those that outlived it.
        self._returned = [[0.0] * IDLE_SPAN_COUNT for _ in COMMAND_COUNT_GROUPS]
        self._outlived = [[0.0] * IDLE_SPAN_COUNT for _ in COMMAND_COUNT_GROUPS]

    def record_return(self, command_count: int, idle_time: float) -> None:
        """Count an idle period that ended with a command; the spans before are told by `record_outlived`."""
        span = idle_span(idle_time)
        if span < IDLE_SPAN_COUNT:
            self._add(self._returned, command_count_group(command_count), span)

    def record_outlived(self, command_count: int, first_span: int, end_span: int) -> None:
        """Count an idle period that has outlived the spans from the first up to, not including, the end."""
        group = command_count_group(command_count)
        for span in range(first_span, min(end_span, IDLE_SPAN_COUNT)):
            self._add(self._outlived, group, span)

    def _add(self, counts: list[list[float]], group: int, span: int) -> None:
        counts[group][span] += 1
        if self._returned[group][span] + self._outlived[group][span] > MAX_REMEMBERED_IDLE_PERIODS:
            self._returned[group][span] /= 2
            self._outlived[group][span] /= 2

    def return_probability(self, command_count: int, idle_time: float) -> float:
        """The probability that a connection, idle for so long, sends a command in this span or the next ones.

        Each span is assumed to be like the one before until there is evidence about it: where idle periods
        are long, few spans have any, and waiting for it would leave a flood of such connections in place
        for seconds. As the spans double in length, the assumption is a hazard rate that falls off as 1 /
        time.
        """
        group = command_count_group(command_count)
        current_span = idle_span(idle_time)
        if current_span >= IDLE_SPAN_COUNT:
            return 0.0
        stay_probability = 1.0
        return_rate = INITIAL_RETURN_RATE
        for span in range(min(current_span + LOOKAHEAD_SPANS, IDLE_SPAN_COUNT)):
            returned = self._returned[group][span]
            outlived = self._outlived[group][span]
            return_rate = (returned + PRIOR_WEIGHT * return_rate) / (returned + outlived + PRIOR_WEIGHT)
            if span >= current_span:
                stay_probability *= 1 - return_rate
        return 1 - stay_probability
