"""Corrupts the stores of killed proxies: lost, damaged, swapped or old."""

from __future__ import annotations

from pathlib import Path

import msgspec
import numpy as np

from lupinladder.store import record_log, records

AGE_OF_OLD_STORE_MS = 3_600_000.0


def with_older_records(data: bytes, age_ms: float) -> bytes:
    """Return the store with each record dated `age_ms` earlier."""
    state = records.fold(record_log.scan(data))
    if state is None:
        return data
    parts = [record_log.file_header(1, msgspec.to_builtins(state.owner))]
    for number, record in enumerate(state.all_records(), 2):
        older = msgspec.structs.replace(record, at=record.at - age_ms)  # type: ignore[attr-defined]
        parts.append(records.encode(number, older))
    return b"".join([*parts, record_log.flush_end(len(parts) + 1)])


def corrupt_stores(paths: list[Path], how: str, rng: np.random.Generator) -> None:
    """Corrupt those of the stores that exist. `how` is one of scenario.STORES."""
    existing = [path for path in paths if path.exists()]
    for path in existing:
        _corrupt(path, how, rng)
    if how == "swapped" and len(existing) > 1:
        contents = [path.read_bytes() for path in existing]
        rotated = [*contents[1:], contents[0]]
        for path, content in zip(existing, rotated, strict=True):
            path.write_bytes(content)


def _corrupt(path: Path, how: str, rng: np.random.Generator) -> None:
    data = bytearray(path.read_bytes())
    if how == "lost":
        path.unlink()
    elif how == "torn":
        path.write_bytes(data[: int(rng.integers(len(data)))])
    elif how == "flipped":
        byte = int(rng.integers(len(data)))
        data[byte] ^= 1 << int(rng.integers(8))
        path.write_bytes(data)
    elif how == "old":
        path.write_bytes(with_older_records(bytes(data), AGE_OF_OLD_STORE_MS))
