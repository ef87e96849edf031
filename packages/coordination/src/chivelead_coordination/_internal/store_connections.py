"""Connections to the store."""

import contextlib
import math
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from chivelead_protocol.bounds import (
    ConnectionMemory,
    bounded_connector,
    edges,
)

# A connection that has gone silent looks like an idle one.  Calls that follow
# one another share a connection; a later call opens its own.
MAX_IDLE_MS = 250
_MS_PER_S = 1000


class _Pool:
    """Keep-alive connections, and the number of calls that use them."""

    def __init__(self, memory: ConnectionMemory) -> None:
        self.call_count = 0
        self.session = aiohttp.ClientSession(
            connector=bounded_connector(
                edges.STORE, memory, idle_timeout_s=MAX_IDLE_MS / _MS_PER_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )


class StoreConnections:
    """Make calls over keep-alive connections.

    A call that gets no response in time says that its connection may have gone
    silent, and that the others may have, too.  Later calls use new connections;
    calls in progress go on.

    Args:
        memory: Counts what the connections hold; unlimited by default.
    """

    def __init__(self, memory: ConnectionMemory | None = None) -> None:
        """Prepare the connections; ``start`` allows calls."""
        self._memory = memory or ConnectionMemory(math.inf)
        self._current: _Pool | None = None
        self._retired: set[_Pool] = set()

    async def start(self) -> None:
        """Allow calls."""
        self._current = _Pool(self._memory)

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        pools = list(self._retired)
        if self._current is not None:
            pools.append(self._current)
        self._current = None
        self._retired.clear()
        for pool in pools:
            await pool.session.close()

    @contextlib.asynccontextmanager
    async def call(
        self, method: str, url: str, **options: Any
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Make a call; the response is read inside the context.

        Args:
            method: HTTP method.
            url: URL with an IP address as the host.
            options: Other arguments of ``aiohttp.ClientSession.request``.

        Raises:
            ClientError: The connection failed or is closed.
            TimeoutError: The response did not arrive in time.
        """
        pool = self._current
        if pool is None:
            raise aiohttp.ClientConnectionError('the client is closed')
        pool.call_count += 1
        try:
            async with pool.session.request(method, url, **options) as response:
                yield response
        except TimeoutError:
            self._retire(pool)
            raise
        finally:
            pool.call_count -= 1
            await self._close_unused(pool)

    def _retire(self, pool: _Pool) -> None:
        if pool is self._current:
            self._retired.add(pool)
            self._current = _Pool(self._memory)

    async def _close_unused(self, pool: _Pool) -> None:
        if pool in self._retired and not pool.call_count:
            self._retired.discard(pool)
            await pool.session.close()
