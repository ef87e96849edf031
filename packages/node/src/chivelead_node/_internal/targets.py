"""The target of this VM: what it announces and how it is called."""

import dataclasses
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from chivelead_protocol import Headers, TargetState, now_ms

from chivelead_node._internal.target_connections import (
    TargetConnection,
    TargetConnectionPool,
    encode_request,
    keep_alive_timeout_ms,
)

# What the HTTP library raises for an answer that is cut off or garbled.
_RESPONSE_ERRORS = (
    aiohttp.ClientError,
    aiohttp.EofStream,
    HttpProcessingError,
    OSError,
)
# Answers to earlier requests that may stand before the own one.
_MAX_STRAY_RESPONSES = 2
_STATE_NAMES = frozenset(state.value for state in TargetState)
_MAX_COUNT = 100_000
_MAX_PORT = 65535


class BadAnnouncementError(Exception):
    """A target announced something that is not valid."""


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a target says of itself.

    Attributes:
        slots: Requests it serves at once.
        connections: Connections it accepts.
        in_flight: Its own count of running requests; may lag or mislead.
    """

    service: str
    host: str
    port: int
    slots: int
    connections: int
    state: TargetState
    in_flight: int


@dataclasses.dataclass(frozen=True)
class TargetResponse:
    """The whole answer of a target."""

    status: int
    headers: Headers
    body: bytes


class TargetFailedError(Exception):
    """The target gave no whole answer.

    Attributes:
        ran: False only if the request cannot have reached the target.
    """

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        """Keep whether the request may have run."""
        super().__init__(reason)
        self.may_have_run = may_have_run


def parse_announcement(raw: Any) -> Announcement:
    """Check what a target sent.

    Raises:
        BadAnnouncementError: A field is missing or wrong; says which.
    """
    if not isinstance(raw, dict):
        raise BadAnnouncementError('expected a JSON object')
    state = raw.get('state')
    if state not in _STATE_NAMES:
        expected_names = ', '.join(sorted(_STATE_NAMES))
        raise BadAnnouncementError(f'state: expected one of {expected_names}')
    return Announcement(
        service=_require_text(raw, 'service'),
        host=_require_text(raw, 'host'),
        port=_require_int(raw, 'port', _MAX_PORT),
        slots=_require_int(raw, 'slots', _MAX_COUNT),
        connections=_require_int(raw, 'connections', _MAX_COUNT),
        state=TargetState(state),
        in_flight=_require_int(raw, 'in_flight', _MAX_COUNT),
    )


class LocalTarget:
    """Connections to the target of this VM.

    Args:
        body_limit_bytes: Largest answer.
    """

    def __init__(self, body_limit_bytes: int) -> None:
        """Start without a target."""
        self.announcement: Announcement | None = None
        self.last_announced_ms = 0.0
        self._body_limit_bytes = body_limit_bytes
        self._pool: TargetConnectionPool | None = None

    async def apply_announcement(self, announcement: Announcement) -> None:
        """Take in an announcement; a new address gets new connections."""
        previous = self.announcement
        self.announcement = announcement
        self.last_announced_ms = now_ms()
        address = (announcement.host, announcement.port)
        if previous is not None and (previous.host, previous.port) == address:
            return
        await self.close()
        self._pool = TargetConnectionPool(*address)

    def mark_draining(self) -> None:
        """Take the target for one that is leaving."""
        if self.announcement is not None:
            self.announcement = dataclasses.replace(
                self.announcement,
                state=TargetState.draining,
            )

    async def close(self) -> None:
        """Close the connections."""
        if self._pool is not None:
            self._pool.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        is_own_response: Callable[[int, Headers], bool],
    ) -> TargetResponse:
        """Send one request to the target and return its whole answer.

        Args:
            method: HTTP method.
            path: Path and query, encoded as the caller sent them.
            headers: All headers of the request.
            body: Whole body.
            check: Tells whether a head answers this very request; raises
                TargetFailedError for one that is not accepted.

        Raises:
            TargetFailedError: There is no whole answer.
        """
        pool = self._pool
        if pool is None:
            raise TargetFailedError(
                'no target is announced', may_have_run=False
            )
        try:
            raw = encode_request(method, path, headers, body)
            connection = await pool.acquire(has_body=method != 'HEAD')
        except (OSError, ValueError) as error:
            raise TargetFailedError(str(error), may_have_run=False) from error
        try:
            connection.write(raw)
            response = await self._receive(connection, is_own_response)
        except _RESPONSE_ERRORS as error:
            connection.abort()
            raise TargetFailedError(repr(error), may_have_run=True) from error
        except BaseException:
            # What follows on this connection belongs to nobody.
            connection.abort()
            raise
        pool.release(connection, keep_alive_timeout_ms(response.headers))
        return response

    async def _receive(
        self,
        connection: TargetConnection,
        is_own_response: Callable[[int, Headers], bool],
    ) -> TargetResponse:
        """Return the answer, past such as belong to earlier requests."""
        for _ in range(_MAX_STRAY_RESPONSES + 1):
            response_head, payload = await connection.read_response()
            headers = tuple(response_head.headers.items())
            is_match = is_own_response(response_head.code, headers)
            body = await self._read_body(payload)
            if is_match:
                return TargetResponse(response_head.code, headers, body)
        raise TargetFailedError('answers to other requests', may_have_run=True)

    async def _read_body(self, payload: aiohttp.StreamReader) -> bytes:
        if payload.is_eof() and payload.total_bytes <= self._body_limit_bytes:
            return payload.read_nowait()
        chunks = []
        size = 0
        async for chunk in payload.iter_any():
            size += len(chunk)
            if size > self._body_limit_bytes:
                raise TargetFailedError(
                    'the answer is too large', may_have_run=True
                )
            chunks.append(chunk)
        return b''.join(chunks)


def _require_text(raw: dict[str, Any], name: str) -> str:
    text = raw.get(name)
    if not isinstance(text, str) or not text:
        raise BadAnnouncementError(f'{name}: expected a text')
    return text


def _require_int(raw: dict[str, Any], name: str, maximum: int) -> int:
    number = raw.get(name, 0 if name == 'in_flight' else -1)
    if not isinstance(number, int) or not 0 <= number <= maximum:
        raise BadAnnouncementError(
            f'{name}: expected a whole number from 0 to {maximum}',
        )
    return int(number)
