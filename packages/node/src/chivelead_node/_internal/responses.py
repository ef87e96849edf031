"""Conversion of replies and refusals to HTTP responses."""

import json
from collections.abc import Iterable

from aiohttp import web
from chivelead_protocol import CallReply, GuardDecision, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.body_memory import BodyMemory
from chivelead_node._internal.counted_response import CountedResponse

_UNAUTHORISED = 401
_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_MS_PER_S = 1000


def recorded_reply(guard_decision: GuardDecision) -> CallReply:
    """Return the reply to a request whose idempotency key was sent before.

    This is the recorded reply to the earlier request.  If there is none, it is
    a refusal with the outcome as far as it is known.
    """
    if guard_decision.reply is not None:
        return guard_decision.reply
    reasons = {
        'pending': (_CONFLICT, 'in-progress', Outcome.unknown),
        'done': (_CONFLICT, 'done-before', Outcome.done),
        'unknown': (_CONFLICT, 'outcome-unknown', Outcome.unknown),
        'mismatch': (_UNPROCESSABLE, 'key-reused', Outcome.not_run),
    }
    status, reason, outcome = reasons[guard_decision.decision]
    return calls.refusal_reply(
        calls.Refusal(
            status,
            reason,
            outcome,
            'a request with this idempotency key was sent before',
        ),
    )


def response_from_reply(
    reply: CallReply, request_id: str, memory: BodyMemory
) -> web.Response:
    """Convert a reply message to an HTTP response.

    Args:
        reply: Reply to the call.
        request_id: ID of the request.
        memory: Counts the body until it is written.
    """
    if reply.reason:
        return problem_response(
            calls.Refusal(
                reply.status,
                reply.reason,
                Outcome(reply.outcome),
                reply.body.decode(errors='replace'),
                _retry_after_ms(reply),
            ),
            request_id,
        )
    response = CountedResponse(reply.status, reply.body, memory)
    _add_headers(response, reply.headers)
    response.headers[calls.HEADER_OUTCOME] = reply.outcome
    response.headers[calls.HEADER_REQUEST_ID] = request_id
    return response


def _retry_after_ms(reply: CallReply) -> float:
    return _MS_PER_S if reply.status == _UNAVAILABLE else 0


def _add_headers(
    response: web.Response,
    headers: Iterable[tuple[str, str]],
) -> None:
    response.headers.popall('Content-Type', None)
    for name, header_value in headers:
        response.headers.add(name, header_value)


def problem_response(refusal: calls.Refusal, request_id: str) -> web.Response:
    """Convert a refusal to a problem+json response (RFC 9457)."""
    problem = {
        'type': f'urn:chivelead:{refusal.reason}',
        'title': refusal.reason,
        'status': refusal.status,
        'detail': refusal.detail,
        'outcome': refusal.outcome,
        'request_id': request_id,
    }
    headers = {
        calls.HEADER_OUTCOME: str(refusal.outcome),
        calls.HEADER_REQUEST_ID: request_id,
    }
    if refusal.retry_after_ms > 0:
        wait_s = -(-refusal.retry_after_ms // _MS_PER_S)
        headers['Retry-After'] = f'{wait_s:.0f}'
    if refusal.status == _UNAUTHORISED:
        headers['WWW-Authenticate'] = 'Bearer'
    return web.Response(
        status=refusal.status,
        body=json.dumps(problem).encode(),
        headers=headers,
        content_type='application/problem+json',
    )
