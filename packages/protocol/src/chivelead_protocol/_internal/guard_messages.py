"""Messages about idempotency keys.

The guard of a key is the one node that decides whether a call with that key
may run, and that records the result.  Keys are hashed into slots; the guard of
a slot is the node that owns the share with the same number.
"""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.messages import CallReply


@message(50)
@dataclasses.dataclass(frozen=True)
class GuardBegin:
    """Ask the guard of an idempotency key whether the call may run.

    Attributes:
        slot: Slot of the key.
        claim_id: Identifies this attempt to run the call; only a
            ``GuardFinish`` with the same identifier may end it.
        key_digest: Digest of the key.
        fingerprint: Digest of the request, to detect reuse of the key for
            another request.
    """

    slot: int
    claim_id: str
    key_digest: str
    fingerprint: str


@message(51)
@dataclasses.dataclass(frozen=True)
class GuardDecision:
    """Decision of the guard on a ``GuardBegin``.

    Attributes:
        decision: ``run``, ``pending``, ``done``, ``unknown``, ``mismatch``
            or ``not-guard``.
        reply: The recorded reply if the decision is ``done``.
    """

    decision: str
    reply: CallReply | None


@message(52)
@dataclasses.dataclass(frozen=True)
class GuardFinish:
    """Report the result of a call to the guard of its key."""

    slot: int
    claim_id: str
    key_digest: str
    reply: CallReply


@dataclasses.dataclass(frozen=True)
class GuardEntry:
    """The record of one key, as transferred to the next guard.

    Attributes:
        state: State of the call: ``pending``, ``done`` or ``unknown``.
        age_ms: Time since the key was first seen.
    """

    slot: int
    key_digest: str
    fingerprint: str
    state: str
    age_ms: float
    reply: CallReply | None


@message(53)
@dataclasses.dataclass(frozen=True)
class GuardHandover:
    """Key records of the slots that a leaving guard hands to its successor.

    Attributes:
        handover_id: Identifier stored with the released shares.
    """

    slots: tuple[int, ...]
    entries: tuple[GuardEntry, ...]
    handover_id: str
