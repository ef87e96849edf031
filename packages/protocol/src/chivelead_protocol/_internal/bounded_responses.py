"""Client side of HTTP connections, with limits on what a server may send."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from chivelead_protocol._internal.errors_without_frames import (
    release_frames,
    shorten,
)
from chivelead_protocol._internal.frame_rooms import FrameRooms
from chivelead_protocol._internal.framing_limit import (
    FramingLimit,
    count_field_lines,
)
from chivelead_protocol._internal.parse_turns import (
    FREE_BYTES,
    TURN_BYTES,
    ParseTurns,
)

# More than any reader skips: informational responses and those to earlier
# requests.
_MAX_UNREAD_RESPONSES = 12
_FIRST_FINAL_STATUS = 200
# Largest part of a body that is not in chunks.
_MAX_PART_BYTES = 65_536
# Memory for a body is counted in steps.  While it is parsed, its text is there
# up to four times: as received, as a string, decoded, and as the result.
_HELD_STEP_BYTES = 16_384
_PARSED_FACTOR = 4


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a response is larger than its limit."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that a server cannot fill with bytes that nobody reads.

    Bodies are limited by their readers: the connection is paused while one is
    not read.

    Attributes:
        framing_limit: Counts the bytes that belong to no body.
        last_head_bytes: Memory for the head of the last response, which the
            parser keeps until the next one begins.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: ParseTurns | None = None,
    ) -> None:
        """Create a handler that the event loop will connect."""
        super().__init__(loop)
        self.framing_limit = FramingLimit()
        self.last_head_bytes = 0
        self._new_bodies: list[StreamReader] = []
        self._turns = turns or ParseTurns()
        self._waits_for_turn = False
        # Whether a body has paused the parser, which notices it only when the
        # next part of a body comes.
        self._parser_may_stop = False
        self._unparsed = b''
        # Whether what follows is a body that is not in chunks.
        self._is_plain = False

    @property
    def should_close(self) -> bool:
        """Return whether the connection cannot be used again."""
        return bool(self._unparsed) or super().should_close

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; fail if they are no response for too long."""
        if not data:
            # The parser goes on with bytes that it has kept.
            self._parse(data)
        self._unparsed += data
        if not self._waits_for_turn:
            self._parse_some(FREE_BYTES)

    def pause_reading(self) -> None:
        """Stop parsing, as much of a body is not read."""
        self._parser_may_stop = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:  # noqa: FBT
        """Go on, as a part of a body was read."""
        # A body calls this for each of its pieces.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse the rest, and fail what is not complete."""
        if exc is None and self._parser is not None:
            while self._unparsed and not self._reading_paused:
                self._parse_part()
        self._unparsed = b''
        super().connection_lost(exc)

    def feed_data(
        self,
        data: tuple[RawResponseMessage, StreamReader],  # noqa: WPS110
        size: int = 0,
    ) -> None:
        """Add the head of a response and its body, which may be incomplete."""
        super().feed_data(data, size)
        head, body = data
        self._new_bodies.append(body)
        if head.code >= _FIRST_FINAL_STATUS:
            self.last_head_bytes = self.framing_limit.cost_bytes()
            self.framing_limit.reset()
            self._is_plain = not head.chunked

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException | None = None,
    ) -> None:
        """Fail the next reader, with an error that holds no received bytes."""
        if isinstance(exc, HttpProcessingError):
            exc.message = shorten(exc.message)
        release_frames(exc_cause)
        super().set_exception(exc)

    def refuse(self, reason: str) -> None:
        """Fail the readers and close the connection."""
        error = aiohttp.ClientPayloadError(reason)
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(error)
        # The base class drops an error of which it has not been asked yet.
        self.abort()
        self.set_exception(error)

    def close(self) -> None:
        """Close the connection and drop what nobody has read."""
        super().close()
        self._drop_unread()

    def abort(self) -> None:
        """Reset the connection and drop what nobody has read."""
        super().abort()
        self._drop_unread()

    def _drop_unread(self) -> None:
        self._buffer.clear()
        self._unparsed = b''

    def _parse_some(self, limit_bytes: int) -> None:
        """Parse what was received, up to a limit; wait for a turn for the rest.

        Bodies that are not in chunks do not count.

        Args:
            limit_bytes: Limit on the bytes to parse.
        """
        while self._unparsed and not self._reading_paused:
            if limit_bytes <= 0:
                self._waits_for_turn = True
                self._pause_transport_reading()
                self._turns.wait(self._take_turn)
                return
            is_plain = self._is_plain
            part_bytes = self._parse_part()
            if not is_plain:
                limit_bytes -= part_bytes

    def _parse_part(self) -> int:
        """Parse the next part; return how long it was."""
        part = self._unparsed[
            : _MAX_PART_BYTES if self._is_plain else FREE_BYTES
        ]
        self._unparsed = self._unparsed[len(part) :]
        self._parse(part)
        return len(part)

    def _take_turn(self) -> None:
        """Parse a part of what has been received."""
        self._waits_for_turn = False
        if self.transport is None:
            return
        self._parse_some(TURN_BYTES)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless what was received waits to be parsed."""
        if not self._waits_for_turn:
            super()._resume_transport_reading()

    def _parse(self, part: bytes) -> None:
        current = self._payload
        known_bytes = 0 if current is None else current.total_bytes
        ResponseHandler.data_received(self, part)
        if self._parser_may_stop and not self._reading_paused:
            # It may have stopped for a pause that is over.
            ResponseHandler.data_received(self, b'')
        body_bytes = sum(body.total_bytes for body in self._new_bodies)
        self._new_bodies.clear()
        if current is not None:
            body_bytes += current.total_bytes - known_bytes
        body = self._payload
        in_body = body is not None and not body.is_eof()
        if not in_body:
            self._is_plain = False
        if not self.framing_limit.record(
            len(part),
            body_bytes,
            count_field_lines(part, body_bytes),
            in_body=in_body,
        ):
            self.refuse('the response has no end')
        elif len(self) > _MAX_UNREAD_RESPONSES:
            self.refuse('there are too many responses')


@contextlib.asynccontextmanager
async def read_limited(
    response: aiohttp.ClientResponse, limit_bytes: int, rooms: FrameRooms
) -> AsyncIterator[bytearray]:
    """Yield the body of a response, with memory to parse it.

    Args:
        response: Response of which the head has been read.
        limit_bytes: Limit on the body.
        rooms: Counts the memory until the context ends.

    Raises:
        BodyTooLargeError: The body is larger than the limit.
    """
    text = bytearray()
    with contextlib.ExitStack() as held:
        is_over = (response.content_length or 0) > limit_bytes
        held_bytes = 0
        while not is_over and not response.content.at_eof():
            if len(text) >= held_bytes:
                held_bytes += _HELD_STEP_BYTES
                room = rooms.hold(_HELD_STEP_BYTES * _PARSED_FACTOR)
                held.callback(room.close)
            text += await response.content.read(held_bytes - len(text))
            is_over = len(text) > limit_bytes
        if is_over:
            response.close()
            raise BodyTooLargeError(
                f'the body is larger than {limit_bytes} bytes'
            )
        yield text
