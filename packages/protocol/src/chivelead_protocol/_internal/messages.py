"""The messages that open links and carry calls."""

import dataclasses
import enum

from chivelead_protocol._internal.codec import message

Headers = tuple[tuple[str, str], ...]


class Outcome(enum.StrEnum):
    """What is known about the run of a request."""

    done = 'done'
    not_run = 'not-run'
    unknown = 'unknown'


class TargetState(enum.StrEnum):
    """Life cycle of a target as its node sees it."""

    starting = 'starting'
    ready = 'ready'
    draining = 'draining'
    gone = 'gone'


@message(1)
@dataclasses.dataclass(frozen=True)
class Hello:
    """First message on a link: who connects, and a nonce.

    Attributes:
        proof: Empty in the first hello, then the HMAC over both nonces.
    """

    vm: str
    nonce: bytes
    proof: bytes


@message(2)
@dataclasses.dataclass(frozen=True)
class Ping:
    """Ask the peer for a sign of life."""


@message(3)
@dataclasses.dataclass(frozen=True)
class Pong:
    """Answer to a ping."""


@message(4)
@dataclasses.dataclass(frozen=True)
class Failure:
    """The peer could not handle a request.

    Attributes:
        reason: One line for the log.
    """

    reason: str


@message(5)
@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A request was taken in; there is nothing else to say."""


@message(10)
@dataclasses.dataclass(frozen=True)
class CallRequest:
    """One attempt of a call, from the caller's node to the target's.

    Attributes:
        route: Names the route among those of its service.
        timeout_ms: Time left until the deadline of the root request.
        importance: 0 (shed first) to 9 (shed last).
        idempotent: Whether the call may be repeated.
        retry_allowance: Retries lent to the calls below this one.
        queue_limit_ms: Longest wait for admission; zero for no own bound.
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


@message(11)
@dataclasses.dataclass(frozen=True)
class CallReply:
    """The answer to an attempt, whole, or the refusal of it.

    Attributes:
        outcome: An ``Outcome`` as text.
        reason: Empty for the target's own answer, else the refusal's code.
        retry_allowance: What is left of the lent allowance.
        shed_level: Classes of importance below its whole part are refused
            at present, and of the class itself the fraction after the point.
        queue_ms: Present wait for admission.
        load: Requests running and waiting over the concurrency limit.
        chain_level: The highest shed level met by the calls below.
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


@message(12)
@dataclasses.dataclass(frozen=True)
class CallCancel:
    """The caller of an attempt has gone."""

    attempt_id: str
