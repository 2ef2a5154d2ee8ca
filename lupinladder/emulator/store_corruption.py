"""Stores that are older than they say."""

from __future__ import annotations

import msgspec

from lupinladder.store import record_log, records


def aged(data: bytes, by: float) -> bytes:
    """A store whose every word was said so much earlier (ms)."""
    found = records.fold(record_log.scan(data))
    if found is None:
        return data
    parts = [record_log.begin(1, msgspec.to_builtins(found.owner))]
    for number, one in enumerate(found.all(), 2):
        parts.append(records.encode(number, msgspec.structs.replace(one, at=one.at - by)))  # type: ignore[attr-defined]
    return b"".join([*parts, record_log.end(len(parts) + 1)])
