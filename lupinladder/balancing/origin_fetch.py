"""One key's fetch from the origin and its waiting requests. No decision is made here: see balancer.py."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinladder.balancing.request_record import Attempt
from lupinladder.balancing.request_state import RequestState


@dataclass(slots=True, eq=False)
class OriginFetch:
    """An attempt at the origin, and the requests for the same key that wait for its end."""

    attempt: Attempt
    waiting: list[RequestState] = field(default_factory=list)
