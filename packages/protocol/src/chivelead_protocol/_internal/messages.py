"""The messages that chivelead processes exchange."""

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
    chain_level: float


@message(12)
@dataclasses.dataclass(frozen=True)
class CallCancel:
    """The caller of an attempt has gone."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class Member:
    """What the fleet knows of one node and its target.

    Attributes:
        boot_id: Random at each start of the process.
        incarnation: Grows whenever the node corrects what others say of it.
        version: Grows with each change made by the node itself.
        alive: False once the node left or was found dead.
        relay: Whether the node holds a relay key in the store.
        target_slots: Requests the target serves at once.
        target_connections: Connections the target accepts.
        shares: Numbers of the shares the node owns.
    """

    vm: str
    boot_id: str
    incarnation: int
    version: int
    alive: bool
    relay: bool
    host: str
    peer_port: int
    failure_domain: str
    region: str
    service: str
    target_state: str
    target_slots: int
    target_connections: int
    shares: tuple[int, ...]

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return the order in which news of a node replaces older news."""
        return (self.incarnation, self.version, not self.alive)


@message(20)
@dataclasses.dataclass(frozen=True)
class Gossip:
    """Changes of membership and the digest of what the sender knows.

    Attributes:
        table_digest: Order-independent hash over all members.
        config_version: Version of the documents in force at the sender.
    """

    members: tuple[Member, ...]
    table_digest: int
    config_version: int


@message(21)
@dataclasses.dataclass(frozen=True)
class MemberSummary:
    """Rank of each member the sender knows, to find what differs."""

    vms: tuple[str, ...]
    incarnations: tuple[int, ...]
    versions: tuple[int, ...]


@message(22)
@dataclasses.dataclass(frozen=True)
class MemberTable:
    """Members that the receiver asked for or lacks."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class DocumentText:
    """One document as its owner wrote it.

    Attributes:
        name: Such as ``service/stock``, ``organisation/mill-1``, ``fleet``.
        edit_id: The edit that brought this text.
    """

    name: str
    edit_id: str
    text: str


@message(30)
@dataclasses.dataclass(frozen=True)
class DocumentsPull:
    """Ask for the documents if the peer has newer ones.

    Attributes:
        names: Names of the documents the asker holds.
        edit_ids: For each name the edit the asker holds.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]


@message(31)
@dataclasses.dataclass(frozen=True)
class DocumentsUpdate:
    """The documents of one version; unchanged texts are left out.

    Attributes:
        names: All names in force at that version.
        edit_ids: For each name its edit.
        changed: Texts that the asker lacks.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]
    changed: tuple[DocumentText, ...]


@message(32)
@dataclasses.dataclass(frozen=True)
class DocumentsOffer:
    """Tell a peer that a newer version is to be had here."""

    version: int


@message(40)
@dataclasses.dataclass(frozen=True)
class TakeTokens:
    """Ask the meeting node of an organisation for tokens.

    Attributes:
        bucket: Name of the rate limit.
        wanted: Tokens asked for.
        waiting: Calls among them that wait for the answer; their tokens
            count as spent when they are granted.
        demand_per_s: Calls a second that enter at the asker.
        settled: Grants whose tokens are all spent or dropped.
    """

    bucket: str
    wanted: int
    waiting: int
    demand_per_s: float
    settled: tuple[int, ...]


@message(41)
@dataclasses.dataclass(frozen=True)
class TokenGrant:
    """Tokens that the asker may spend until the grant expires.

    Attributes:
        grant_id: Zero when nothing was granted.
        expires_in_ms: Counted by the asker from the time it asked.
        retry_after_ms: When to ask again, if nothing was granted.
    """

    grant_id: int
    tokens: int
    expires_in_ms: float
    retry_after_ms: float


@message(54)
@dataclasses.dataclass(frozen=True)
class SharesReleased:
    """Tell a successor that shares are free for it to claim.

    Attributes:
        handover_id: Stands in the store with the released shares.
    """

    shares: tuple[int, ...]
    handover_id: str


@dataclasses.dataclass(frozen=True)
class Need:
    """What a node lacks of one bucket.

    Attributes:
        units: Parts of the bucket's rate and burst asked for.
    """

    bucket: str
    units: int


@dataclasses.dataclass(frozen=True)
class Loan:
    """Parts of a bucket lent for a time, with the tokens that go along.

    Attributes:
        lease_ms: Counted by the borrower from the time it asked.
    """

    bucket: str
    loan_id: int
    units: int
    tokens: float
    lease_ms: float


@message(42)
@dataclasses.dataclass(frozen=True)
class BorrowUnits:
    """Ask a node for parts of buckets it does not need itself.

    Attributes:
        renew: Loans of this lender that the borrower wants to keep.
    """

    needs: tuple[Need, ...]
    renew: tuple[int, ...]


@message(43)
@dataclasses.dataclass(frozen=True)
class UnitsLent:
    """New and renewed loans, and loans of the asker that come back.

    Attributes:
        returned: Loans that the replier had from the asker.
        returned_tokens: For each of them the tokens that go along.
        renewed: Loans whose lease starts anew.
        renewed_lease_ms: For each renewed loan its lease from the request.
    """

    loans: tuple[Loan, ...]
    renewed: tuple[int, ...]
    renewed_lease_ms: tuple[float, ...]
    returned: tuple[int, ...]
    returned_tokens: tuple[float, ...]


@message(44)
@dataclasses.dataclass(frozen=True)
class ReturnUnits:
    """Give loans back before their lease ends."""

    loan_ids: tuple[int, ...]
    tokens: tuple[float, ...]


@message(50)
@dataclasses.dataclass(frozen=True)
class GuardBegin:
    """Ask the guard of an idempotency key whether the call may run.

    Attributes:
        claim_id: Names this attempt to run; only its holder may finish it.
    """

    slot: int
    claim_id: str
    key_digest: str
    fingerprint: str


@message(51)
@dataclasses.dataclass(frozen=True)
class GuardVerdict:
    """Decision of the guard.

    Attributes:
        decision: ``run``, ``pending``, ``done``, ``unknown``, ``mismatch``
            or ``not-guard``.
        answer: The recorded answer for ``done``.
    """

    decision: str
    answer: CallReply | None


@message(52)
@dataclasses.dataclass(frozen=True)
class GuardFinish:
    """Tell the guard how the call ended."""

    slot: int
    claim_id: str
    key_digest: str
    answer: CallReply


@dataclasses.dataclass(frozen=True)
class GuardEntry:
    """One remembered key, as it moves to the next guard.

    Attributes:
        age_ms: Time since the key was first seen.
    """

    slot: int
    key_digest: str
    fingerprint: str
    state: str
    age_ms: float
    answer: CallReply | None


@message(53)
@dataclasses.dataclass(frozen=True)
class GuardHandover:
    """Memory of the slots that a leaving guard hands to its successor."""

    slots: tuple[int, ...]
    entries: tuple[GuardEntry, ...]
    handover_id: str


@message(60)
@dataclasses.dataclass(frozen=True)
class StatusQuery:
    """Ask a node for its status."""


@message(61)
@dataclasses.dataclass(frozen=True)
class StatusReport:
    """Status of a node as its members and counters, as text pairs."""

    vm: str
    members: tuple[Member, ...]
    facts: tuple[tuple[str, str], ...]


@message(62)
@dataclasses.dataclass(frozen=True)
class TimelineQuery:
    """Ask a node for its recent events.

    Attributes:
        request_id: Only events of this request; all when empty.
        most: Number of events at the most.
    """

    request_id: str
    most: int


@dataclasses.dataclass(frozen=True)
class TimelineEvent:
    """One event of one node."""

    stamp: int
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]


@message(63)
@dataclasses.dataclass(frozen=True)
class TimelineEvents:
    """Recent events of a node, oldest first."""

    events: tuple[TimelineEvent, ...]


@message(64)
@dataclasses.dataclass(frozen=True)
class DrainRequest:
    """Ask a node to give its target no new work, or to resume."""

    draining: bool
