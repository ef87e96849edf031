"""Simulated target: an HTTP server with limited concurrency.

It simulates execution times, a cold start, draining and calls to other
services, and records every execution of a request.  Requests beyond its
concurrency limit wait in a queue; when the queue is full, they are rejected
with status 503 and ``Chivelead-Outcome: not-run``.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import random
from typing import Any

import aiohttp
from aiohttp import web
from chivelead_protocol import now_ms

from chivelead_standins._internal.records import ExecutionRecord

TRACE_HEADER = 'X-Trace'
CHECKSUM_HEADER = 'X-Checksum'

_MS_PER_S = 1000
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_OK = 200
_ANNOUNCE_INTERVAL_S = 1.0
_ANNOUNCE_PATH = '/chivelead/target'
_FORWARDED_HEADERS = ('Chivelead-Token', TRACE_HEADER)


@dataclasses.dataclass
class TargetProfile:
    """Behaviour of a target; may be changed while the target runs.

    Attributes:
        slots: Number of requests that the target executes concurrently.
        claimed_slots: Concurrency limit that it announces to its node.
        connections: Connection limit that it announces to its node.
        waiting_most: Queue length from which it rejects requests.
        service_ms: Mean execution time, without downstream calls.
        slowdown: Factor on the execution time.
        cold_ms: Time after the start during which requests take three times
            as long.
        downstream: Calls made for each request, as ``service/path``.
        answer_bytes: Size of a response body.
        min_reported_in_flight: Lower bound of the announced number of
            requests in flight, to simulate a target that misreports it.
        jitter: Largest deviation of an execution time, as a ratio of the mean.
        fail_all: Answer every request with status 503 and outcome not-run.
        abort_on_failure: Abort the connection when a downstream call fails.
    """

    service: str
    slots: int
    claimed_slots: int
    connections: int
    waiting_most: int
    service_ms: float
    slowdown: float = 1
    cold_ms: float = 0
    downstream: tuple[str, ...] = ()
    answer_bytes: int = 1000
    min_reported_in_flight: int = -1
    jitter: float = 0.5
    fail_all: bool = False
    abort_on_failure: bool = False


class TargetServer:
    """One simulated target.

    Args:
        vm: Name of its VM.
        profile: Behaviour.
        port: Loopback port to listen on.
        local_port: Port of its node for announcements and downstream calls.
        seed: Random seed of the execution times.
    """

    def __init__(
        self,
        vm: str,
        profile: TargetProfile,
        port: int,
        local_port: int,
        seed: int,
    ) -> None:
        """Initialise without listening; ``start`` does that."""
        self.vm = vm
        self.profile = profile
        self.executions: list[ExecutionRecord] = []
        self.state = 'ready'
        self.in_flight = 0
        self.connections_opened = 0
        self._port = port
        self._node_url = f'http://127.0.0.1:{local_port}'
        self._random = random.Random(seed)  # noqa: S311
        self._slots = asyncio.Semaphore(profile.slots)
        self._started_ms = 0.0
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._announce_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce the target to its node periodically."""
        self._started_ms = now_ms()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60),
        )
        self._runner = web.ServerRunner(
            web.Server(
                self._handle_request,
                handler_cancellation=True,
                access_log=None,
                auto_decompress=False,
            ),
            shutdown_timeout=1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', self._port).start()
        self._announce_task = asyncio.create_task(self._announce_forever())

    async def close(self) -> None:
        """Stop without waiting for requests in flight."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> None:
        """Announce the draining state and wait for the requests in flight."""
        self.state = 'draining'
        await self.announce()
        while self.in_flight:
            await asyncio.sleep(0.02)

    async def announce(self) -> None:
        """Announce this target to its node; ignores an unreachable node."""
        profile = self.profile
        body = {
            'service': profile.service,
            'host': '127.0.0.1',
            'port': self._port,
            'slots': profile.claimed_slots,
            'connections': profile.connections,
            'state': self.state,
            'in_flight': max(profile.min_reported_in_flight, self.in_flight),
        }
        if self._session is None:
            return
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.post(
                f'{self._node_url}{_ANNOUNCE_PATH}',
                json=body,
                timeout=aiohttp.ClientTimeout(total=2),
            ):
                return

    async def _announce_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        waiting = self.in_flight - self.profile.slots
        if waiting >= self.profile.waiting_most:
            return web.Response(
                status=_UNAVAILABLE,
                headers={'Chivelead-Outcome': 'not-run'},
            )
        self.in_flight += 1
        index = len(self.executions)
        self.executions.append(self._new_record(request))
        finished = False
        try:
            async with self._slots:
                response = await self._execute(request, body)
            finished = True
        finally:
            self.in_flight -= 1
            self.executions[index] = dataclasses.replace(
                self.executions[index],
                ended_ms=now_ms(),
                finished=finished,
            )
        return response

    async def _execute(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.Response:
        await asyncio.sleep(self._random_service_ms() / _MS_PER_S)
        if self.profile.fail_all:
            return web.Response(
                status=_UNAVAILABLE,
                headers={'Chivelead-Outcome': 'not-run'},
            )
        for service_path in self.profile.downstream:
            status = await self._call_downstream(request, service_path)
            if status != _OK and self.profile.abort_on_failure:
                _abort_connection(request)
            if status != _OK:
                return web.Response(status=_BAD_GATEWAY, text=f'{status}')
        return _build_response(request, body, self.profile.answer_bytes)

    def _random_service_ms(self) -> float:
        profile = self.profile
        jitter_factor = self._random.uniform(
            1 - profile.jitter, 1 + profile.jitter
        )
        time_ms = jitter_factor * profile.service_ms
        if now_ms() - self._started_ms < profile.cold_ms:
            time_ms *= 3
        return time_ms * profile.slowdown

    async def _call_downstream(
        self, request: web.BaseRequest, service_path: str
    ) -> int:
        if self._session is None:
            return 0
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        async with self._session.get(
            f'{self._node_url}/{service_path}',
            headers=headers,
        ) as response:
            await response.read()
            return response.status

    def _new_record(self, request: web.BaseRequest) -> ExecutionRecord:
        headers = request.headers
        return ExecutionRecord(
            trace_id=headers.get(TRACE_HEADER, ''),
            request_id=headers.get('Chivelead-Request-Id', ''),
            organisation=headers.get('Chivelead-Organisation', ''),
            service=self.profile.service,
            vm=self.vm,
            started_ms=now_ms(),
            ended_ms=0,
            finished=False,
            received_key=_contains_key(request),
            draining=self.state == 'draining',
            idempotency_key=headers.get('Idempotency-Key', ''),
        )


def _abort_connection(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _contains_key(request: web.BaseRequest) -> bool:
    """Return whether the request contains a caller's API key.

    API keys of test fleets begin with ``key-secret``; see ``plan_layout``.
    """
    request_texts = [request.path_qs, *request.headers.values()]
    has_authorization = 'Authorization' in request.headers
    return has_authorization or any(
        'key-secret' in value for value in request_texts
    )


def _build_response(
    request: web.BaseRequest,
    body: bytes,
    size: int,
) -> web.Response:
    document: dict[str, Any] = {
        'trace': request.headers.get(TRACE_HEADER, ''),
        'received': hashlib.sha256(body).hexdigest(),
        # The other fields take about 120 bytes.
        'filler': 'x' * max(0, size - 120),
    }
    text = json.dumps(document).encode()
    return web.Response(
        body=text,
        content_type='application/json',
        headers={CHECKSUM_HEADER: hashlib.sha256(text).hexdigest()},
    )
