"""Clients of other builds, which use a connection until it ends."""

import asyncio
import contextlib
import random
import socket
import time
from http import client as http_client

import aiohttp
import yarl

from lib.request_soak_clients import (
    CONNECT_TIMEOUT_S,
    PATIENCE_S,
    Client,
    header_fields,
    serialize,
)
from lib.request_soak_targets import digest, happens

_LONGEST_PAUSE_S = 0.4
_HALF_CLOSE_PERCENT = 20
_CUTS = (OSError, EOFError, http_client.HTTPException, aiohttp.ClientError)

_builds = {}


def _build(name):
    def register(client_type):
        _builds[name] = client_type
        return client_type

    return register


class _OtherClient(Client):
    build = ''

    @contextlib.contextmanager
    def _sending(self):
        """Provide a call, its header lines and body; note how it ends."""
        exchange = self._make_small_call()
        call = exchange[0]
        call.habits = self.build
        call.sent_s = self._soak.now_s()
        call.connected_s = call.sent_s
        self._soak.history.calls[call.request_id] = call
        try:
            yield exchange
            call.end = 'answered'
        except TimeoutError:
            call.end = 'late'
        except _CUTS:
            call.end = 'cut'
        finally:
            call.ended_s = self._soak.now_s()
            if self._soak.is_over or call.whole_s is None:
                call.end = 'left'

    def _pause_s(self):
        return self._rng.random() * _LONGEST_PAUSE_S


class _ThreadClient(_OtherClient):
    async def visit(self, reader_kind):
        """Open a connection and use it until it ends, in a thread."""
        await asyncio.get_running_loop().run_in_executor(
            self._soak.threads, self._use_connection
        )

    def _use_connection(self):
        with (
            contextlib.suppress(OSError),
            contextlib.closing(self._open()) as connection,
        ):
            while not self._soak.is_over and self._exchange(connection):
                time.sleep(self._pause_s())

    def _exchange(self, connection):
        """Send a request; return whether the connection can be used again."""
        response = None
        with self._sending() as (call, headers, body):
            response = self._send(connection, call, headers, body)
            call.answer_digest = digest(response.read())
            call.stamp = response.getheader('X-Server-Stamp', '')
            call.answer_note = response.getheader('X-Note', '').encode(
                'latin-1'
            )
            call.status = response.status
        return (
            call.end == 'answered'
            and not response.will_close
            and not call.closes_sending_half
        )


@_build('socket')
class _SocketClient(_ThreadClient):
    build = 'blocking socket'

    def _open(self):
        sock = socket.create_connection(self._address(), CONNECT_TIMEOUT_S)
        sock.settimeout(PATIENCE_S)
        return sock

    def _send(self, sock, call, headers, body):
        call.closes_sending_half = happens(self._rng, _HALF_CLOSE_PERCENT)
        sock.sendall(b''.join(serialize(call, headers, body)))
        if call.closes_sending_half:
            sock.shutdown(socket.SHUT_WR)
        call.whole_s = self._soak.now_s()
        sock.settimeout(call.deadline_s + PATIENCE_S)
        response = http_client.HTTPResponse(sock, method=call.method)
        response.begin()
        return response


@_build('http.client')
class _HttpClient(_ThreadClient):
    build = 'http.client'

    def _open(self):
        connection = http_client.HTTPConnection(
            *self._address(), timeout=CONNECT_TIMEOUT_S
        )
        connection.connect()
        return connection

    def _send(self, connection, call, headers, body):
        connection.sock.settimeout(call.deadline_s + PATIENCE_S)
        connection.request(
            call.method,
            call.path,
            b''.join(body.blocks()) if body else None,
            header_fields(call, headers),
        )
        call.whole_s = self._soak.now_s()
        return connection.getresponse()


@_build('aiohttp')
class _AiohttpClient(_OtherClient):
    build = 'aiohttp'

    async def visit(self, reader_kind):
        """Use a session until its connection ends."""
        tracing = aiohttp.TraceConfig()
        tracing.on_request_headers_sent.append(self._note_sent)
        tracing.on_request_chunk_sent.append(self._note_sent)
        async with aiohttp.ClientSession(
            auto_decompress=False, trace_configs=[tracing]
        ) as session:
            while await self._exchange(session):
                await asyncio.sleep(self._pause_s())

    async def _exchange(self, session):
        host, port = self._address()
        is_kept = False
        with self._sending() as (call, headers, body):
            async with session.request(
                call.method,
                yarl.URL(f'http://{host}:{port}{call.path}', encoded=True),
                data=b''.join(body.blocks()) if body else None,
                headers=header_fields(call, headers),
                timeout=aiohttp.ClientTimeout(
                    call.deadline_s + PATIENCE_S, CONNECT_TIMEOUT_S
                ),
                trace_request_ctx=call,
            ) as response:
                call.answer_digest = digest(await response.read())
                fields = {
                    name.lower(): field for name, field in response.raw_headers
                }
                call.stamp = fields.get(b'x-server-stamp', b'').decode()
                call.answer_note = fields.get(b'x-note', b'')
                call.status = response.status
                is_kept = b'close' not in fields.get(b'connection', b'')
        return is_kept

    def _make_small_call(self):
        # Sends header fields in UTF-8.
        exchange = super()._make_small_call()
        while not exchange[0].note.isascii():
            exchange = super()._make_small_call()
        return exchange

    async def _note_sent(self, session, context, _):
        context.trace_request_ctx.whole_s = self._soak.now_s()


def new_build_clients(soak, entry, seed):
    """Return a client of each other build."""
    return [
        client_type(soak, entry, random.Random(f'{seed}-{entry}-{name}'))
        for name, client_type in _builds.items()
    ]
