"""Tests of stalled connections and of the store as a process.

A stalled connection stays open but carries no more data.
"""

import asyncio
import sys

import aiohttp
import pytest
from chivelead_coordination import HttpStore, Write
from chivelead_protocol import (
    HybridClock,
    LinkLostError,
    PeerLink,
    PeerServer,
    Pong,
    StatusQuery,
    StoreConflictError,
    StoreUnavailableError,
    now_ms,
)
from chivelead_standins import StoreServer
from chivelead_standins._internal.fault_proxy import FaultProxy
from chivelead_standins._internal.layout import free_ports

HOST = '127.0.0.1'


async def test_store_client_reconnects_after_a_stall():
    ports = free_ports()
    store_port, proxy_port = next(ports), next(ports)
    server = StoreServer()
    await server.start(HOST, store_port)
    proxy = FaultProxy(proxy_port, store_port)
    await proxy.start()
    store = HttpStore(f'http://{HOST}:{proxy_port}', 1000)
    await store.start()
    await store.write(Write('key', 'text', 0))
    proxy.stall_open_connections()
    try:
        await store.read('key')
    except StoreUnavailableError as error:
        assert error.hint == 'a write may have taken effect'
    entry = await store.read('key')
    assert entry.text == 'text'
    await store.close()
    await proxy.close()
    await server.close()


# Guards against one timeout for each connection that has stalled.
async def test_one_timeout_condemns_all_stalled_connections_to_the_store():
    ports = free_ports()
    store_port, proxy_port = next(ports), next(ports)
    server = StoreServer()
    await server.start(HOST, store_port)
    proxy = FaultProxy(proxy_port, store_port)
    await proxy.start()
    store = HttpStore(f'http://{HOST}:{proxy_port}', 300)
    await store.start()
    await store.write(Write('key', 'text', 0))
    await asyncio.gather(*(store.read('key') for _ in range(4)))
    proxy.stall_open_connections()
    with pytest.raises(StoreUnavailableError):
        await store.read('key')
    assert (await store.read('key')).text == 'text'
    await store.close()
    await proxy.close()
    await server.close()


async def test_stalled_link_fails_its_requests_and_a_new_link_works():
    ports = free_ports()
    peer_port, proxy_port = next(ports), next(ports)
    released = asyncio.Event()

    async def handle_request(vm, body):
        await released.wait()
        return Pong()

    server = PeerServer('far', b'secret', HybridClock(), handle_request)
    await server.start(HOST, peer_port)
    proxy = FaultProxy(proxy_port, peer_port)
    await proxy.start()
    link = PeerLink('near', HOST, proxy_port, b'secret', HybridClock())
    await link.start()
    pending_request = asyncio.create_task(link.request(StatusQuery(), 60_000))
    await asyncio.sleep(0.1)
    proxy.stall_open_connections()
    stalled_at_ms = now_ms()
    try:
        await pending_request
    except LinkLostError:
        print('link closed', now_ms() - stalled_at_ms, 'ms after the stall')
    assert not link.is_open
    released.set()
    new_link = PeerLink('near', HOST, proxy_port, b'secret', HybridClock())
    await new_link.start()
    assert await new_link.request(StatusQuery(), 60_000) == Pong()
    await link.close()
    await new_link.close()
    await proxy.close()
    await server.close()


async def test_store_runs_as_a_process_with_faults():
    port = next(free_ports())
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'chivelead_standins',
        'store',
        '--port',
        str(port),
    )
    url = f'http://{HOST}:{port}'
    store = HttpStore(url, 5000)
    await store.start()
    async with asyncio.timeout(60), aiohttp.ClientSession() as session:
        while not await is_store_reachable(store):
            await asyncio.sleep(0.1)
        await store.write(Write('key', 'text', 0))
        with pytest.raises(StoreConflictError):
            await store.write(Write('key', 'other', 0))
        async with session.post(f'{url}/control', json={'down': True}):
            assert not await is_store_reachable(store)
    await store.close()
    process.kill()
    await process.wait()


async def is_store_reachable(store):
    """Return whether the store replies to a read."""
    try:
        await store.read('key')
    except StoreUnavailableError:
        return False
    return True
