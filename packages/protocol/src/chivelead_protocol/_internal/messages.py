"""Messages that open links and carry calls."""

import dataclasses
import enum

from chivelead_protocol._internal.codec import message

Headers = tuple[tuple[str, str], ...]


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    done = 'done'
    not_run = 'not-run'
    unknown = 'unknown'


class TargetState(enum.StrEnum):
    """Lifecycle state of a target, as its node sees it."""

    starting = 'starting'
    ready = 'ready'
    # Takes one call at a time, until some of them have been answered.
    trial = 'trial'
    draining = 'draining'
    gone = 'gone'


@message(1)
@dataclasses.dataclass(frozen=True)
class Hello:
    """Handshake message of either end of a link.

    Attributes:
        vm: Name of the VM of the sender.
        nonce: Random bytes chosen by the sender for this link.
        proof: HMAC that covers both nonces; empty in the first message.
    """

    vm: str
    nonce: bytes
    proof: bytes


@message(2)
@dataclasses.dataclass(frozen=True)
class Ping:
    """Ask the peer for a ``Pong``, to check that the link works."""


@message(3)
@dataclasses.dataclass(frozen=True)
class Pong:
    """Reply to a ``Ping``."""


@message(4)
@dataclasses.dataclass(frozen=True)
class Failure:
    """Reply to a request that the peer could not handle.

    Attributes:
        reason: Error message in one line, for the log.
    """

    reason: str


@message(5)
@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """Reply without data: the request was accepted."""


@dataclasses.dataclass(frozen=True)
class TargetNotice:
    """What a target last said in its responses about the work that it takes.

    Attributes:
        target_id: ID of the target; may stay the same over a restart.
        started_ms: Unix time at which the target started; zero if unknown.
        rate_limit_per_s: Requests a second that it takes from all nodes
            together; None if it names no limit.
        is_leaving: Whether it is about to shut down.
    """

    target_id: str
    started_ms: int
    rate_limit_per_s: float | None
    is_leaving: bool


@message(10)
@dataclasses.dataclass(frozen=True)
class CallRequest:
    """One attempt of a call, from the caller's node to the target's.

    Attributes:
        route: Route that the call matched: its path in the documents, or its
            name in the traffic plan.
        timeout_ms: Time left for the call; at most the time left for the root
            request, the first request of its call chain.
        importance: 0 (shed first) to 9 (shed last).
        idempotent: Whether the call may safely run more than once.
        retry_allowance: Number of retries granted to downstream calls.
        queue_limit_ms: Longest wait for admission; zero if only the deadline
            limits it.
        notice: What the target on the receiving VM last said, as far as the
            sender knows; the receiver may have restarted since.
    """

    request_id: str
    attempt_id: str
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    organisation: str
    importance: int
    idempotent: bool
    timeout_ms: float
    retry_allowance: int
    queue_limit_ms: float
    notice: TargetNotice | None = None


@message(11)
@dataclasses.dataclass(frozen=True)
class CallReply:
    """The complete response to an attempt, or its refusal.

    Attributes:
        outcome: Value of an ``Outcome``.
        reason: Code of the refusal; empty for a response of the target.
        retry_allowance: Unused part of the allowance in the request.
        shed_level: Current threshold for load shedding.  Calls with an
            importance below its integer part are refused; its fractional part
            is the fraction refused of calls with exactly that importance.
        queue_ms: Current wait for admission.
        load: Requests running and waiting, divided by the concurrency limit.
        downstream_shed_level: Highest shed level met by downstream calls.
        notice: What the target says about the work that it takes; None if it
            says nothing.
    """

    status: int
    headers: Headers
    body: bytes
    outcome: str
    reason: str
    retry_allowance: int
    shed_level: float
    queue_ms: float
    load: float
    downstream_shed_level: float
    notice: TargetNotice | None = None


@message(12)
@dataclasses.dataclass(frozen=True)
class CallCancel:
    """Cancel an attempt because its caller has disconnected."""

    attempt_id: str
