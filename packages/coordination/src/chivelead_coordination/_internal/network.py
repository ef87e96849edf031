"""What coordination needs of the links between nodes."""

import abc
from typing import Any


class Network(abc.ABC):
    """Send messages to nodes by the name of their VM."""

    @abc.abstractmethod
    async def request(self, vm: str, body: Any, timeout_ms: float) -> Any:
        """Send a message and return the reply.

        Raises:
            LinkError: The message or its reply was lost, or never written.
            ProtocolError: The peer could not handle it.
        """
