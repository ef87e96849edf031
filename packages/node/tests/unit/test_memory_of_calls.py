"""What calls of peers make a node keep besides their bodies."""

import asyncio
import tracemalloc
import types
from unittest import mock

from chivelead_node._internal.body_memory import BodyMemory
from chivelead_node._internal.inbound import InboundCalls
from chivelead_protocol import CallRequest, HybridClock, PeerLink, PeerServer
from chivelead_protocol._internal.codec import encode_frame
from lib.fake_platform import HOST, free_ports
from lib.platform_fleet import wait_until

_HEADER_COUNT = 500
_CALL_COUNT = 20


async def _reply_at_once(_request):
    return 'reply'


# Guards against IDs of attempts that are kept whatever their length: 3,000 of
# 60 KB took 171 MB.
async def test_long_ids_of_attempts_are_not_kept():
    inbound = InboundCalls(*(mock.MagicMock() for _ in range(5)))
    inbound._run = _reply_at_once
    tracemalloc.start()
    for number in range(100):
        attempt_id = f'{number}'.ljust(60_000, 'x')
        request = types.SimpleNamespace(attempt_id=attempt_id)
        assert await inbound.handle_call(request) == 'reply'
        repeated = await inbound.handle_call(request)
        assert repeated.reason == 'repeated-attempt'
    assert tracemalloc.get_traced_memory()[0] < 1_000_000
    tracemalloc.stop()


# Guards against calls that are counted with their size on the wire, while each
# of many small headers is an object: 1,500 calls took 290 MB.
async def test_headers_of_calls_are_counted_as_objects():
    memory = BodyMemory(10_000_000)

    async def wait(_vm, _message):
        await asyncio.sleep(30)

    server = PeerServer('far', b'', HybridClock(), wait, rooms=memory)
    await server.start(HOST, free_ports(1)[0])
    link = PeerLink('near', HOST, server.port, b'', HybridClock())
    await link.start()
    call = CallRequest(
        request_id='r',
        attempt_id='vm.boot.1',
        service='stock',
        route='r',
        method='GET',
        path='/',
        headers=tuple((f'a{number}', '1') for number in range(_HEADER_COUNT)),
        body=b'',
        organisation='',
        importance=1,
        idempotent=True,
        timeout_ms=10_000,
        retry_allowance=0,
        queue_limit_ms=0,
    )
    for sequence in range(1, _CALL_COUNT + 1):
        link._channel.send(encode_frame(sequence, 0, call))
    least_bytes = _CALL_COUNT * _HEADER_COUNT * 150
    await wait_until(lambda: memory.held_bytes > least_bytes)
    await link.close()
    await server.close()
