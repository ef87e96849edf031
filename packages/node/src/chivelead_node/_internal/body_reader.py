"""Read the bodies of requests into memory that was taken for them."""

import asyncio
import io

from aiohttp import web
from chivelead_protocol import LARGE_FRAME_BYTES

from chivelead_node._internal import calls
from chivelead_node._internal.body_memory import BodyShare
from chivelead_node._internal.expectations import send_continue

_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503
_BODY_TIMEOUT_S = 10
# A caller may give up on a node that does not read its request for longer.
_MAX_WAIT_MS = 250.0


async def read_body(
    request: web.BaseRequest,
    share: BodyShare,
    limit_bytes: int,
    retry_after_ms: float,
) -> bytes:
    """Read the whole body of a request.

    Args:
        request: Request whose body has not been read.
        share: Takes the memory for the body.
        limit_bytes: Limit on the body.
        retry_after_ms: Wait of a caller that is refused for lack of memory.

    Raises:
        RefusedCallError: The body is too large, does not arrive in time, or
            there is no memory left for it.
    """
    announced_bytes = request.content_length or 0
    if announced_bytes > limit_bytes:
        raise _too_large(limit_bytes)
    if announced_bytes and not await share.wait_and_grow(
        announced_bytes, _MAX_WAIT_MS
    ):
        raise _no_memory(share, announced_bytes, retry_after_ms)
    send_continue(request)
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_S):
            if announced_bytes:
                return await _read_announced(request, announced_bytes)
            return await _read_chunks(
                request, share, limit_bytes, retry_after_ms
            )
    except TimeoutError as error:
        raise calls.refusal_error(
            _REQUEST_TIMEOUT,
            'slow-body',
            'the body did not come in time',
        ) from error


async def _read_announced(request: web.BaseRequest, size_bytes: int) -> bytes:
    if size_bytes <= LARGE_FRAME_BYTES:
        return await request.content.read()
    # A list of chunks would leave the heap fragmented.  Unlike a bytearray, the
    # contents become bytes without a copy.
    body = io.BytesIO()
    async for chunk in request.content.iter_any():
        body.write(chunk)
    return body.getvalue()


async def _read_chunks(
    request: web.BaseRequest,
    share: BodyShare,
    limit_bytes: int,
    retry_after_ms: float,
) -> bytes:
    body = io.BytesIO()
    async for chunk in request.content.iter_any():
        if body.tell() + len(chunk) > limit_bytes:
            raise _too_large(limit_bytes)
        # No wait: bodies that wait for each other would all be refused.
        if not share.grow(len(chunk)):
            raise _no_memory(share, len(chunk), retry_after_ms)
        body.write(chunk)
    return body.getvalue()


def _too_large(limit_bytes: int) -> calls.RefusedCallError:
    return calls.refusal_error(
        _TOO_LARGE,
        'body-too-large',
        f'a body has at most {limit_bytes} bytes',
    )


def _no_memory(
    share: BodyShare, size_bytes: int, retry_after_ms: float
) -> calls.RefusedCallError:
    return calls.refusal_error(
        _UNAVAILABLE,
        'memory',
        f'no memory left for {size_bytes} bytes: {share.describe()}',
        retry_after_ms=retry_after_ms,
    )
