"""Enforcement of the organisations' rates over the whole fleet.

Each limit meets at one node of a failure domain, which borrows the units of
the other owners there, and of other failure domains by need.  Nodes where
calls enter take tokens from the meeting node in small batches.
"""

import asyncio
import collections
import dataclasses
import itertools
import logging
import secrets
from collections.abc import Iterable

from chivelead_config import DocumentSet, RateBucket
from chivelead_protocol import (
    BorrowUnits,
    ChiveleadError,
    Loan,
    UnitRequest,
    ReturnUnits,
    TakeTokens,
    TokenGrant,
    UnitsLent,
    now_ms,
)

from chivelead_coordination._internal.demand import DemandReports
from chivelead_coordination._internal.ledger import (
    GRANT_LIFETIME_MS,
    LOAN_LEASE_MS,
    UNITS_PER_SHARE,
    UnitLedger,
    lender_expiry_ms,
)
from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.ownership import (
    SHARE_COUNT,
    ShareOwnership,
)

logger = logging.getLogger(__name__)

TOTAL_UNITS = SHARE_COUNT * UNITS_PER_SHARE

_ASK_LEAST = TOTAL_UNITS // 8
_PERIOD_S = 0.25
_RENEW_EVERY_MS = 500.0
_BORROW_TIMEOUT_MS = 120.0
_GATHER_PAUSE_MS = 50.0
_GATHER_PAUSE_MOST_MS = 200.0
_ACCRUAL_WAIT_MS = 40.0
_KEPT_MS = 100.0
_KEPT_LEAST = 1.5
_NEED_MARGIN = 1.25
_SPARE_MARGIN = 2.0
_IDLE_MS = 4000.0
_QUIET_MS = lender_expiry_ms(0, LOAN_LEASE_MS)
_ID_BITS = 40
_MS_PER_S = 1000


@dataclasses.dataclass
class _BucketState:
    """What this node keeps for one limit."""

    ledger: UnitLedger
    demand: DemandReports
    asked_ms: float
    gathering: asyncio.Task[None] | None = None
    pause_ms: float = 0.0
    pause_until_ms: float = 0.0


class RateCoordinator:
    """The node's part in the enforcement of rates.

    Args:
        membership: Tells who owns shares.
        network: Links to the peers.
        ownership: Shares of this node.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        ownership: ShareOwnership,
    ) -> None:
        """Start with no limits known."""
        self._membership = membership
        self._network = network
        self._ownership = ownership
        self._buckets: dict[str, RateBucket] = {}
        self._states: dict[str, _BucketState] = {}
        self._ids = itertools.count(secrets.randbits(_ID_BITS))
        self._own_units = 0
        self._units_since_ms = 0.0
        self._known_since_ms: dict[str, float] = {}
        self._renewed_ms: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._running: set[asyncio.Task[None]] = set()
        ownership.listen(self._count_own_units)

    async def start(self) -> None:
        """Begin to renew loans."""
        self._task = asyncio.create_task(self._renew_forever())

    async def close(self) -> None:
        """Stop."""
        for task in (self._task, *self._running):
            if task is not None:
                task.cancel()

    def apply(self, documents: DocumentSet) -> None:
        """Take in the limits of new documents."""
        time_ms = now_ms()
        for name, state in self._states.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                state.ledger.refill(time_ms, bucket)
        self._buckets = dict(documents.buckets)
        self._known_since_ms = {
            name: self._known_since_ms.get(name, time_ms)
            for name in self._buckets
        }
        for name in set(self._states) - set(self._buckets):
            self._states.pop(name)

    def meeting_nodes(
        self,
        bucket: str,
        failure_domain: str,
    ) -> tuple[str, ...]:
        """Return the owners in a failure domain in order of preference."""
        return self._membership.share_owners(failure_domain, bucket)

    async def answer_take(self, vm: str, ask: TakeTokens) -> TokenGrant:
        """Grant tokens to the node of a caller."""
        bucket = self._buckets.get(ask.bucket)
        if bucket is None:
            return TokenGrant(0, 0, 0, _MS_PER_S)
        state = self._state(ask.bucket)
        time_ms = now_ms()
        state.ledger.settle_grants(time_ms, bucket, ask.settled)
        state.asked_ms = time_ms
        state.demand.record(time_ms, vm, ask.demand_per_s)
        if state.ledger.refill(time_ms, bucket) < max(1, ask.wanted):
            await self._gather(bucket, state, ask.wanted)
        await self._wait_for_token(bucket, state)
        time_ms = now_ms()
        level = state.ledger.refill(time_ms, bucket)
        tokens = min(ask.wanted, int(level))
        if tokens < 1:
            tokens_per_ms = max(bucket.rate_per_s, 1) / _MS_PER_S
            return TokenGrant(0, 0, 0, (1 - level) / tokens_per_ms)
        grant_id = state.ledger.grant(time_ms, tokens, ask.waiting)
        return TokenGrant(grant_id, tokens, GRANT_LIFETIME_MS, 0)

    async def answer_borrow(self, vm: str, ask: BorrowUnits) -> UnitsLent:
        """Lend what this node does not need itself."""
        renewed = self._renew_for(vm, ask.renew)
        loans: list[Loan] = []
        returned: dict[int, float] = {}
        for need in ask.requests:
            bucket = self._buckets.get(need.bucket)
            if bucket is None:
                continue
            state = self._state(need.bucket)
            if self._spare(bucket, state) < need.units:
                await self._pool(bucket, state, vm)
            time_ms = now_ms()
            state.ledger.refill(time_ms, bucket)
            units = min(need.units, self._spare(bucket, state))
            units -= self._return_to(vm, bucket, state, units, returned)
            loans.extend(state.ledger.lend(time_ms, units, vm, bucket))
        return UnitsLent(
            loans=tuple(loans),
            renewed=tuple(renewed),
            renewed_lease_ms=tuple(renewed.values()),
            returned=tuple(returned),
            returned_tokens=tuple(returned.values()),
        )

    def answer_return(self, vm: str, returned: ReturnUnits) -> None:
        """Take units back."""
        self._take_back(vm, returned.loan_ids, returned.tokens)

    def _take_back(
        self,
        vm: str,
        loan_ids: tuple[int, ...],
        tokens: tuple[float, ...],
    ) -> None:
        time_ms = now_ms()
        for name, state in self._states.items():
            state.ledger.refill(time_ms, self._buckets[name])
            for loan_id, returned in zip(loan_ids, tokens, strict=True):
                state.ledger.accept_return(vm, loan_id, returned)

    def _return_to(
        self,
        vm: str,
        bucket: RateBucket,
        state: _BucketState,
        units: int,
        returned: dict[int, float],
    ) -> int:
        """Give the asker its own loans back before lending it others."""
        given = 0
        for loan_id, size, is_lent_on in state.ledger.loans_from(vm):
            if is_lent_on or given + size > units:
                continue
            tokens = state.ledger.return_loan(vm, loan_id, bucket)
            if tokens is not None:
                returned[loan_id] = tokens
                given += size
        return given

    async def _wait_for_token(
        self,
        bucket: RateBucket,
        state: _BucketState,
    ) -> None:
        """Wait if the next token accrues soon."""
        level = state.ledger.refill(now_ms(), bucket)
        tokens_per_ms = (
            bucket.rate_per_s * state.ledger.units / TOTAL_UNITS / _MS_PER_S
        )
        if level >= 1 or tokens_per_ms <= 0:
            return
        wait_ms = (1 - level) / tokens_per_ms
        if wait_ms <= _ACCRUAL_WAIT_MS:
            await asyncio.sleep(wait_ms / _MS_PER_S)

    def _state(self, name: str) -> _BucketState:
        state = self._states.get(name)
        if state is None:
            # Nothing was spent from the own units since they came.
            since_ms = max(self._units_since_ms, self._known_since_ms[name])
            ledger = UnitLedger(TOTAL_UNITS, self._ids, since_ms)
            ledger.set_own_units(self._own_units)
            state = _BucketState(ledger, DemandReports(), now_ms())
            self._states[name] = state
        return state

    def _count_own_units(self) -> None:
        """Count the shares that are free of loans by an earlier owner."""
        time_ms = now_ms()
        shares = 0
        for share in self._ownership.owned:
            tenure = self._ownership.tenure(share)
            if tenure is None:
                continue
            quiet_ms = tenure.since_ms + _QUIET_MS - time_ms
            if tenure.first or quiet_ms <= 0:
                shares += 1
        units = shares * UNITS_PER_SHARE
        if units == self._own_units:
            return
        self._own_units = units
        self._units_since_ms = time_ms
        for name, state in self._states.items():
            state.ledger.refill(time_ms, self._buckets[name])
            state.ledger.set_own_units(units)

    def _needed(self, bucket: RateBucket, state: _BucketState) -> int:
        """Return the units that calls through this node need."""
        calls_per_s = state.demand.calls_per_s(now_ms())
        if calls_per_s < 1 / _MS_PER_S or bucket.rate_per_s <= 0:
            return 0
        share = calls_per_s * _NEED_MARGIN / bucket.rate_per_s
        return min(TOTAL_UNITS, int(share * TOTAL_UNITS) + 1)

    def _spare(self, bucket: RateBucket, state: _BucketState) -> int:
        """Return the units that others may have.

        These are the units that the demand does not need, or, if the level
        lasts for a while without them, a part of the others too.
        """
        ledger = state.ledger
        idle = ledger.units - self._needed(bucket, state)
        calls_per_s = state.demand.calls_per_s(now_ms())
        kept = calls_per_s * _KEPT_MS / _MS_PER_S
        if calls_per_s > 0:
            kept += _KEPT_LEAST
        beyond = 0.0
        if ledger.level > kept:
            beyond = ledger.units * (1 - kept / ledger.level)
        return max(0, idle, int(beyond))

    async def _gather(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted: int,
    ) -> None:
        """Borrow for a shortage; callers at the same time share it."""
        if state.gathering is None:
            if now_ms() < state.pause_until_ms:
                return
            state.gathering = asyncio.create_task(
                self._gather_once(bucket, state, wanted),
            )
            self._running.add(state.gathering)
            state.gathering.add_done_callback(self._running.discard)
        await asyncio.shield(state.gathering)

    async def _gather_once(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted: int,
    ) -> None:
        try:
            await self._pool(bucket, state, '')
            if state.ledger.refill(now_ms(), bucket) < wanted:
                await self._borrow_afar(bucket, state, wanted)
            enough = state.ledger.refill(now_ms(), bucket) >= wanted
            longer_ms = min(_GATHER_PAUSE_MOST_MS, state.pause_ms * 2)
            if enough:
                longer_ms = 0
            state.pause_ms = max(_GATHER_PAUSE_MS, longer_ms)
            state.pause_until_ms = now_ms() + state.pause_ms
        finally:
            state.gathering = None

    async def _pool(
        self,
        bucket: RateBucket,
        state: _BucketState,
        borrower: str,
    ) -> None:
        """Borrow all that the owners of this failure domain can spare."""
        own = self._membership.own
        state.asked_ms = now_ms()
        names = self.meeting_nodes(bucket.name, own.failure_domain)
        if own.vm not in names[:1] and borrower in names:
            # Another node of this failure domain gathers the units.
            return
        have = state.ledger.lenders()
        others = [
            vm
            for vm in names
            if vm not in have and vm not in {own.vm, borrower}
        ]
        need = (UnitRequest(bucket.name, TOTAL_UNITS),)
        await asyncio.gather(*(self._borrow(vm, need) for vm in others))

    async def _borrow_afar(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted: int,
    ) -> None:
        """Ask the meeting nodes of other failure domains by need."""
        own = self._membership.own
        short = wanted - state.ledger.level
        burst_units = int(short / bucket.burst_requests * TOTAL_UNITS) + 1
        rate_units = self._needed(bucket, state) - state.ledger.units
        units = min(TOTAL_UNITS, max(_ASK_LEAST, burst_units, rate_units))
        lenders = [
            self.meeting_nodes(bucket.name, domain)[:1]
            for domain in self._ownership.failure_domains
            if domain != own.failure_domain
        ]
        need = (UnitRequest(bucket.name, units),)
        await asyncio.gather(
            *(self._borrow(vm, need) for vm in itertools.chain(*lenders)),
        )

    async def _borrow(
        self,
        vm: str,
        needs: tuple[UnitRequest, ...],
        renew: tuple[int, ...] = (),
    ) -> bool:
        asked_ms = now_ms()
        try:
            reply = await self._network.request(
                vm,
                BorrowUnits(needs, renew),
                _BORROW_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('borrow from %s: %s', vm, error)
            return False
        self._take_in(vm, asked_ms, reply)
        return True

    def _take_in(self, vm: str, asked_ms: float, reply: UnitsLent) -> None:
        time_ms = now_ms()
        self._take_back(vm, reply.returned, reply.returned_tokens)
        for loan in reply.loans:
            bucket = self._buckets.get(loan.bucket)
            if bucket is not None:
                ledger = self._state(loan.bucket).ledger
                ledger.refill(time_ms, bucket)
                ledger.add_loan(asked_ms, time_ms, vm, loan)
        leases = dict(zip(reply.renewed, reply.renewed_lease_ms, strict=True))
        for state in self._states.values():
            for loan_id, lease_ms in leases.items():
                state.ledger.extend_loan(asked_ms, vm, loan_id, lease_ms)

    def _renew_for(self, vm: str, loan_ids: Iterable[int]) -> dict[int, float]:
        renewed = {}
        time_ms = now_ms()
        for loan_id in loan_ids:
            for name, state in self._states.items():
                bucket = self._buckets[name]
                if self._needed(bucket, state) > state.ledger.units:
                    continue
                lease_ms = state.ledger.renew_loan(time_ms, vm, loan_id)
                if lease_ms > 0:
                    renewed[loan_id] = lease_ms
        return renewed

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_S)
            self._count_own_units()
            try:
                await self._renew_loans()
            except ChiveleadError as error:
                logger.debug('renew loans: %s', error)

    async def _renew_loans(self) -> None:
        wanted: dict[str, list[int]] = collections.defaultdict(list)
        unwanted: dict[str, list[int]] = collections.defaultdict(list)
        needs: dict[str, list[UnitRequest]] = collections.defaultdict(list)
        for name, state in self._states.items():
            self._sort_loans(self._buckets[name], state, wanted, unwanted)
            self._find_lenders(self._buckets[name], state, needs)
        time_ms = now_ms()
        due = [
            vm
            for vm in {*wanted, *needs}
            if time_ms - self._renewed_ms.get(vm, 0) >= _RENEW_EVERY_MS
        ]
        for vm in due:
            self._renewed_ms[vm] = time_ms
        await asyncio.gather(
            *(
                self._borrow(vm, tuple(needs[vm]), tuple(wanted[vm]))
                for vm in due
            ),
            *(self._give_back(vm, ids) for vm, ids in unwanted.items()),
        )

    def _find_lenders(
        self,
        bucket: RateBucket,
        state: _BucketState,
        needs: dict[str, list[UnitRequest]],
    ) -> None:
        """List the owners here from which this meeting node has nothing."""
        own = self._membership.own
        names = self.meeting_nodes(bucket.name, own.failure_domain)
        active = now_ms() - state.asked_ms < _IDLE_MS
        if not active or own.vm not in names[:1]:
            return
        have = state.ledger.lenders()
        for vm in names[1:]:
            if vm not in have:
                needs[vm].append(UnitRequest(bucket.name, TOTAL_UNITS))

    def _sort_loans(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted: dict[str, list[int]],
        unwanted: dict[str, list[int]],
    ) -> None:
        """Keep loans of this failure domain, others only by need."""
        ledger = state.ledger
        ledger.refill(now_ms(), bucket)
        active = (
            now_ms() - state.asked_ms < _IDLE_MS or ledger.has_outgoing_loans
        )
        near = set(
            self.meeting_nodes(
                bucket.name,
                self._membership.own.failure_domain,
            ),
        )
        spare = ledger.units - _SPARE_MARGIN * self._needed(bucket, state)
        for vm in ledger.lenders():
            for loan_id, units, is_lent_on in ledger.loans_from(vm):
                keep = active if vm in near else spare < units
                if keep or is_lent_on:
                    wanted[vm].append(loan_id)
                else:
                    spare -= units
                    unwanted[vm].append(loan_id)

    async def _give_back(self, vm: str, loan_ids: list[int]) -> None:
        returned = {}
        for name, state in self._states.items():
            for loan_id in loan_ids:
                tokens = state.ledger.return_loan(
                    vm,
                    loan_id,
                    self._buckets[name],
                )
                if tokens is not None:
                    returned[loan_id] = tokens
        if returned:
            await self._network.request(
                vm,
                ReturnUnits(tuple(returned), tuple(returned.values())),
                _BORROW_TIMEOUT_MS,
            )
