"""Tests of the store client: responses that are larger than any should be."""

import contextlib
import json
import socket
import types

import pytest
from aiohttp import web
from chivelead_coordination import StoreEra
from chivelead_platform import Address, PlatformStore
from chivelead_protocol import HistoryLostError, StoreUnavailableError
from chivelead_protocol.bounds import ConnectionMemory, edges
from lib.fake_platform import HOST, free_ports, start_http_server

_ITEM = types.MappingProxyType({'value': 'eHh4', 'revision': 3, 'lease': 0})


@contextlib.asynccontextmanager
async def _client_of(reply, **options):
    port = free_ports(1)[0]

    async def respond(request):
        return web.Response(body=reply(request))

    runner = await start_http_server(respond, port)
    client = PlatformStore(Address(HOST, port), 2000, StoreEra(), **options)
    await client.start()
    try:
        yield client
    finally:
        await client.close()
        await runner.cleanup()


def _make_page(*items, has_more=True):
    return json.dumps(
        {'items': items, 'has_more': has_more, 'store_revision': 7}
    ).encode()


# Guards against a store whose answers exhaust the memory of a node.
async def test_response_over_the_limit_is_an_error():
    async with _client_of(lambda _: b' ' * 3_000_000) as client:
        with pytest.raises(StoreUnavailableError, match='larger than'):
            await client.read('k')


async def test_largest_value_is_read():
    item = json.dumps({**_ITEM, 'key': 'k', 'value': 'eHh4' * 400_000})
    async with _client_of(
        lambda _: item.encode(), value_limit_bytes=1_200_000
    ) as client:
        assert len((await client.read('k')).text) == 1_200_000


# Guards against a history that is too large to be read again and again.
async def test_changes_over_the_limit_are_a_lost_history():
    async with _client_of(lambda _: b' ' * 3_000_000) as client:
        with pytest.raises(HistoryLostError):
            await client.watch_prefix('k', 3, 1000)


# Guards against pages without end: the same ones, or ever new ones.
async def test_page_that_comes_again_is_an_error():
    page = _make_page({**_ITEM, 'key': 'k/1'})
    async with _client_of(lambda _: page) as client:
        with pytest.raises(StoreUnavailableError, match='no end'):
            await client.list_prefix('k/')


@pytest.mark.parametrize(
    ('value', 'items'), [('eHh4' * 200_000, 1), ('', 5000)]
)
async def test_pages_without_end_are_an_error(value, items):

    def reply(request):
        last = request.query.get('after', 'k/0')
        first = int(last.partition('/')[2]) + 1
        return _make_page(
            *(
                {**_ITEM, 'key': f'k/{number:09}', 'value': value}
                for number in range(first, first + items)
            )
        )

    async with _client_of(reply) as client:
        with pytest.raises(StoreUnavailableError, match='no end'):
            await client.list_prefix('k/')


async def test_pages_are_joined():
    def reply(request):
        is_last = 'after' in request.query
        key = 'k/2' if is_last else 'k/1'
        return _make_page({**_ITEM, 'key': key}, has_more=not is_last)

    async with _client_of(reply) as client:
        entries = await client.read_prefix('k/')
    assert [entry.key for entry in entries] == ['k/1', 'k/2']


class _Rooms:
    """Record what is held."""

    def __init__(self):
        self.held_bytes = 0
        self.peak_bytes = 0

    def hold(self, size_bytes):
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        room = types.SimpleNamespace()
        room.close = lambda: self._give_back(size_bytes)
        return room

    def _give_back(self, size_bytes):
        self.held_bytes -= size_bytes


# Guards against connections of which the kernel holds up to 32 MB each.
async def test_connections_have_a_bound_in_the_kernel_and_are_counted(
    monkeypatch,
):
    buffers = []
    open_socket = edges.Edge.open_socket

    def open_and_keep(edge, address_info):
        sock = open_socket(edge, address_info)
        buffers.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))
        return sock

    monkeypatch.setattr(edges.Edge, 'open_socket', open_and_keep)
    memory = ConnectionMemory(1_000_000)
    held = []

    def reply(_):
        held.append(memory.held_by_edge())
        return json.dumps({**_ITEM, 'key': 'k'}).encode()

    async with _client_of(reply, memory=memory) as client:
        await client.read('k')
    assert held == [{'store': edges.STORE.reserved_bytes}]
    assert buffers == [edges.STORE.unread_limit_bytes]
    assert memory.held_bytes == 0


# Guards against callers that cut a node off from the store.
async def test_store_is_read_when_there_is_no_room_for_connections():
    item = json.dumps({**_ITEM, 'key': 'k'}).encode()
    async with _client_of(lambda _: item, memory=ConnectionMemory(0)) as client:
        assert (await client.read('k')).text == 'xxx'


# Guards against answers that no count sees while they are received and parsed.
@pytest.mark.parametrize(
    'body', [b' ' * 1_500_000, b' ' * 3_000_000, b'{"key": "k"}']
)
async def test_responses_are_counted_until_they_are_parsed(body):
    rooms = _Rooms()
    async with _client_of(lambda _: body, rooms=rooms) as client:
        with contextlib.suppress(StoreUnavailableError):
            await client.read('k')
    assert rooms.held_bytes == 0
    if len(body) < 2_000_000:
        assert rooms.peak_bytes >= 4 * len(body)


async def test_listings_are_counted_until_they_are_complete():
    def reply(request):
        number = int(request.query.get('after', '/0').partition('/')[2]) + 1
        item = {**_ITEM, 'key': f'k/{number}', 'value': 'eHh4' * 200_000}
        return _make_page(item, has_more=number < 3)

    rooms = _Rooms()
    async with _client_of(reply, rooms=rooms) as client:
        listing = await client.list_prefix('k/')
    assert len(listing.entries) == 3
    # Two pages, and the third with its copies.
    assert rooms.peak_bytes >= 2 * 600_000 + 4 * 800_000
    assert rooms.held_bytes == 0
