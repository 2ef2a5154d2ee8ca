"""Tracks idle clients in the order in which they became idle, and evicts the least valuable ones."""

from __future__ import annotations

from itertools import islice

from lupinladder.connection_limits.eviction import IdleClient, select_for_eviction
from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator
from lupinladder.net.client_connection import IDLE_TIMEOUT_MS, ClientConnection
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.metrics import metrics

EVICTION_CANDIDATES = 4  # of each kind; several, since one may have just sent a command
SILENT_EVICTION_AGE_MS = IDLE_TIMEOUT_MS / 8  # idle time from which a silent client is evicted first


class IdleClientTracker:
    """Two ordered sets of idle clients, the longest idle first, which the client connections keep up to
    date."""

    def __init__(self, return_estimator: IdleReturnEstimator) -> None:
        self._return_estimator = return_estimator
        self._with_commands: dict[ClientConnection, None] = {}
        self._silent: dict[ClientConnection, None] = {}  # those that have not sent a command yet

    def __len__(self) -> int:
        return len(self._with_commands) + len(self._silent)

    @property
    def silent_count(self) -> int:
        """How many of the idle clients have not sent a command yet."""
        return len(self._silent)

    def add(self, client: ClientConnection) -> None:
        """Add a client that has just become idle."""
        clients = self._with_commands if client.activity.command_count else self._silent
        clients[client] = None

    def discard(self, client: ClientConnection) -> None:
        """Remove a client that is no longer idle, if it is tracked."""
        self._with_commands.pop(client, None)
        self._silent.pop(client, None)

    def evict_unlikely_to_return(self, max_count: int, now: float) -> None:
        """Evict at most `max_count` clients that are unlikely to send another command soon."""
        clients = list(self._with_commands)
        idle_clients = [
            IdleClient(client.activity.command_count, client.activity.idle_time(now)) for client in clients
        ]
        for index in select_for_eviction(idle_clients, self._return_estimator, max_count):
            metrics.client_connections_evicted += clients[index].close_if_idle(CloseReason.CLIENT_EVICTED)

    def evict_one(self, now: float) -> bool:
        """Evict the client that has been idle for longest; it may reconnect. Return False if there is none.

        A client that has not sent a command for a while after connecting is evicted before one that has sent
        commands and may send the next one at any time.
        """
        candidates = [
            *islice(self._silent, EVICTION_CANDIDATES),
            *islice(self._with_commands, EVICTION_CANDIDATES),
        ]
        candidates.sort(
            key=lambda client: (_was_active_recently(client, now), client.activity.last_active_at)
        )
        for client in candidates:
            if client.close_if_idle(CloseReason.CLIENT_EVICTED):
                client.conn.close()  # frees its descriptor now; all replies to it have been written
                return True
        return False


def _was_active_recently(client: ClientConnection, now: float) -> bool:
    max_idle_time = IDLE_TIMEOUT_MS if client.activity.command_count else SILENT_EVICTION_AGE_MS
    return client.activity.idle_time(now) < max_idle_time
