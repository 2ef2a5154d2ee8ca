"""One command or fetch on its way through a server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinladder.emulator.processor_sharing_queue import Job


class NodeRequest:
    """One command at a node, from its last byte to its answer. `answer` is called once, with the bytes and
    the word for them: hit, miss, pending, busy or failed; not at all once it was dropped."""

    __slots__ = ("answer", "ident", "job", "key", "labels", "proxy", "tag", "work", "write")

    def __init__(
        self,
        proxy: int,
        key: bytes,
        ident: bytes,
        labels: dict[bytes, bytes],
        write: bool,
        work: float,
        answer: Callable[[bytes, str], None],
        tag: Any = None,
    ) -> None:
        self.proxy, self.key, self.ident, self.labels = proxy, key, ident, labels
        self.write, self.work, self.answer, self.tag = write, work, answer, tag
        self.job: Job | None = None
