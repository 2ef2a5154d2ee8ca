"""Corruption of the replies of cache nodes (LATER, "Bad cache nodes")."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

HUGE_LENGTH = b"*3\r\n$3000000000\r\n"
UNREADABLE_CORRUPTIONS = frozenset({"noise", "endless", "length", "huge"})  # without a readable value


@dataclass(frozen=True, slots=True)
class SentReply:
    """A reply as it is sent, corrupted or unchanged."""

    data: bytes
    corruption: str = ""  # one of scenario.CORRUPTIONS; empty if the reply is unchanged

    @property
    def is_unreadable(self) -> bool:
        """Whether a proxy cannot read a value from the reply."""
        return self.corruption in UNREADABLE_CORRUPTIONS


class ResponseCorruption:
    """Corrupts a share of the replies, each by a random one of `corruptions` (from scenario.CORRUPTIONS)."""

    def __init__(self, rng: np.random.Generator, corruptions: Sequence[str], share: float) -> None:
        self._rng = rng
        self._corruptions = list(corruptions)
        self._share = share

    def apply(self, reply: bytes) -> SentReply:
        """Return the reply to send, corrupted or unchanged."""
        if self._rng.random() >= self._share:
            return SentReply(reply)
        corruption = str(self._rng.choice(self._corruptions))
        noise = self._rng.bytes(64).replace(b"\n", b"x")
        return SentReply(_corrupt(reply, corruption, noise), corruption)


def _corrupt(reply: bytes, corruption: str, noise: bytes) -> bytes:
    variants = {
        "noise": noise + b"\r\n",
        "endless": b"+" + noise * 200,
        "length": reply.replace(b"$", b"$9", 1),
        "huge": HUGE_LENGTH + noise * 50,
        "copy": reply + reply,
        "trailing": reply + noise,
        "report": reply.replace(b"inflight=", b"infl\x00ght=\xff"),
        "interim": reply,  # unchanged: only the origin sends interim responses
    }
    return variants[corruption]
