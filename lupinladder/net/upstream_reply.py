"""What an attempt came to, and the load report in it."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from lupinladder.balancing.events import CacheResult, Outcome

# Of a value in an answer. Days of service bring good ones of 400 KB and spoilt ones declared as 3 GB.
MAX_REPLY_VALUE_BYTES = 1 << 20
REPORT_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?(e-?[0-9]{1,2})?")
CACHE_RESULTS = {
    b"hit": CacheResult.HIT,
    b"miss": CacheResult.MISS,
    b"pending": CacheResult.MISS_PENDING,
}
# Load reports use the site's names, the settings those of the simulator's wire.
REPORT_FIELD_ALIASES = {
    "fail_rate": "eps",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
}


@dataclass(slots=True)
class UpstreamReply:
    """What an attempt came to, in the module's terms."""

    outcome: Outcome
    value: bytes | None = None
    cache_result: CacheResult = CacheResult.NONE
    load: tuple[float, ...] = ()


def parse_load_report(text: bytes | None, fields: Sequence[str]) -> tuple[float, ...]:
    """A load report in the order of the settings' fields; empty if any is missing or no figure: the answer
    that brings it is good all the same. float() alone would take nan, inf and figures below 0."""
    found: dict[str, float] = {}
    for pair in (text or b"").decode("latin-1").split(","):
        name, _, value = pair.strip().partition("=")
        if REPORT_NUMBER.fullmatch(value):
            found[name] = float(value)
    values = [found.get(field, found.get(REPORT_FIELD_ALIASES.get(field, field))) for field in fields]
    return tuple(v for v in values if v is not None) if None not in values else ()
