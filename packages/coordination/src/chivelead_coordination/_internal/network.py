"""Interface for requests to other nodes."""

import abc
from typing import Any


class Network(abc.ABC):
    """Send requests to nodes, addressed by the name of their VM."""

    @abc.abstractmethod
    async def request(self, vm: str, body: Any, timeout_ms: float) -> Any:
        """Send a request and return the reply.

        Raises:
            LinkError: The request was not sent, or no reply was received.
            ProtocolError: The peer could not process the request.
        """
