"""Command ``relay``: a relay without admission or routing decisions.

It uses the same libraries and protocols as a path through two nodes: HTTP from
the caller, CBOR over a WebSocket between the processes, HTTP to the target.
Its latency is the lower bound for such a path.
"""

import asyncio
import contextlib
import itertools

import aiohttp
import cbor2
import uvloop
from aiohttp import web
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from chivelead_standins._internal.target_server import (
    CHECKSUM_HEADER,
    TRACE_HEADER,
)

_HOST = '127.0.0.1'


def relay(*, front_port: int = 0, back_port: int, target_port: int = 0) -> None:
    """Run one of the two processes of a bare relay until it is killed.

    The front process accepts HTTP requests and forwards them to the back
    process, which calls the target.

    Args:
        front_port: HTTP port of the front process.
        back_port: WebSocket port of the back process.
        target_port: Port of the target; if given, run the back process.
    """
    if target_port:
        uvloop.run(_run_back(back_port, target_port))
    else:
        uvloop.run(_run_front(front_port, back_port))


async def _run_back(back_port: int, target_port: int) -> None:
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle_message(
            connection: ServerConnection, raw: bytes
        ) -> None:
            request_number, path, trace_id = cbor2.loads(raw)
            url = f'http://{_HOST}:{target_port}{path}'
            headers = {TRACE_HEADER: trace_id}
            async with session.get(url, headers=headers) as response:
                body = await response.read()
                checksum = response.headers.get(CHECKSUM_HEADER, '')
            await connection.send(cbor2.dumps([request_number, checksum, body]))

        async def serve_connection(connection: ServerConnection) -> None:
            tasks = set()
            async for raw in connection:
                if isinstance(raw, str):
                    raise TypeError(
                        'received a text frame, expected a binary one'
                    )
                task = asyncio.create_task(handle_message(connection, raw))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        async with serve(serve_connection, _HOST, back_port, compression=None):
            await asyncio.Event().wait()


class _FrontServer:
    """HTTP server of the front process."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._request_numbers = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[tuple[str, bytes]]] = {}

    async def receive_replies(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            await self._resolve_replies()

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        request_number = next(self._request_numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[request_number] = reply
        trace_id = request.headers.get(TRACE_HEADER, '')
        await self._connection.send(
            cbor2.dumps([request_number, request.path_qs, trace_id])
        )
        checksum, body = await reply
        return web.Response(body=body, headers={CHECKSUM_HEADER: checksum})

    async def _resolve_replies(self) -> None:
        async for raw in self._connection:
            if isinstance(raw, str):
                raise TypeError('received a text frame, expected a binary one')
            request_number, checksum, body = cbor2.loads(raw)
            self._pending_replies.pop(request_number).set_result(
                (checksum, body)
            )


async def _run_front(front_port: int, back_port: int) -> None:
    connection = await connect(f'ws://{_HOST}:{back_port}', compression=None)
    front = _FrontServer(connection)
    receiving = asyncio.create_task(front.receive_replies())
    runner = web.ServerRunner(web.Server(front.handle_request, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, _HOST, front_port).start()
    await receiving
