"""The budget of connections and bytes that all clients of one listener share."""

from __future__ import annotations

from typing import Protocol

from cassiaweir.observe import Metrics


class BoundedConnection(Protocol):
    """A connection that takes part in a `ConnectionBudget`.

    Both methods are called only while no handler runs for the connection.
    """

    def refuse(self) -> None:
        """Refuse the request that arrives, keep no bytes, and close soon."""

    def cut(self) -> None:
        """Close the connection at once."""


class ConnectionBudget:
    """Bounds the open connections and the bytes that are kept for their requests.

    A connection beyond the bound closes one that was refused, else the longest idle,
    else the one whose request began to arrive first.  Bytes beyond the bound refuse the
    requests that began to arrive first.  Connections whose request is being handled are
    left alone.
    """

    def __init__(self, max_connections: int, max_bytes: int, metrics: Metrics) -> None:
        self._max_connections = max_connections
        self._max_bytes = max_bytes
        self._metrics = metrics
        self._bytes = 0
        # The bytes kept for each connection, in the order of entering the state.
        self._refused: dict[BoundedConnection, int] = {}
        self._idle: dict[BoundedConnection, int] = {}
        self._arriving: dict[BoundedConnection, int] = {}
        self._handled: dict[BoundedConnection, int] = {}
        self._states = (self._refused, self._idle, self._arriving, self._handled)

    @property
    def kept_bytes(self) -> int:
        """The bytes that are kept for all connections."""
        return self._bytes

    def add(self, conn: BoundedConnection) -> bool:
        """Count a new connection, or return False where no other can be closed."""
        if sum(map(len, self._states)) >= self._max_connections:
            closable = self._refused or self._idle or self._arriving
            victim = next(iter(closable), None)
            if victim is None:
                self._metrics.count("http_connections_refused")
                return False
            self.remove(victim)
            self._metrics.count("http_connections_cut")
            victim.cut()
        self._idle[conn] = 0
        return True

    def remove(self, conn: BoundedConnection) -> None:
        """Forget a closed connection and its bytes."""
        for state in self._states:
            self._bytes -= state.pop(conn, 0)

    def keep(self, conn: BoundedConnection, size: int) -> None:
        """Note the bytes kept for `conn`, and refuse requests beyond the bound.

        `conn` itself is refused where no other request that arrives is left.
        """
        if conn in self._idle:
            self._arriving[conn] = self._idle.pop(conn)
        for state in (self._arriving, self._handled):
            if conn in state:
                self._bytes += size - state[conn]
                state[conn] = size
        while self._bytes > self._max_bytes and self._arriving:
            victim = next(iter(self._arriving))
            self._bytes -= self._arriving.pop(victim)
            self._refused[victim] = 0
            self._metrics.count("http_bodies_refused")
            victim.refuse()

    def begin_handling(self, conn: BoundedConnection) -> None:
        """Leave `conn` alone from now on, as its request has arrived completely."""
        self._move(conn, self._handled)

    def end_handling(self, conn: BoundedConnection) -> None:
        """Note that the request of `conn` was answered."""
        if conn in self._refused:
            return
        self._move(conn, self._idle)

    def _move(
        self, conn: BoundedConnection, target: dict[BoundedConnection, int]
    ) -> None:
        for state in self._states:
            if conn in state:
                target[conn] = state.pop(conn)
                return
