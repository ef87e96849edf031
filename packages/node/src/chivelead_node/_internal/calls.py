"""Data of calls on their way through a node."""

import dataclasses

from chivelead_protocol import CallReply, Headers, Outcome

HEADER_OUTCOME = 'Chivelead-Outcome'
HEADER_REQUEST_ID = 'Chivelead-Request-Id'
HEADER_TIMEOUT = 'Chivelead-Timeout-Ms'
HEADER_TOKEN = 'Chivelead-Token'  # noqa: S105
HEADER_ORGANISATION = 'Chivelead-Organisation'
HEADER_IDEMPOTENCY = 'Idempotency-Key'


@dataclasses.dataclass
class RetryAllowance:
    """Retries left for the calls of one parent; calls lend and return.

    Attributes:
        chain_level: Highest shed level met by the calls below.
    """

    remaining: int
    chain_level: float = 0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call to a service, with what it inherits from its root.

    Attributes:
        route: Names the route among those of its service.
        deadline_ms: Time of the loop at which the caller gives up.
        queue_limit_ms: Longest wait for admission; zero for no own bound.
    """

    request_id: str
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    organisation: str
    importance: int
    idempotent: bool
    deadline_ms: float
    allowance: RetryAllowance
    queue_limit_ms: float = 0


@dataclasses.dataclass(frozen=True)
class RunningRequest:
    """A request at this node's target, to which child calls belong."""

    request_id: str
    organisation: str
    importance: int
    deadline_ms: float
    allowance: RetryAllowance


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a node answers in place of a target.

    Attributes:
        reason: Code that callers can test.
        detail: One sentence for people.
    """

    status: int
    reason: str
    outcome: Outcome
    detail: str
    retry_after_ms: float = 0


class RefusedCallError(Exception):
    """A call ends with a refusal by this node."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.detail)
        self.refusal = refusal


def refusal_error(
    status: int,
    reason: str,
    detail: str,
    outcome: Outcome = Outcome.not_run,
    retry_after_ms: float = 0,
) -> RefusedCallError:
    """Return the error that ends a call with a refusal."""
    return RefusedCallError(
        Refusal(status, reason, outcome, detail, retry_after_ms),
    )


def refusal_reply(refusal: Refusal, allowance: int = 0) -> CallReply:
    """Return a refusal as a reply between nodes."""
    return CallReply(
        status=refusal.status,
        headers=(),
        body=refusal.detail.encode(),
        outcome=refusal.outcome,
        reason=refusal.reason,
        retry_allowance=allowance,
        shed_level=0,
        queue_ms=0,
        load=0,
        downstream_shed_level=0,
    )
