"""At most one run for each idempotency key.

Each key belongs to a slice by its hash, and the owner of the share with the
slice's number is its only guard.  A guard whose predecessor's memory is
lost cannot vouch for keys that were first sent before its tenure, so for the
length of the window it refuses keys it does not know.
"""

import dataclasses
import hashlib

from chivelead_protocol import (
    CallReply,
    ChiveleadError,
    GuardBegin,
    GuardEntry,
    GuardFinish,
    GuardHandover,
    GuardVerdict,
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

_KEPT_ANSWER_BYTES = 65_536
_KEYS_MOST = 200_000
_TIMEOUT_MS = 400.0
_FIRST_GAP_FACTOR = 10
_MS_PER_S = 1000

RUN = 'run'
PENDING = 'pending'
DONE = 'done'
UNKNOWN = 'unknown'
MISMATCH = 'mismatch'
NOT_GUARD = 'not-guard'


@dataclasses.dataclass
class _Remembered:
    fingerprint: str
    state: str
    first_seen_ms: float
    claim_id: str = ''
    answer: CallReply | None = None


def key_of(organisation: str, service: str, key: str) -> str:
    """Return the digest under which a key is remembered."""
    text = f'{organisation}\n{service}\n{key}'
    return hashlib.sha256(text.encode()).hexdigest()


def slice_of(key_digest: str) -> int:
    """Return the number of the slice, which is that of its share."""
    return stable_hash(key_digest) % SHARE_COUNT


class KeyGuard:
    """Remember the keys of the slices that this node guards.

    Args:
        ownership: Shares of this node.
        lease_s: Lease of a share's record.
    """

    def __init__(self, ownership: ShareOwnership, lease_s: int) -> None:
        """Start with no memory."""
        self.window_ms = 120_000.0
        self._ownership = ownership
        self._lease_ms = lease_s * _MS_PER_S
        self._memory: dict[tuple[int, str], _Remembered] = {}
        self._handed_over: dict[str, dict[tuple[int, str], _Remembered]] = {}
        self._absorbed: set[str] = set()

    def begin(self, ask: GuardBegin) -> GuardVerdict:
        """Decide whether a call may run, and remember that it does."""
        tenure = self._ownership.tenure(ask.slot)
        if tenure is None:
            return GuardVerdict(NOT_GUARD, None)
        self._absorb(tenure.handover_id)
        self._forget_old()
        place = (ask.slot, ask.key_digest)
        known = self._memory.get(place)
        if known is not None:
            return self._recall(known, ask)
        if not self._vouches(tenure) or len(self._memory) >= _KEYS_MOST:
            return GuardVerdict(UNKNOWN, None)
        self._memory[place] = _Remembered(
            ask.fingerprint,
            PENDING,
            now_ms(),
            ask.claim_id,
        )
        return GuardVerdict(RUN, None)

    def finish(self, finish: GuardFinish) -> None:
        """Note how a call ended."""
        place = (finish.slot, finish.key_digest)
        known = self._memory.get(place)
        if known is None or known.claim_id != finish.claim_id:
            return
        answer = finish.answer
        if answer.outcome == Outcome.not_run:
            self._memory.pop(place)
        elif answer.outcome == Outcome.done:
            known.state = DONE
            if len(answer.body) <= _KEPT_ANSWER_BYTES:
                known.answer = answer
        else:
            known.state = UNKNOWN

    def export(self, slots: tuple[int, ...], name: str) -> GuardHandover:
        """Return the memory of slices for their next guard, and drop it."""
        time_ms = now_ms()
        entries = tuple(
            GuardEntry(
                slot=slot,
                key_digest=digest,
                fingerprint=known.fingerprint,
                state=known.state,
                age_ms=time_ms - known.first_seen_ms,
                answer=known.answer,
            )
            for (slot, digest), known in self._memory.items()
        )
        return GuardHandover(slots, entries, name)

    def import_memory(self, handover: GuardHandover) -> None:
        """Keep the memory of a leaving guard until the slices are claimed."""
        time_ms = now_ms()
        self._handed_over[handover.handover_id] = {
            (entry.slot, entry.key_digest): _Remembered(
                fingerprint=entry.fingerprint,
                # Whoever ran it reports to the guard that has gone.
                state=UNKNOWN if entry.state == PENDING else entry.state,
                first_seen_ms=time_ms - entry.age_ms,
                answer=entry.answer,
            )
            for entry in handover.entries
        }

    def _absorb(self, handover_id: str) -> None:
        handed = self._handed_over.pop(handover_id, None)
        if handed is not None:
            self._memory.update(handed)
            self._absorbed.add(handover_id)

    def _vouches(self, tenure: Tenure) -> bool:
        """Tell whether unknown keys were never seen by an earlier guard."""
        gap_ms = self._lease_ms / _FIRST_GAP_FACTOR
        if tenure.is_first and self.window_ms <= gap_ms:
            return True
        if tenure.handover_id in self._absorbed:
            return True
        return now_ms() - tenure.since_ms > self.window_ms

    def _recall(self, known: _Remembered, ask: GuardBegin) -> GuardVerdict:
        if known.fingerprint != ask.fingerprint:
            return GuardVerdict(MISMATCH, None)
        if known.state == DONE and known.answer is None:
            return GuardVerdict(DONE, None)
        return GuardVerdict(known.state, known.answer)

    def _forget_old(self) -> None:
        """Drop entries past the window; the oldest stand first."""
        horizon_ms = now_ms() - self.window_ms
        while self._memory:
            place = next(iter(self._memory))
            if self._memory[place].first_seen_ms > horizon_ms:
                return
            self._memory.pop(place)


class GuardClient:
    """Reach the guard of a key from the node where the call entered.

    Args:
        membership: Tells who owns which share.
        network: Links to the peers.
        guard: The guard of this node.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        guard: KeyGuard,
    ) -> None:
        """Keep the parts."""
        self._membership = membership
        self._network = network
        self._guard = guard

    async def begin(
        self,
        key_digest: str,
        fingerprint: str,
        claim_id: str,
    ) -> GuardVerdict:
        """Ask whether a call may run.

        Raises:
            ChiveleadError: The guard cannot be reached, so the call must
                not run.
        """
        slot = slice_of(key_digest)
        ask = GuardBegin(slot, claim_id, key_digest, fingerprint)
        vm = self._guard_of(slot)
        if vm == self._membership.own.vm:
            return self._guard.begin(ask)
        try:
            verdict = await self._network.request(vm, ask, _TIMEOUT_MS)
        except ChiveleadError:
            await self._withdraw(vm, ask)
            raise
        if not isinstance(verdict, GuardVerdict):
            raise LinkNotOpenError('ask the guard', 'not a verdict')
        return verdict

    async def finish(
        self,
        key_digest: str,
        claim_id: str,
        answer: CallReply,
    ) -> None:
        """Tell the guard how the call ended; a loss leaves it pending."""
        slot = slice_of(key_digest)
        finish = GuardFinish(slot, claim_id, key_digest, answer)
        vm = self._guard_of(slot)
        if vm == self._membership.own.vm:
            self._guard.finish(finish)
            return
        try:
            await self._network.request(vm, finish, _TIMEOUT_MS)
        except ChiveleadError:
            return

    def _guard_of(self, slot: int) -> str:
        for member in self._membership.alive():
            if slot in member.shares:
                return member.vm
        raise LinkNotOpenError(
            'find the guard of the idempotency key',
            'no reachable node guards it at present',
            'send the request again later',
        )

    async def _withdraw(self, vm: str, ask: GuardBegin) -> None:
        """Free a key that the guard may have taken for running."""
        answer = CallReply(0, (), b'', Outcome.not_run, '', 0, 0, 0, 0, 0)
        try:
            await self._network.request(
                vm,
                GuardFinish(ask.slot, ask.claim_id, ask.key_digest, answer),
                _TIMEOUT_MS,
            )
        except ChiveleadError:
            return
