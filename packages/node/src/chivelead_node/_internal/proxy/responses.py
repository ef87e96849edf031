"""Conversion of call replies and refusals to HTTP responses."""

import random

from chivelead_protocol import CallReply, Headers, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.proxy.buffered_response import BufferedResponse

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000
# Jitter is added to Retry-After so that refused callers do not retry
# simultaneously.
_MIN_RETRY_AFTER_MS = 200.0
_MAX_RETRY_AFTER_JITTER_MS = 400.0


def add_jitter(wait_ms: float) -> float:
    """Return a random time between ``wait_ms`` and twice that."""
    return wait_ms * (1 + random.random())  # noqa: S311


def response_from_reply(reply: CallReply) -> BufferedResponse:
    """Return the HTTP response for a reply to a call."""
    if not reply.reason:
        return BufferedResponse(reply.status, reply.headers, reply.body)
    if reply.outcome == Outcome.not_run:
        retry_after_ms = max(_MIN_RETRY_AFTER_MS, reply.queue_ms)
        jitter_ms = random.random() * _MAX_RETRY_AFTER_JITTER_MS  # noqa: S311
        return response_from_refusal(
            calls.Refusal(
                _UNAVAILABLE,
                reply.reason,
                Outcome.not_run,
                reply.body.decode(errors='replace'),
                retry_after_ms + jitter_ms,
            ),
        )
    status = reply.status
    if status != _GATEWAY_TIMEOUT:
        status = _BAD_GATEWAY
    return response_from_refusal(
        calls.Refusal(
            status,
            reply.reason,
            Outcome.unknown,
            reply.body.decode(errors='replace'),
        ),
    )


def response_from_refusal(refusal: calls.Refusal) -> BufferedResponse:
    """Return the HTTP response for a refusal, with Retry-After if it is set."""
    headers: Headers = (('Content-Type', 'text/plain'),)
    if refusal.retry_after_ms > 0:
        wait_s = refusal.retry_after_ms / _MS_PER_S
        headers = (*headers, ('Retry-After', f'{wait_s:.2f}'))
    text = f'{refusal.reason}: {refusal.detail}\n'
    return BufferedResponse(refusal.status, headers, text.encode())
