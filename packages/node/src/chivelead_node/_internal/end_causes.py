"""Causes for which a request ends without the answer of a target."""

import enum


class EndCause(enum.StrEnum):
    """Why a request ended without the answer of a target.

    The list is closed: an end with any other cause counts as ``unlisted``,
    which is a fault of the node.
    """

    # The connection of the caller ended.
    caller_reset = 'caller-reset'
    request_incomplete = 'request-incomplete'
    behind_last_answer = 'behind-last-answer'
    answer_not_read = 'answer-not-read'
    input_refused = 'input-refused'
    node_stopped = 'node-stopped'
    # The node answered, though a target may have run the request.
    handler_failed = 'handler-failed'
    timeout = 'timeout'
    link_lost = 'link-lost'
    target_failed = 'target-failed'
    memory = 'memory'
    harmful_request = 'harmful-request'
    repeated_attempt = 'repeated-attempt'
    retry_refused = 'retry-refused'
    in_progress = 'in-progress'
    outcome_unknown = 'outcome-unknown'
    unlisted = 'unlisted'


# Of refusals, after which the outcome is unknown if an earlier attempt may
# have run.
_REFUSAL_REASONS = frozenset(
    (
        'caller-gone',
        'deadline',
        'draining',
        'no-target',
        'not-encodable',
        'overload',
        'suspected-request',
        'target-overload',
        'target-rate',
        'target-suspended',
        'unreachable',
    )
)


def find_cause(reason: str) -> EndCause:
    """Return the cause for which a reply with a reason ends a request.

    Args:
        reason: Reason of a reply whose outcome is unknown.
    """
    if reason in _REFUSAL_REASONS:
        return EndCause.retry_refused
    try:
        return EndCause(reason)
    except ValueError:
        return EndCause.unlisted
