"""Memory for the messages of peers of a node with INI documents."""

from chivelead_node._internal.body_memory import BodyMemory, BodyShare


class PeerRooms:
    """Memory that is taken for messages before they are received.

    A leaving node hands all its idempotency records over in one message, which
    may be larger than all that other messages get.

    Args:
        bodies: Memory for bodies and messages.
    """

    def __init__(self, bodies: BodyMemory) -> None:
        """Create a source of memory; nothing is taken."""
        self._bodies = bodies
        self.take_request = bodies.take_request
        self.take_reply = bodies.take_reply
        self.hold = bodies.hold

    def take_message(self, size_bytes: int) -> BodyShare | None:
        """Take memory for a message that is no call; None if there is none."""
        decoded_bytes = self._bodies.decoded_bytes(size_bytes)
        if decoded_bytes > self._bodies.message_limit_bytes:
            return self._bodies.take_reply(decoded_bytes)
        return self._bodies.take_message(size_bytes)
