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
        claim_id: Identifies this claim to run the call; a ``GuardFinish``
            with another identifier does not change the record.
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
        decision: ``run`` if the call may run; ``pending``, ``done`` or
            ``unknown`` for the state of an earlier call with the key;
            ``unknown`` also if the guard cannot tell whether there was one
            or has no room for another key; ``mismatch`` if the key was used
            for another request; ``not-guard`` if the receiver is not the
            guard of the slot.
        reply: The recorded reply if the decision is ``done``; None if it was
            too large to be recorded.
    """

    decision: str
    reply: CallReply | None


@message(52)
@dataclasses.dataclass(frozen=True)
class GuardFinish:
    """Tell the guard of a key the result of the call with that key."""

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
        handover_id: Identifier that the sender also writes to the store
            records of the shares it releases.
    """

    slots: tuple[int, ...]
    entries: tuple[GuardEntry, ...]
    handover_id: str
