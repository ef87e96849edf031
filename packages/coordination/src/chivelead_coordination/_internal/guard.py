"""Idempotency keys: a call with a key runs at most once.

A key is hashed to a slot, and the node that owns the share with the number of
the slot (see ownership.py) is the only guard of the slot.  The guard records
the state of each key and decides whether a call may run.  A guard that has not
received the records of its predecessor cannot tell which keys were used before
it claimed the share.  It therefore rejects keys without a record until the
idempotency window, the time for which records are kept, has passed.
"""

import dataclasses
import hashlib

from chivelead_protocol import (
    CallReply,
    ChiveleadError,
    GuardBegin,
    GuardDecision,
    GuardEntry,
    GuardFinish,
    GuardHandover,
    LinkNotOpenError,
    Outcome,
    now_ms,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.ownership import (
    SHARE_COUNT,
    ShareOwnership,
    Tenure,
)
from chivelead_coordination._internal.rendezvous import stable_hash

_MAX_STORED_REPLY_BYTES = 65_536
_MAX_KEYS = 200_000
_REQUEST_TIMEOUT_MS = 400.0
_LEASE_TO_UNGUARDED_RATIO = 10
_MS_PER_S = 1000

RUN = 'run'
PENDING = 'pending'
DONE = 'done'
UNKNOWN = 'unknown'
MISMATCH = 'mismatch'
NOT_GUARD = 'not-guard'


@dataclasses.dataclass
class _KeyRecord:
    """What the guard knows of one idempotency key.

    Attributes:
        fingerprint: Hash of the request; another request with the same key
            is a mismatch.
        state: ``PENDING``, ``DONE`` or ``UNKNOWN``.
        claim_id: Claim for which the call runs; empty if the record was
            handed over.
        reply: Reply of a finished call; None if too large to be stored.
    """

    fingerprint: str
    state: str
    first_seen_ms: float
    claim_id: str = ''
    reply: CallReply | None = None


def hash_idempotency_key(organisation: str, service: str, key: str) -> str:
    """Return the digest that identifies a key in messages and records."""
    text = f'{organisation}\n{service}\n{key}'
    return hashlib.sha256(text.encode('utf-8', 'surrogateescape')).hexdigest()


def slot_for_key(key_digest: str) -> int:
    """Return the slot of a key, which is the number of a share."""
    return stable_hash(key_digest) % SHARE_COUNT


class KeyGuard:
    """Record the keys of the slots that this node guards.

    Args:
        ownership: Shares owned by this node.
        lease_s: Duration of the lease on the records of shares.

    Attributes:
        window_ms: Idempotency window: how long the record of a key is kept.
    """

    def __init__(self, ownership: ShareOwnership, lease_s: int) -> None:
        """Start without records."""
        self.window_ms = 120_000.0
        self._ownership = ownership
        self._lease_ms = lease_s * _MS_PER_S
        self._records: dict[tuple[int, str], _KeyRecord] = {}
        self._pending_handovers: dict[
            str, dict[tuple[int, str], _KeyRecord]
        ] = {}
        self._merged_handovers: set[str] = set()

    def begin(self, claim: GuardBegin) -> GuardDecision:
        """Decide whether a call may run; if so, record its key as pending."""
        tenure = self._ownership.tenure(claim.slot)
        if tenure is None:
            return GuardDecision(NOT_GUARD, None)
        self._merge_handover(tenure.handover_id)
        self._evict_expired()
        record_id = (claim.slot, claim.key_digest)
        record = self._records.get(record_id)
        if record is not None:
            return self._decision_for(record, claim)
        if (
            not self._has_full_history(tenure)
            or len(self._records) >= _MAX_KEYS
        ):
            return GuardDecision(UNKNOWN, None)
        self._records[record_id] = _KeyRecord(
            claim.fingerprint,
            PENDING,
            now_ms(),
            claim.claim_id,
        )
        return GuardDecision(RUN, None)

    def finish(self, report: GuardFinish) -> None:
        """Record the outcome of a call."""
        record_id = (report.slot, report.key_digest)
        record = self._records.get(record_id)
        if record is None or record.claim_id != report.claim_id:
            return
        reply = report.reply
        if reply.outcome == Outcome.not_run:
            self._records.pop(record_id)
        elif reply.outcome == Outcome.done:
            record.state = DONE
            if len(reply.body) <= _MAX_STORED_REPLY_BYTES:
                record.reply = reply
        else:
            record.state = UNKNOWN

    def export_records(
        self, slots: tuple[int, ...], handover_id: str
    ) -> GuardHandover:
        """Return a handover message for the next guard of the slots.

        It contains all records, not only those of the slots, and this guard
        keeps them.
        """
        time_ms = now_ms()
        entries = tuple(
            GuardEntry(
                slot=slot,
                key_digest=digest,
                fingerprint=record.fingerprint,
                state=record.state,
                age_ms=time_ms - record.first_seen_ms,
                reply=record.reply,
            )
            for (slot, digest), record in self._records.items()
        )
        return GuardHandover(slots, entries, handover_id)

    def import_records(self, handover: GuardHandover) -> None:
        """Keep a leaving guard's records until this node claims its shares."""
        time_ms = now_ms()
        self._pending_handovers[handover.handover_id] = {
            (entry.slot, entry.key_digest): _KeyRecord(
                fingerprint=entry.fingerprint,
                # The outcome of a pending call is reported to the old guard,
                # so this guard never learns it.
                state=UNKNOWN if entry.state == PENDING else entry.state,
                first_seen_ms=time_ms - entry.age_ms,
                reply=entry.reply,
            )
            for entry in handover.entries
        }

    def _merge_handover(self, handover_id: str) -> None:
        records = self._pending_handovers.pop(handover_id, None)
        if records is not None:
            self._records.update(records)
            self._merged_handovers.add(handover_id)

    def _has_full_history(self, tenure: Tenure) -> bool:
        """Return whether every key used within the window has a record."""
        # An owner stops using a share at 90% of its lease (ownership.py), so
        # no node guarded the slot in the last 10% before the record expired.
        unguarded_ms = self._lease_ms / _LEASE_TO_UNGUARDED_RATIO
        if tenure.is_first and self.window_ms <= unguarded_ms:
            return True
        if tenure.handover_id in self._merged_handovers:
            return True
        return now_ms() - tenure.since_ms > self.window_ms

    def _decision_for(
        self, record: _KeyRecord, claim: GuardBegin
    ) -> GuardDecision:
        if record.fingerprint != claim.fingerprint:
            return GuardDecision(MISMATCH, None)
        if record.state == DONE and record.reply is None:
            return GuardDecision(DONE, None)
        return GuardDecision(record.state, record.reply)

    def _evict_expired(self) -> None:
        """Remove expired records up to the first that has not expired."""
        cutoff_ms = now_ms() - self.window_ms
        while self._records:
            record_id = next(iter(self._records))
            if self._records[record_id].first_seen_ms > cutoff_ms:
                return
            self._records.pop(record_id)


class GuardClient:
    """Send claims on idempotency keys to the guards of their slots.

    Args:
        membership: Table of members and the shares they own.
        network: Sends requests to peers.
        guard: Guard of this node, called directly for its own slots.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        guard: KeyGuard,
    ) -> None:
        """Create a client; it opens no connection of its own."""
        self._membership = membership
        self._network = network
        self._guard = guard

    async def begin(
        self,
        key_digest: str,
        fingerprint: str,
        claim_id: str,
    ) -> GuardDecision:
        """Claim a key for a call and return whether the call may run.

        Raises:
            ChiveleadError: The guard did not reply, so the call must not
                run.
        """
        slot = slot_for_key(key_digest)
        claim = GuardBegin(slot, claim_id, key_digest, fingerprint)
        vm = self._guard_vm(slot)
        if vm == self._membership.own.vm:
            return self._guard.begin(claim)
        try:
            decision = await self._network.request(
                vm, claim, _REQUEST_TIMEOUT_MS
            )
        except ChiveleadError:
            await self._release_claim(vm, claim)
            raise
        if not isinstance(decision, GuardDecision):
            raise LinkNotOpenError(
                'claim the idempotency key',
                'the reply of the guard is not a decision',
            )
        return decision

    async def finish(
        self,
        key_digest: str,
        claim_id: str,
        reply: CallReply,
    ) -> None:
        """Report the outcome of a call to the guard of its key.

        If the report is lost, the key stays pending until its record expires.
        """
        slot = slot_for_key(key_digest)
        # The guard only notes that the rest of a larger one was there.
        report = GuardFinish(
            slot,
            claim_id,
            key_digest,
            dataclasses.replace(
                reply, body=reply.body[: _MAX_STORED_REPLY_BYTES + 1]
            ),
        )
        vm = self._guard_vm(slot)
        if vm == self._membership.own.vm:
            self._guard.finish(report)
            return
        try:
            await self._network.request(vm, report, _REQUEST_TIMEOUT_MS)
        except ChiveleadError:
            return

    def _guard_vm(self, slot: int) -> str:
        for member in self._membership.alive_members():
            if slot in member.shares:
                return member.vm
        raise LinkNotOpenError(
            'find the guard of the idempotency key',
            'no live node is its guard at present',
            'retry the request later',
        )

    async def _release_claim(self, vm: str, claim: GuardBegin) -> None:
        """Release a claim that the guard may have recorded without replying."""
        reply = CallReply(0, (), b'', Outcome.not_run, '', 0, 0, 0, 0, 0)
        try:
            await self._network.request(
                vm,
                GuardFinish(
                    claim.slot, claim.claim_id, claim.key_digest, reply
                ),
                _REQUEST_TIMEOUT_MS,
            )
        except ChiveleadError:
            return
