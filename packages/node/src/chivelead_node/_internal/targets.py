"""The target on this VM: its announcements and HTTP calls to it."""

import dataclasses
import io
import math
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from chivelead_protocol import Headers, TargetState, now_ms
from chivelead_protocol.bounds import describe_error, release_frames

from chivelead_node._internal.body_memory import BodyKind, BodyShare
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.raw_headers import decode_headers
from chivelead_node._internal.target_connections import (
    TargetConnection,
    TargetConnectionPool,
    encode_head,
    keep_alive_timeout_ms,
)

# Raised by aiohttp for truncated or malformed responses.
_RESPONSE_ERRORS = (
    aiohttp.ClientError,
    aiohttp.EofStream,
    HttpProcessingError,
    OSError,
)
# Responses to earlier requests that are skipped before the expected one.
_MAX_STRAY_RESPONSES = 2
_STATE_NAMES = frozenset(
    state.value for state in TargetState if state is not TargetState.trial
)
_MAX_COUNT = 100_000
_MAX_PORT = 65535
_USUAL_BODY_BYTES = 1_048_576
# Targets cut off responses that are not read for some seconds.
_MAX_WAIT_MS = 1000.0


class BadAnnouncementError(Exception):
    """A target sent an invalid announcement."""


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Capacity and state that a target reports about itself.

    Attributes:
        slots: Number of requests that the target serves concurrently.
        connections: Number of connections that the target accepts.
        in_flight: Number of running requests as counted by the target; may be
            outdated or wrong.
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
    """A complete response of a target.

    Attributes:
        is_head: Whether the request was a HEAD request.
    """

    status: int
    headers: Headers
    body: bytes
    is_head: bool = False


class TargetFailedError(Exception):
    """The target did not return a complete response.

    Attributes:
        may_have_run: False only if the request cannot have reached the
            target.
        lacks_memory: Whether this node had no memory for the response, of which
            the target is not the cause.
    """

    def __init__(
        self, reason: str, *, may_have_run: bool, lacks_memory: bool = False
    ) -> None:
        """Store whether the request may have run."""
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.lacks_memory = lacks_memory


def parse_announcement(raw: Any) -> Announcement:
    """Validate an announcement.

    Raises:
        BadAnnouncementError: A field is missing or invalid; the message
            names it.
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
    """HTTP client for the target on this VM.

    Args:
        body_limit_bytes: Maximum size of a response body.
        memory: Memory for response bodies and connections; unlimited by
            default.
    """

    def __init__(
        self, body_limit_bytes: int, memory: MemoryBudget | None = None
    ) -> None:
        """Create a client without a known target."""
        self.announcement: Announcement | None = None
        self.last_announced_ms = 0.0
        self._body_limit_bytes = body_limit_bytes
        self._memory = memory or MemoryBudget(math.inf)
        self._pool: TargetConnectionPool | None = None

    async def apply_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement; replace the connections on a new address."""
        previous = self.announcement
        self.announcement = announcement
        self.last_announced_ms = now_ms()
        address = (announcement.host, announcement.port)
        if previous is not None and (previous.host, previous.port) == address:
            return
        await self.close()
        self._pool = TargetConnectionPool(*address, self._memory.connections)

    def mark_draining(self) -> None:
        """Treat the target as draining until its next announcement."""
        if self.announcement is not None:
            self.announcement = dataclasses.replace(
                self.announcement,
                state=TargetState.draining,
            )

    async def close(self) -> None:
        """Close idle connections now and busy ones after their response."""
        if self._pool is not None:
            self._pool.close()

    def close_idle_connections(self) -> None:
        """Close connections that may have gone silent."""
        if self._pool is not None:
            self._pool.close_idle()

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        is_own_response: Callable[[int, Headers], bool],
    ) -> TargetResponse:
        """Send a request to the target and return the complete response.

        Args:
            method: HTTP method.
            path: Path and query string, encoded as the caller sent them.
            headers: All headers of the request.
            body: Complete request body.
            is_own_response: Returns whether a status and headers belong to
                this request. Raises TargetFailedError to reject them.

        Raises:
            TargetFailedError: The target did not return a complete response.
        """
        pool = self._pool
        if pool is None:
            raise TargetFailedError(
                'no target has announced itself', may_have_run=False
            )
        try:
            head = encode_head(method, path, headers, len(body))
            connection = await pool.acquire(has_body=method != 'HEAD')
        except (OSError, ValueError) as error:
            raise TargetFailedError(
                describe_error(error), may_have_run=False
            ) from error
        try:
            connection.write(head, body)
            response = await self._receive(connection, is_own_response)
        except _RESPONSE_ERRORS as error:
            connection.abort()
            # The body keeps the error.
            release_frames(error)
            raise TargetFailedError(
                describe_error(error), may_have_run=True
            ) from error
        except BaseException:
            # The response to the abandoned request may still arrive, so the
            # connection cannot be reused.
            pool.abandon(connection)
            raise
        pool.release(connection, keep_alive_timeout_ms(response.headers))
        return dataclasses.replace(response, is_head=method == 'HEAD')

    async def _receive(
        self,
        connection: TargetConnection,
        is_own_response: Callable[[int, Headers], bool],
    ) -> TargetResponse:
        """Return the response, skipping those to earlier requests."""
        for _ in range(_MAX_STRAY_RESPONSES + 1):
            response_head, payload = await connection.read_response()
            headers = decode_headers(response_head.raw_headers)
            is_match = is_own_response(response_head.code, headers)
            body = await self._read_body(payload, _announced_bytes(headers))
            if is_match:
                return TargetResponse(response_head.code, headers, body)
        raise TargetFailedError(
            'received only responses to other requests', may_have_run=True
        )

    async def _read_body(
        self, payload: aiohttp.StreamReader, announced_bytes: int
    ) -> bytes:
        if payload.is_eof() and payload.total_bytes <= self._body_limit_bytes:
            return payload.read_nowait()
        share = self._memory.bodies.open_share(BodyKind.response)
        try:
            return await self._read_chunks(payload, share, announced_bytes)
        finally:
            share.close()

    async def _read_chunks(
        self,
        payload: aiohttp.StreamReader,
        share: BodyShare,
        announced_bytes: int,
    ) -> bytes:
        # The target stops sending until there is memory for all of the body.
        has_room = await share.wait_and_grow(announced_bytes, _MAX_WAIT_MS)
        limit_bytes: float = self._body_limit_bytes
        if not announced_bytes:
            # The body may have no end.
            limit_bytes = min(
                limit_bytes, self._memory.bodies.limit_without_length_bytes
            )
        # Unlike a bytearray, its contents become bytes without a copy.
        body = io.BytesIO()
        size_bytes = 0
        async for chunk in payload.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise TargetFailedError(
                    'response body exceeds the size limit', may_have_run=True
                )
            if size_bytes > announced_bytes:
                has_room = has_room and share.grow(len(chunk))
            if not has_room:
                raise TargetFailedError(
                    f'no memory left for the response: {share.describe()}',
                    may_have_run=True,
                    # A larger body without a length may have no end.
                    lacks_memory=bool(announced_bytes)
                    or size_bytes <= _USUAL_BODY_BYTES,
                )
            body.write(chunk)
        return body.getvalue()


def _announced_bytes(headers: Headers) -> int:
    for name, header_value in headers:
        if name.lower() == 'content-length' and header_value.isdigit():
            return int(header_value)
    return 0


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
