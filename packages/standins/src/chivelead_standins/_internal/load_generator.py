"""Open-loop load generator that simulates callers of several organisations.

Callers can retry failed requests aggressively, after a short random delay.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import json
import random
from collections.abc import Callable, Sequence

import aiohttp
from chivelead_protocol import now_ms

from chivelead_standins._internal.records import CallRecord
from chivelead_standins._internal.target_server import (
    CHECKSUM_HEADER,
    TRACE_HEADER,
)

_MS_PER_S = 1000
_OK = 200
_TIMEOUT_MARGIN_MS = 500
_MAX_RETRY_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True)
class RequestStream:
    """Requests that one organisation sends to one route.

    Attributes:
        key: API key; no ``Authorization`` header is sent if it is empty.
        rate_per_s: Mean rate of Poisson arrivals.
        entry_urls: Base URLs of the nodes to send to, used round-robin.
        client_retries: Maximum number of retries by the caller itself.
        use_idempotency_key: Whether to send an ``Idempotency-Key`` header.
    """

    organisation: str
    key: str
    service: str
    method: str
    path: str
    importance: int
    rate_per_s: float
    timeout_ms: float
    entry_urls: tuple[str, ...]
    client_retries: int = 0
    body: bytes = b''
    use_idempotency_key: bool = False


class LoadGenerator:
    """Send streams of requests and record the results.

    Args:
        seed: Random seed of the arrival times and retry delays.
    """

    def __init__(self, seed: int) -> None:
        """Initialise without a session; ``start`` opens one."""
        self.records: list[CallRecord] = []
        self._random = random.Random(seed)  # noqa: S311
        self._session: aiohttp.ClientSession | None = None
        self._pending: set[asyncio.Task[None]] = set()
        self._ids = itertools.count(1)

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Wait for the requests in flight, then close the session."""
        if self._pending:
            await asyncio.wait(self._pending, timeout=10)
        if self._session is not None:
            await self._session.close()

    async def run(
        self,
        streams: Sequence[RequestStream],
        duration_s: float,
        rate_factor: Callable[[RequestStream, float], float] | None = None,
    ) -> None:
        """Send all streams concurrently for a limited time.

        Args:
            streams: Streams to send.
            duration_s: Time to send for.
            rate_factor: Returns a factor on the rate, given the stream and
                the time since the start in seconds.
        """
        await asyncio.gather(
            *(
                self._send_stream(stream, duration_s, rate_factor)
                for stream in streams
            ),
        )

    async def _send_stream(
        self,
        stream: RequestStream,
        duration_s: float,
        rate_factor: Callable[[RequestStream, float], float] | None,
    ) -> None:
        start_ms = now_ms()
        due_s = 0.0
        for index in itertools.count():
            current_factor = rate_factor(stream, due_s) if rate_factor else 1
            due_s += self._random.expovariate(
                stream.rate_per_s * current_factor
            )
            if due_s > duration_s:
                return
            wait_s = due_s - (now_ms() - start_ms) / _MS_PER_S
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            entry_url = stream.entry_urls[index % len(stream.entry_urls)]
            task = asyncio.create_task(
                self._send_with_retries(stream, entry_url)
            )
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)

    async def _send_with_retries(
        self, stream: RequestStream, entry_url: str
    ) -> None:
        key = f'idem-{next(self._ids)}' if stream.use_idempotency_key else ''
        for _ in range(stream.client_retries + 1):
            record = await self.send(stream, entry_url, key)
            if record.status not in {0, 429, 502, 503, 504}:
                return
            await asyncio.sleep(_MAX_RETRY_DELAY_S * self._random.random())

    async def send(
        self,
        stream: RequestStream,
        entry_url: str,
        idempotency_key: str = '',
    ) -> CallRecord:
        """Send one request and record its result."""
        trace_id = f't{next(self._ids)}'
        sent_ms = now_ms()
        status, outcome, reason, valid = 0, '', '', False
        headers = {
            'Authorization': f'Bearer {stream.key}',
            'Chivelead-Timeout-Ms': f'{stream.timeout_ms:.0f}',
            TRACE_HEADER: trace_id,
        }
        if not stream.key:
            headers.pop('Authorization')
        if idempotency_key:
            headers['Idempotency-Key'] = idempotency_key
        client_timeout_s = (stream.timeout_ms + _TIMEOUT_MARGIN_MS) / _MS_PER_S
        if self._session is None:
            raise RuntimeError('the load generator is not started')
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.request(
                stream.method,
                f'{entry_url}/{stream.service}{stream.path}',
                headers=headers,
                data=stream.body or None,
                timeout=aiohttp.ClientTimeout(total=client_timeout_s),
            ) as response:
                status = response.status
                outcome = response.headers.get('Chivelead-Outcome', '')
                body = await response.read()
                if response.content_type == 'application/problem+json':
                    reason = json.loads(body)['title']
                valid = _is_valid_response(
                    response, body, trace_id, stream.body
                )
        record = CallRecord(
            trace_id=trace_id,
            organisation=stream.organisation,
            service=stream.service,
            importance=stream.importance,
            entry_url=entry_url,
            sent_ms=sent_ms,
            ended_ms=now_ms(),
            status=status,
            outcome=outcome,
            reason=reason,
            valid=valid,
            idempotency_key=idempotency_key,
        )
        self.records.append(record)
        return record


def _is_valid_response(
    response: aiohttp.ClientResponse,
    body: bytes,
    trace_id: str,
    request_body: bytes,
) -> bool:
    """Return whether a response is complete and for a request of this body."""
    if response.status != _OK:
        return False
    checksum = hashlib.sha256(body).hexdigest()
    if response.headers.get(CHECKSUM_HEADER) != checksum:
        return False
    document = json.loads(body)
    request_digest = hashlib.sha256(request_body).hexdigest()
    # A response replayed for an idempotency key has the trace ID of the first
    # request, which is not known here, so any trace ID is accepted.
    return bool(
        document['received'] == request_digest
        and (document['trace'] == trace_id or document['trace']),
    )
