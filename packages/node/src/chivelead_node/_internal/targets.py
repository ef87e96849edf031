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
    idle_limit_ms,
)

# What the HTTP library raises for an answer that is cut off or garbled.
_BROKEN_ANSWERS = (
    aiohttp.ClientError,
    aiohttp.EofStream,
    HttpProcessingError,
    OSError,
)
# Answers to earlier requests that may stand before the own one.
_STRAY_ANSWERS_MOST = 2
_STATE_WORDS = frozenset(state.value for state in TargetState)
_NUMBER_HIGH = 100_000
_PORT_HIGH = 65535


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

    def __init__(self, reason: str, *, ran: bool) -> None:
        """Keep whether the request may have run."""
        super().__init__(reason)
        self.ran = ran


def parse_announcement(raw: Any) -> Announcement:
    """Check what a target sent.

    Raises:
        BadAnnouncementError: A field is missing or wrong; says which.
    """
    if not isinstance(raw, dict):
        raise BadAnnouncementError('expected a JSON object')
    state = raw.get('state')
    if state not in _STATE_WORDS:
        words = ', '.join(sorted(_STATE_WORDS))
        raise BadAnnouncementError(f'state: expected one of {words}')
    return Announcement(
        service=_text(raw, 'service'),
        host=_text(raw, 'host'),
        port=_number(raw, 'port', _PORT_HIGH),
        slots=_number(raw, 'slots', _NUMBER_HIGH),
        connections=_number(raw, 'connections', _NUMBER_HIGH),
        state=TargetState(state),
        in_flight=_number(raw, 'in_flight', _NUMBER_HIGH),
    )


class LocalTarget:
    """Connections to the target of this VM.

    Args:
        body_limit_bytes: Largest answer.
    """

    def __init__(self, body_limit_bytes: int) -> None:
        """Start without a target."""
        self.announcement: Announcement | None = None
        self.announced_ms = 0.0
        self._body_limit = body_limit_bytes
        self._connections: TargetConnectionPool | None = None

    async def announce(self, announcement: Announcement) -> None:
        """Take in an announcement; a new address gets new connections."""
        known = self.announcement
        self.announcement = announcement
        self.announced_ms = now_ms()
        address = (announcement.host, announcement.port)
        if known is not None and (known.host, known.port) == address:
            return
        await self.close()
        self._connections = TargetConnectionPool(*address)

    def close_for_new_work(self) -> None:
        """Take the target for one that is leaving."""
        if self.announcement is not None:
            self.announcement = dataclasses.replace(
                self.announcement,
                state=TargetState.draining,
            )

    async def close(self) -> None:
        """Close the connections."""
        if self._connections is not None:
            self._connections.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        check: Callable[[int, Headers], bool],
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
        connections = self._connections
        if connections is None:
            raise TargetFailedError('no target is announced', ran=False)
        try:
            raw = encode_request(method, path, headers, body)
            connection = await connections.take(has_body=method != 'HEAD')
        except (OSError, ValueError) as error:
            raise TargetFailedError(str(error), ran=False) from error
        try:
            connection.write(raw)
            answer = await self._receive(connection, check)
        except _BROKEN_ANSWERS as error:
            connection.abort()
            raise TargetFailedError(repr(error), ran=True) from error
        except BaseException:
            # What follows on this connection belongs to nobody.
            connection.abort()
            raise
        connections.give_back(connection, idle_limit_ms(answer.headers))
        return answer

    async def _receive(
        self,
        connection: TargetConnection,
        check: Callable[[int, Headers], bool],
    ) -> TargetResponse:
        """Return the answer, past such as belong to earlier requests."""
        for _ in range(_STRAY_ANSWERS_MOST + 1):
            head, payload = await connection.read_answer()
            heads = tuple(head.headers.items())
            is_own = check(head.code, heads)
            body = await self._read(payload)
            if is_own:
                return TargetResponse(head.code, heads, body)
        raise TargetFailedError('answers to other requests', ran=True)

    async def _read(self, payload: aiohttp.StreamReader) -> bytes:
        if payload.is_eof() and payload.total_bytes <= self._body_limit:
            return payload.read_nowait()
        chunks = []
        size = 0
        async for chunk in payload.iter_any():
            size += len(chunk)
            if size > self._body_limit:
                raise TargetFailedError('the answer is too large', ran=True)
            chunks.append(chunk)
        return b''.join(chunks)


def _text(raw: dict[str, Any], name: str) -> str:
    text = raw.get(name)
    if not isinstance(text, str) or not text:
        raise BadAnnouncementError(f'{name}: expected a text')
    return text


def _number(raw: dict[str, Any], name: str, high: int) -> int:
    number = raw.get(name, 0 if name == 'in_flight' else -1)
    if not isinstance(number, int) or not 0 <= number <= high:
        raise BadAnnouncementError(
            f'{name}: expected a whole number from 0 to {high}',
        )
    return int(number)
