"""What a process may hold for others: one budget with two parts."""

from chivelead_protocol.bounds import ConnectionMemory

from chivelead_node._internal.body_memory import BodyMemory

# The rest is for the process itself, and for the second copy of one body that
# is being converted.
_BODY_FRACTION = 0.31
_CONNECTION_FRACTION = 0.23


class MemoryBudget:
    """Memory for bodies, and for connections and what they have received.

    Args:
        limit_bytes: Memory of the process.

    Attributes:
        limit_bytes: See the arguments.
        bodies: Bodies of requests and responses.
        connections: Connections, with what the kernel may hold of them.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Create a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.bodies = BodyMemory(limit_bytes * _BODY_FRACTION)
        self.connections = ConnectionMemory(limit_bytes * _CONNECTION_FRACTION)

    @property
    def held_bytes(self) -> int:
        """Return all that is counted."""
        return self.bodies.held_bytes + self.connections.held_bytes
