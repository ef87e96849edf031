"""Clients that use a connection until its node is gone.

Their requests cross the stops of the node.
"""

import asyncio
import contextlib
import random

from lib.request_soak_clients import Client, Connection, serialize
from lib.request_soak_targets import happens

# How clients send, by turns.
HABITS = ('idle', 'spaced', 'expecting', 'delayed', 'frozen', 'half-closing')
_READERS = ('prompt', 'prompt', 'late', 'slow')
# An idle client sends nothing for this time, or until a stop comes.
_IDLE_S = 8.0
_IDLE_PERIOD_S = 0.05
# Longest time from the start of a stop to the end of its process.
_STOP_S = 6.5
_SPACES_S = (0, 0.03, 0.1, 0.3, 0.9)
_CONTINUE = 100
# A client that has no interim response by then sends the body.
_CONTINUE_S = 0.7
_FROZEN_S = 3.0
_THAWING_S = 0.01
_MOST_REQUESTS = 4


class CrossingClient(Client):
    """Send requests on connections that it keeps as long as it can.

    Args:
        soak: What is soaked: its history, clock and nodes.
        entry: Index of the node.
        rng: Random numbers of this client.
        habit: One of ``HABITS``.
    """

    def __init__(self, soak, entry, rng, habit):
        """Create a client without a connection."""
        super().__init__(soak, entry, rng)
        self._habit = habit

    async def visit(self, reader_kind):
        """Open a connection and use it until it ends."""
        # A proxy accepts connections that it can't pass on.
        if not self._soak.is_reachable(self._entry):
            return
        reader_kind = self._rng.choice(_READERS)
        if self._habit == 'frozen':
            reader_kind = 'frozen'
        connection = await self._connect(reader_kind)
        if connection is None:
            return
        try:
            if self._habit == 'half-closing':
                await self._rest()
            while not connection.reader.at_eof():
                exchanges = [
                    self._make_small_call() for _ in range(self._count())
                ]
                if not await connection.exchange(exchanges):
                    return
                await self._rest()
        finally:
            connection.close()

    def _count(self):
        if self._habit == 'expecting':
            return 1
        if self._habit == 'spaced':
            return self._rng.randint(2, _MOST_REQUESTS)
        return self._rng.randint(1, 2)

    def _make_small_call(self):
        """Return a call whose request fits into one segment."""
        exchange = super()._make_small_call()
        if self._habit == 'delayed':
            # A chunk that is under way goes first.
            exchange[0].path_s = (
                2 * self._soak.client_proxies[self._entry].delay_s
            )
        return exchange

    async def _rest(self):
        """Wait between two exchanges; an idle client waits for a stop."""
        if self._habit not in {'idle', 'half-closing'}:
            await asyncio.sleep(self._rng.random() * 0.4)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_IDLE_S):
                while not self._soak.is_stopping(self._entry):
                    await asyncio.sleep(_IDLE_PERIOD_S)
                await asyncio.sleep(self._rng.random() * _STOP_S)

    def _address(self):
        if self._habit == 'delayed':
            return self._soak.client_proxies[self._entry].address
        return super()._address()

    def _make_connection(self, streams, reader_kind):
        return _CrossingConnection(
            self._soak, streams, reader_kind, self._rng, self._habit
        )


class _CrossingConnection(Connection):
    def __init__(self, soak, streams, reader_kind, rng, habit):
        super().__init__(soak, streams, reader_kind, rng)
        self._habit = habit

    async def exchange(self, exchanges, close_percent=0):
        for exchange in exchanges:
            exchange[0].habits = f'{self._habit}, '
        if self._habit == 'half-closing':
            close_percent = 100
        return await super().exchange(exchanges, close_percent)

    async def _pause_before_sending(self, call):
        if self._habit == 'spaced' and call.behind:
            await asyncio.sleep(self._rng.choice(_SPACES_S))

    async def _send_request(self, exchange, is_in_pieces):
        call, headers, body = exchange
        if self._habit != 'expecting' or body is None:
            return await super()._send_request(exchange, is_in_pieces)
        head, *rest = serialize(call, (*headers, b'Expect: 100-continue'), body)
        self._has_head.clear()
        await self._send_bytes(head, is_in_pieces)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONTINUE_S):
                await self._has_head.wait()
        # After another response the server may await a body or a request.
        if self._has_head.is_set() and self._last_status != _CONTINUE:
            return False
        for raw in rest:
            await self._send_bytes(raw, is_in_pieces)
        return True

    async def _send_bytes(self, raw, is_in_pieces):
        is_freezing = self._habit == 'frozen' and happens(self._rng, 20)
        if is_freezing and len(raw) > 1:
            middle = self._rng.randrange(len(raw))
            await super()._send_bytes(raw[:middle], is_in_pieces=False)
            await self._freeze()
            raw = raw[middle:]
        await super()._send_bytes(raw, is_in_pieces)

    async def _pause_before_reading(self):
        if self._reader_kind == 'frozen' and happens(self._rng, 50):
            await self._freeze()
        await super()._pause_before_reading()

    async def _freeze(self):
        """Neither send nor read for a while."""
        transport = self._writer.transport
        if transport.is_reading():
            transport.pause_reading()
            await asyncio.sleep(self._rng.random() * _FROZEN_S)
            transport.resume_reading()
            # What has arrived is read before more is sent.
            await asyncio.sleep(_THAWING_S)


def new_crossing_client(soak, entry, seed, habit):
    """Return a client with random numbers of its own."""
    return CrossingClient(soak, entry, random.Random(seed), habit)
