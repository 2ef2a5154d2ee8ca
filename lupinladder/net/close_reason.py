"""Why a connection was closed, for the counters."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a connection was closed: those of clients first, then those to servers."""

    CLIENT_ENDED = "client_ended"
    CLIENT_BROKE = "client_broke"
    CLIENT_SILENT = "client_silent"  # no command in time
    CLIENT_IDLE = "client_idle"  # while descriptors are short
    CLIENT_COMMAND_OVERDUE = "client_command_overdue"
    CLIENT_FRAMING = "client_framing"
    CLIENT_EVICTED = "client_evicted"
    CLIENT_SHUTDOWN = "client_shutdown"

    SERVER_ENDED = "server_ended"
    SERVER_BROKE = "server_broke"  # or never came up
    SERVER_CONNECT_TIMEOUT = "server_connect_timeout"
    SERVER_IDLE = "server_idle"
    SERVER_STALE = "server_stale"
    SERVER_RETIRED = "server_retired"
    SERVER_INVALID_REPLY = "server_invalid_reply"
    SERVER_LAST_REPLY = "server_last_reply"  # by which the server announced the end
    SERVER_ABANDONED = "server_abandoned"  # nobody waits for what is out on it
    SERVER_HALF_WRITTEN = "server_half_written"  # the rest of a command must not be written
    SERVER_DESCRIPTOR_NEEDED = "server_descriptor_needed"
