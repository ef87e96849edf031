"""Client side of HTTP connections: responses that are refused."""

import asyncio
from unittest import mock

import aiohttp
import pytest
from chivelead_protocol.bounds import BoundedResponseHandler

_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'


@pytest.fixture
async def handler():
    """Return a connection that awaits a response."""
    connection = BoundedResponseHandler(asyncio.get_running_loop())
    connection.connection_made(mock.create_autospec(asyncio.Transport))
    connection.set_response_params()
    return connection


# Guards against an error of aiohttp's own that readers do not expect.
async def test_response_that_is_refused_before_it_is_read_is_an_error(handler):
    handler.data_received(_RESPONSE)
    handler.refuse('no memory left')
    with pytest.raises(aiohttp.ClientPayloadError, match='no memory left'):
        await handler.read()


async def test_reader_of_a_response_that_is_refused_gets_the_error(handler):
    reading = asyncio.create_task(handler.read())
    await asyncio.sleep(0)
    handler.refuse('no memory left')
    with pytest.raises(aiohttp.ClientPayloadError, match='no memory left'):
        await reading
