"""The record of one attempt. No decision is made here."""

from __future__ import annotations

from lupinladder.balancing.events import Outcome
from lupinladder.balancing.server import Server


class Attempt:
    def __init__(self, server: Server, sent: float) -> None:
        self.server, self.sent, self.fetch = server, sent, False
        self.outcome: Outcome | None = None
