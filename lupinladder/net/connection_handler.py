"""The interface through which a connection notifies its handler."""

from __future__ import annotations

from typing import Protocol

from lupinladder.connection_limits.buffer_budget import SERVER_BUFFERS, BufferUse, BufferUses


class ConnectionHandler(Protocol):
    """Receives the events of a connection.

    After `on_closed(False)` the connection is closed. After `on_closed(True)` the peer has ended its sending,
    and the connection can still be written to.
    """

    @property
    def buffer_uses(self) -> BufferUses:
        """What the bytes of the connection are kept for."""

    @property
    def kept_input_bytes(self) -> int:
        """How many bytes of incomplete messages the handler keeps, besides those in the inbox."""

    @property
    def kept_output_bytes(self) -> int:
        """How many bytes the handler keeps that are still to be written, besides those in the outbox."""

    def on_connected(self) -> None:
        """The connection has been established."""

    def on_data(self) -> None:
        """Bytes have been received into the inbox."""

    def on_written(self) -> None:
        """Queued bytes have been written, perhaps not all of them."""

    def may_write(self) -> bool:
        """Whether bytes that are still queued may be written now; if not, the handler has closed the
        connection."""

    def on_closed(self, by_peer: bool) -> None:
        """The peer has ended its sending in order (`by_peer`), or the connection has failed."""

    def on_shed(self, use: BufferUse, /) -> None:
        """The process buffers too much: drop the bytes of this use, if necessary with the connection."""


class NullHandler:
    """The handler of a closed connection.

    If a closed connection still referred to its former handler, the two would form a reference cycle that
    only the garbage collector frees. With many short connections, such cycles would use most of the memory.
    """

    buffer_uses = SERVER_BUFFERS
    kept_input_bytes = 0
    kept_output_bytes = 0

    def on_connected(self) -> None:
        """Do nothing."""

    def on_data(self) -> None:
        """Do nothing."""

    def on_written(self) -> None:
        """Do nothing."""

    def may_write(self) -> bool:
        """Return True: a closed connection has nothing to write."""
        return True

    def on_closed(self, by_peer: bool) -> None:
        """Do nothing."""

    def on_shed(self, use: BufferUse, /) -> None:
        """Do nothing: a closed connection keeps no bytes."""


NULL_HANDLER = NullHandler()
