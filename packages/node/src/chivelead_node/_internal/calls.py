"""Data types of calls and refusals inside a node."""

import dataclasses

from chivelead_protocol import CallReply, Headers, Outcome

from chivelead_node._internal.body_memory import BodyShare

HEADER_OUTCOME = 'Chivelead-Outcome'
HEADER_REQUEST_ID = 'Chivelead-Request-Id'
HEADER_TIMEOUT = 'Chivelead-Timeout-Ms'
HEADER_TOKEN = 'Chivelead-Token'  # noqa: S105
HEADER_ORGANISATION = 'Chivelead-Organisation'
HEADER_IDEMPOTENCY = 'Idempotency-Key'


@dataclasses.dataclass
class RetryAllowance:
    """Retries left for all calls made on behalf of one request.

    Each attempt passes part of the allowance on to the called node, which
    returns the retries that its own calls have not used.

    Attributes:
        max_downstream_level: Highest shed level in the replies to these
            calls, including the levels of services that they called in turn.
    """

    remaining: int
    max_downstream_level: float = 0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call to a service, with the context of its root request.

    The root request is the one that an external caller sent.  The calls that
    targets make to serve it, its child calls, inherit its context.

    Attributes:
        route: Route that the call matched: its path in the documents, or its
            name in the traffic plan.
        path: Path and query string of the request.
        deadline_ms: Event loop time at which the caller gives up.
        queue_limit_ms: Maximum wait for admission; zero if only the deadline
            limits it.
        body_share: Memory that is counted for the body, if it is counted.
        attempted_vms: VMs that the call was sent to, in order.
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
    body_share: BodyShare | None = None
    attempted_vms: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class RunningRequest:
    """A request running at the target; child calls inherit from it."""

    request_id: str
    organisation: str
    importance: int
    deadline_ms: float
    allowance: RetryAllowance


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A rejection of a call by a node, in place of a response from a target.

    Attributes:
        reason: Machine-readable code.
        detail: Human-readable explanation.
    """

    status: int
    reason: str
    outcome: Outcome
    detail: str
    retry_after_ms: float = 0


class RefusedCallError(Exception):
    """This node refuses a call."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal."""
        super().__init__(refusal.detail)
        self.refusal = refusal


def refusal_error(
    status: int,
    reason: str,
    detail: str,
    outcome: Outcome = Outcome.not_run,
    retry_after_ms: float = 0,
) -> RefusedCallError:
    """Build the error that ends a call with a refusal."""
    return RefusedCallError(
        Refusal(status, reason, outcome, detail, retry_after_ms),
    )


def refusal_reply(refusal: Refusal, allowance: int = 0) -> CallReply:
    """Convert a refusal to a reply message."""
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
