"""Replies to calls to the target of this node."""

from chivelead_policy import RefusalReason
from chivelead_protocol import CallReply, Headers, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.targets import TargetFailedError, TargetResponse

_NOT_MODIFIED = 304
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_DROPPED_RESPONSE_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'transfer-encoding',
        'content-length',
        'upgrade',
        'trailer',
        'te',
        'proxy-connection',
        'chivelead-outcome',
        'chivelead-token',
    ),
)


def reply_from_response(response: TargetResponse, *, shed: bool) -> CallReply:
    """Return the reply for a response of the target.

    Args:
        response: Complete response.
        shed: Whether the target refused the request for overload.
    """
    if shed:
        return calls.refusal_reply(
            calls.Refusal(
                _UNAVAILABLE,
                'target-overload',
                Outcome.not_run,
                'the target refused the request for overload',
            ),
        )
    return CallReply(
        status=response.status,
        headers=_forwarded_headers(response),
        body=response.body,
        outcome=Outcome.done,
        reason='',
        retry_allowance=0,
        shed_level=0,
        queue_ms=0,
        load=0,
        downstream_shed_level=0,
    )


def _forwarded_headers(response: TargetResponse) -> Headers:
    dropped = set(_DROPPED_RESPONSE_HEADERS)
    for name, header_value in response.headers:
        if name.lower() == 'connection':
            options = header_value.lower().split(',')
            dropped.update(option.strip() for option in options)
    if response.status == _NOT_MODIFIED or response.is_head:
        # The length of the body that is not sent.
        dropped.discard('content-length')
    return tuple(
        pair for pair in response.headers if pair[0].lower() not in dropped
    )


def admission_refusal_reply(reason: RefusalReason) -> CallReply:
    """Return the reply for a request that was not admitted."""
    details = {
        RefusalReason.overload: 'the target has no room for this request',
        RefusalReason.target_rate: 'the target takes no more requests a second',
        RefusalReason.deadline: 'the time left does not suffice',
        RefusalReason.draining: 'the target takes no new work',
        RefusalReason.suspended: 'the target has failed and is on trial',
    }
    status = _UNAVAILABLE
    if reason is RefusalReason.deadline:
        status = _GATEWAY_TIMEOUT
    return calls.refusal_reply(
        calls.Refusal(status, reason, Outcome.not_run, details[reason]),
    )


def withdrawn_reply() -> CallReply:
    """Return the reply for a call whose caller left before it was admitted."""
    return calls.refusal_reply(
        calls.Refusal(
            _UNAVAILABLE,
            'caller-gone',
            Outcome.not_run,
            'the caller sends nothing more',
        ),
    )


def timeout_reply() -> CallReply:
    """Return the reply if the target did not respond in time."""
    return calls.refusal_reply(
        calls.Refusal(
            _GATEWAY_TIMEOUT,
            'timeout',
            Outcome.unknown,
            'the target did not answer in time',
        ),
    )


def target_failure_reply(error: TargetFailedError) -> CallReply:
    """Return the reply if there is no complete response."""
    return calls.refusal_reply(
        calls.Refusal(
            _BAD_GATEWAY,
            'target-failed',
            Outcome.unknown if error.may_have_run else Outcome.not_run,
            'the target gave no whole answer',
        ),
    )
