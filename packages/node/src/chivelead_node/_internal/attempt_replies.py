"""Replies to attempts of calls, and what they mean for retries."""

import dataclasses

from chivelead_policy import FailedAttempt
from chivelead_protocol import CallReply, Outcome, loop_ms

from chivelead_node._internal import calls
from chivelead_node._internal.request_guard import HARMFUL_REQUEST

# Reasons of refusals that come from the target rather than from a node.
_REFUSALS_BY_TARGET = frozenset(('target-overload', 'target-refused'))

# Reasons of refusals after which no other target is tried.
_FINAL_REFUSALS = frozenset(('deadline', 'caller-gone', HARMFUL_REQUEST.reason))

# Reasons of failures that say nothing about the target.
DELIVERY_FAILURES = frozenset(
    ('unreachable', 'link-lost', 'not-encodable', 'timeout', 'memory'),
)


def make_failure(
    call: calls.Call, retries_done: int, reply: CallReply
) -> FailedAttempt:
    """Return what a retry policy needs to know of a failed attempt.

    Args:
        call: Call that the attempt belongs to.
        retries_done: Retries before the attempt.
        reply: Reply to the attempt.
    """
    return FailedAttempt(
        service=call.service,
        retries_done=retries_done,
        allowance=call.allowance.remaining,
        safe_to_retry=_is_safe_to_retry(call, reply),
        left_ms=call.deadline_ms - loop_ms(),
        arrived=_reached_target(reply),
    )


def is_failure(reply: CallReply) -> bool:
    """Return whether a reply is not the response of a target."""
    return reply.reason != ''


def with_uncertain_outcome(
    reply: CallReply, *, may_have_run: bool
) -> CallReply:
    """Make the outcome unknown if an earlier attempt may have run."""
    if may_have_run and reply.outcome == Outcome.not_run:
        return dataclasses.replace(reply, outcome=str(Outcome.unknown))
    return reply


def _reached_target(reply: CallReply) -> bool:
    """Return whether an attempt reached a target, even if it was refused."""
    return (
        reply.outcome != Outcome.not_run or reply.reason in _REFUSALS_BY_TARGET
    )


def _is_safe_to_retry(call: calls.Call, reply: CallReply) -> bool:
    if reply.reason in _FINAL_REFUSALS:
        return False
    return call.idempotent or reply.outcome == Outcome.not_run


def explain_failure(reply: CallReply) -> str:
    """Return what is known of a failure to deliver; empty for other ones."""
    if reply.reason not in DELIVERY_FAILURES:
        return ''
    return reply.body.decode(errors='replace')


def delivery_failure(
    status: int, reason: str, outcome: Outcome, cause: str = ''
) -> CallReply:
    """Return the reply to an attempt that was not delivered.

    Args:
        status: Status for the caller.
        reason: One of the reasons of such replies.
        outcome: Whether the request has run.
        cause: More on the reason; empty if nothing is known.
    """
    details = {
        'deadline': 'the time left does not suffice',
        'unreachable': "the target's node cannot be reached",
        'timeout': 'no answer came in time',
        'not-encodable': 'the request cannot be sent over a link',
        'memory': 'this node has no memory left for the answer',
        'link-lost': "the link to the target's node was lost",
    }
    detail = ': '.join(filter(None, (details[reason], cause)))
    return calls.refusal_reply(
        calls.Refusal(status, reason, outcome, detail),
    )
