"""The reasons for which connections are closed, counted by the metrics."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a connection was closed: first the reasons for clients, then those for upstream connections."""

    CLIENT_ENDED = "client_ended"
    CLIENT_BROKE = "client_broke"
    CLIENT_SILENT = "client_silent"  # sent no command in time
    CLIENT_IDLE = "client_idle"  # idle while descriptors were short
    CLIENT_COMMAND_OVERDUE = "client_command_overdue"
    CLIENT_FRAMING = "client_framing"
    CLIENT_BUFFERS_SHED = "client_buffers_shed"  # its incomplete command was dropped for lack of memory
    CLIENT_EVICTED = "client_evicted"
    CLIENT_SHUTDOWN = "client_shutdown"

    SERVER_ENDED = "server_ended"
    SERVER_BROKE = "server_broke"  # failed, or was never established
    SERVER_CONNECT_TIMEOUT = "server_connect_timeout"
    SERVER_IDLE = "server_idle"
    SERVER_STALE = "server_stale"
    SERVER_RETIRED = "server_retired"
    SERVER_INVALID_REPLY = "server_invalid_reply"
    SERVER_LAST_REPLY = "server_last_reply"  # the server announced the close with its last reply
    SERVER_ABANDONED = "server_abandoned"  # all attempts in flight on it were abandoned
    SERVER_HALF_WRITTEN = "server_half_written"  # the rest of a command must not be written
    SERVER_REPEATED_REPLY = "server_repeated_reply"  # its reply may belong to an earlier request
    SERVER_NOT_REUSABLE = "server_not_reusable"  # later replies could not be attributed
    SERVER_BUFFERS_SHED = "server_buffers_shed"  # its incomplete reply was dropped for lack of memory
    SERVER_DESCRIPTOR_NEEDED = "server_descriptor_needed"
