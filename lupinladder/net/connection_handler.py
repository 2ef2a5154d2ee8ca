"""Who owns a connection, and is called for what happens on it."""

from __future__ import annotations

from typing import Protocol


class ConnectionHandler(Protocol):
    """What a connection calls. After `on_closed(False)` it is closed; after `on_closed(True)` the peer has
    ended its sending, and the connection can still be written."""

    def on_connected(self) -> None:
        """The connection that was being opened is up."""

    def on_data(self) -> None:
        """Bytes have come into the inbox."""

    def on_written(self) -> None:
        """Queued bytes have been written, perhaps not all."""

    def may_write(self) -> bool:
        """Whether bytes that stayed queued may be written now; else the owner has closed the connection."""

    def on_closed(self, by_peer: bool) -> None:
        """The peer has ended its sending in order (`by_peer`), or the connection has failed."""


class NullHandler:
    """The owner of what is closed. With its owner still named, the two would hold one another until the
    collector came, and on a day of ever new connections that is most of the memory."""

    def on_connected(self) -> None:
        """Do nothing."""

    def on_data(self) -> None:
        """Do nothing."""

    def on_written(self) -> None:
        """Do nothing."""

    def may_write(self) -> bool:
        """Nothing speaks against it."""
        return True

    def on_closed(self, by_peer: bool) -> None:
        """Do nothing."""


NULL_HANDLER = NullHandler()
