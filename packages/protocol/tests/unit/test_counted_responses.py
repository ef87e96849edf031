"""Tests of what is counted for connections to servers."""

import asyncio

from chivelead_protocol.bounds import (
    ConnectionMemory,
    CountedResponseHandler,
    edges,
)

_FIELD_COUNT = 100
_FIELD_BYTES = 200


class _FakeTransport(asyncio.Transport):
    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False


# Guards against heads of many small fields that cost more than is counted, and
# against unread bytes that no gauge shows.
async def test_connection_is_counted_by_its_fields_and_known_by_its_socket():
    memory = ConnectionMemory(10_000_000)
    connection = CountedResponseHandler(
        asyncio.get_running_loop(), edges.STORE, memory
    )
    transport = _FakeTransport()
    connection.connection_made(transport)
    connection.set_response_params()
    connection.data_received(b'HTTP/1.1 200 OK\r\n')
    connection.data_received(b'a: b\r\n' * _FIELD_COUNT)
    account = memory.open_accounts()[0]
    assert account.received_bytes > _FIELD_COUNT * _FIELD_BYTES
    assert account.transport is transport
    connection.connection_lost(None)
    assert memory.held_bytes == 0
