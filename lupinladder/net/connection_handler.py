"""The interface through which a connection notifies its handler."""

from __future__ import annotations

from typing import Protocol


class ConnectionHandler(Protocol):
    """Receives the events of a connection.

    After `on_closed(False)` the connection is closed. After `on_closed(True)` the peer has ended its sending,
    and the connection can still be written to.
    """

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


class NullHandler:
    """The handler of a closed connection.

    If a closed connection still referred to its former handler, the two would form a reference cycle that
    only the garbage collector frees. With many short connections, such cycles would use most of the memory.
    """

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


NULL_HANDLER = NullHandler()
