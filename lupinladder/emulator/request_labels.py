"""The labels of a command."""

from __future__ import annotations


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """`c=read,d=480` as names and values; ValueError if it is anything else."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise ValueError("labels are not names and values")
    return {name: value for name, value in pairs}
