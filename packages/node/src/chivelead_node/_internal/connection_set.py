"""The open connections of an HTTP server, and what is due on them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from chivelead_protocol.bounds import (
    ConnectionAccount,
    ConnectionMemory,
    ParseTurns,
    edges,
)

from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.request_ends import RequestEnds


class TrackedConnection(Protocol):
    """A connection of a client, as the set of connections sees it."""

    @property
    def input_ended(self) -> bool:
        """Return whether the client has closed its sending half."""

    @property
    def is_leaving(self) -> bool:
        """Return whether the client is expected to close the connection."""

    @property
    def has_unanswered_request(self) -> bool:
        """Return whether a request was read and its answer not written."""

    def undelivered_bytes(self) -> int:
        """Return the bytes that the client has not acknowledged."""

    def pass_on(self, vms: Sequence[str]) -> None:
        """Note that the request that is handled is passed on."""

    def end_exchanges(self, cause: EndCause) -> None:
        """Record that the requests and answers that are due end here."""

    def force_close(self) -> None:
        """Close the connection without waiting for anything."""


class ServerConnections:
    """The open connections of an HTTP server.

    Args:
        events: Event log.
        request_id_header: Name of the header with the ID of a request.
        ends: Records the requests that end without an answer.
        edge: Kind of the connections.
        memory: Counts what the connections hold.

    Attributes:
        request_id_header: See the arguments.
        ends: See the arguments.
        edge: See the arguments.
        closing: Whether answers ask their clients to close the connection.
            It stays open until they do, since a request may be on its way.
        refused_count: Connections that were refused for what they sent.
        ignored_count: Connections that were closed while their clients sent on.
    """

    def __init__(
        self,
        events: EventLog,
        request_id_header: str,
        ends: RequestEnds,
        edge: edges.Edge,
        memory: ConnectionMemory,
    ) -> None:
        """Create an empty set."""
        self.edge = edge
        self._memory = memory
        self.closing = False
        self.refused_count = 0
        self.ignored_count = 0
        self._events = events
        self.request_id_header = request_id_header
        self.ends = ends
        self._connections: set[TrackedConnection] = set()

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection that was accepted."""
        self._connections.add(connection)

    def open_account(
        self,
        evict: Callable[[], None],
        is_expendable: Callable[[], bool],
        may_be_cut: Callable[[], bool],
    ) -> ConnectionAccount | None:
        """Return the account of a new connection; None if it has no room.

        Args:
            evict: Closes the connection at once.
            is_expendable: Returns whether closing the connection does no harm.
            may_be_cut: Returns whether the connection may be closed for what it
                holds.
        """
        return self._memory.open_account(
            self.edge, evict, is_expendable, may_be_cut
        )

    @property
    def turns(self) -> ParseTurns:
        """Return the turns of the connections that have received much."""
        return self._memory.turns

    def describe_memory(self) -> str:
        """Return what all connections hold, for a log line."""
        return self._memory.describe()

    def discard(self, connection: TrackedConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def record_refused(self, request_id: str, client: str, why: str) -> None:
        """Log and count a connection on which something else than HTTP came.

        Args:
            request_id: Request that was answered last.
            client: Address of the client.
            why: What is wrong with what was received.
        """
        self.refused_count += 1
        self._events.record_decision(
            'failed', 'connection-refused', request_id, client=client, why=why
        )

    def record_ignored(self, request_id: str, client: str) -> None:
        """Log and count a client that sends after its last request.

        Args:
            request_id: Request that was answered last.
            client: Address of the client.
        """
        self.ignored_count += 1
        self._events.record_decision(
            'failed', 'input-ignored', request_id, client=client
        )

    def end_exchanges(self) -> None:
        """Record the requests and answers that end with the process."""
        for connection in self._connections:
            connection.end_exchanges(EndCause.node_stopped)

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def count_leaving(self) -> int:
        """Return the connections whose clients are expected to close them."""
        return sum(connection.is_leaving for connection in self._connections)

    def count_unanswered(self) -> int:
        """Return the connections with a request that is not answered."""
        return sum(
            connection.has_unanswered_request
            for connection in self._connections
        )

    def undelivered_bytes(self) -> int:
        """Return the bytes of answers that no reader has acknowledged."""
        return sum(
            connection.undelivered_bytes() for connection in self._connections
        )

    def is_answer_due(self) -> bool:
        """Return whether a client waits for an answer, or is about to close."""
        return bool(
            self.count_unanswered()
            or self.undelivered_bytes()
            or self.count_leaving()
        )
