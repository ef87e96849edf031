"""HTTP response whose body is counted until it is written."""

import weakref

from aiohttp import web

from chivelead_node._internal.body_memory import BodyMemory


class CountedResponse(web.Response):
    """Response whose body is counted until it is written or given up.

    Args:
        status: HTTP status.
        body: Complete body.
        memory: Counts the body.
    """

    def __init__(self, status: int, body: bytes, memory: BodyMemory) -> None:
        """Create a response that is not sent yet."""
        super().__init__(status=status, body=body)
        # The server drops it without a word if the caller has gone.
        self._release = weakref.finalize(self, memory.hold(len(body)).close)
        self._release.atexit = False

    async def write_eof(self, data: bytes = b'') -> None:  # noqa: WPS110
        """Write the body, and wait until the kernel has taken it."""
        await super().write_eof(data)
        # The server keeps the response until the next request comes.
        self.body = None
        self._release()
