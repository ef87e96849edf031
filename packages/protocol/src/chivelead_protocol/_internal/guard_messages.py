"""The messages about idempotency keys and their guards."""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.messages import CallReply


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
class GuardDecision:
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
