"""Spoils answers of cache nodes."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

HUGE = b"*3\r\n$3000000000\r\n"


class ResponseCorruption:
    """Spoils some of the answers: LATER, "Bad cache nodes"."""

    def __init__(self, rng: np.random.Generator, kinds: Sequence[str], share: float) -> None:
        self._rng, self._kinds, self._share = rng, kinds, share

    def spoil(self, answer: bytes) -> tuple[bytes, str]:
        """The answer as it is sent, and how it was spoilt ("" if not)."""
        if self._rng.random() >= self._share:
            return answer, ""
        how = str(self._rng.choice(list(self._kinds)))
        noise = self._rng.bytes(64).replace(b"\n", b"x")
        return {
            "noise": noise + b"\r\n",
            "endless": b"+" + noise * 200,
            "length": answer.replace(b"$", b"$9", 1),
            "huge": HUGE + noise * 50,
            "copy": answer + answer,
            "trailing": answer + noise,
            "report": answer.replace(b"inflight=", b"infl\x00ght=\xff"),
            "interim": answer,
        }[how], how
