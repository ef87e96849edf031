"""The target of this VM: what it announces and how it is called."""

import asyncio
import dataclasses
import functools
import logging
from collections.abc import Callable
from typing import Any

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler
from chivelead_protocol import Headers, TargetState, now_ms

logger = logging.getLogger(__name__)

_KEEP_ALIVE_S = 60
_MS_PER_S = 1000
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
class TargetAnswer:
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
        self._session: aiohttp.ClientSession | None = None

    async def announce(self, announcement: Announcement) -> None:
        """Take in an announcement; a new address gets new connections."""
        known = self.announcement
        self.announcement = announcement
        self.announced_ms = now_ms()
        if (
            known is not None
            and self._session is not None
            and (known.host, known.port, known.connections)
            == (announcement.host, announcement.port, announcement.connections)
        ):
            return
        old_session = self._session
        self._session = _make_session(announcement.connections)
        if old_session is not None:
            await old_session.close()

    def close_for_new_work(self) -> None:
        """Take the target for one that is leaving."""
        if self.announcement is not None:
            self.announcement = dataclasses.replace(
                self.announcement,
                state=TargetState.draining,
            )

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        check: Callable[[int, Headers], None],
    ) -> TargetAnswer:
        """Send one request to the target and return its whole answer.

        Args:
            method: HTTP method.
            path: Path and query, encoded as the caller sent them.
            headers: All headers of the request.
            body: Whole body.
            check: Raises TargetFailedError for a head that is not accepted.

        Raises:
            TargetFailedError: There is no whole answer.
        """
        session = self._session
        announcement = self.announcement
        if session is None or announcement is None:
            raise TargetFailedError('no target is announced', ran=False)
        try:
            async with session.request(
                method,
                yarl.URL(
                    f'http://{announcement.host}:{announcement.port}{path}',
                    encoded=True,
                ),
                headers=headers,
                data=body or None,
                allow_redirects=False,
            ) as answer:
                heads = tuple(answer.headers.items())
                _check_head(answer, heads, check)
                body = await self._read(answer)
                return TargetAnswer(answer.status, heads, body)
        except aiohttp.ClientConnectorError as error:
            raise TargetFailedError(str(error), ran=False) from error
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            raise TargetFailedError(repr(error), ran=True) from error

    async def _read(self, answer: aiohttp.ClientResponse) -> bytes:
        length = answer.content_length or 0
        if length > self._body_limit:
            raise TargetFailedError('the answer is too large', ran=True)
        if length:
            return await answer.read()
        chunks = []
        size = 0
        async for chunk in answer.content.iter_any():
            size += len(chunk)
            if size > self._body_limit:
                raise TargetFailedError('the answer is too large', ran=True)
            chunks.append(chunk)
        return b''.join(chunks)


def _check_head(
    answer: aiohttp.ClientResponse,
    heads: Headers,
    check: Callable[[int, Headers], None],
) -> None:
    try:
        check(answer.status, heads)
    except TargetFailedError:
        # What follows on this connection belongs to nobody.
        answer.close()
        raise


class _StrictHandler(ResponseHandler):
    """Take an answer that a reset has cut for what it is.

    The library takes the end of a connection for the end of a body without a
    length, whether the connection was closed or reset.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is under way, unless it ends in order."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError('reset'))
        super().connection_lost(exc)


def _make_session(connections: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=max(1, connections),
        keepalive_timeout=_KEEP_ALIVE_S,
        use_dns_cache=False,
    )
    setattr(  # noqa: B010
        connector,
        '_factory',
        functools.partial(
            _StrictHandler,
            loop=asyncio.get_running_loop(),
        ),
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
    )
    # The library would repeat a GET on a reused connection that was closed,
    # and a route that must not be repeated may well be a GET.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


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
