"""Tests of the store client: responses that are larger than any should be."""

import contextlib
import json
import types

import pytest
from aiohttp import web
from chivelead_coordination import StoreEra
from chivelead_platform import Address, PlatformStore
from chivelead_protocol import HistoryLostError, StoreUnavailableError
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
