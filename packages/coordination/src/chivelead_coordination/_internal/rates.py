"""Enforcement of the organisations' rate limits over the whole fleet.

Each limit has one coordinating node in each failure domain: the first owner of
shares there in the limit's rendezvous ranking.  It borrows the units of the
other owners in its failure domain, and as many as it needs from other failure
domains.  Ingress nodes, where calls enter the fleet, take tokens from the
coordinating node in small batches.

See ``ledger`` for units, tokens, loans and grants.
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
    ReturnUnits,
    TakeTokens,
    TokenGrant,
    UnitRequest,
    UnitsLent,
    now_ms,
    start_supervised,
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

# Smallest number of units to request from another failure domain.
_MIN_REQUEST_UNITS = TOTAL_UNITS // 8
_RENEWAL_PERIOD_S = 0.25
_MIN_RENEWAL_INTERVAL_MS = 500.0
_BORROW_TIMEOUT_MS = 120.0
_MIN_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 200.0
_MAX_ACCRUAL_WAIT_MS = 40.0
# Tokens kept when units are lent: the demand of this time, plus a minimum.
_RESERVE_MS = 100.0
_MIN_RESERVE_TOKENS = 1.5
# A node needs enough units for this multiple of the reported demand.
_DEMAND_FACTOR = 1.25
# A loan of another failure domain is returned if the other units are at least
# this multiple of the units needed.
_RETURN_THRESHOLD_FACTOR = 2.0
_IDLE_TIMEOUT_MS = 4000.0
# Time after a claim until loans made by the former owner have expired.
_FORMER_LOANS_EXPIRY_MS = lender_expiry_ms(0, LOAN_LEASE_MS)
_ID_BITS = 40
_MS_PER_S = 1000


@dataclasses.dataclass
class _BucketState:
    """State of one rate limit at this node.

    Attributes:
        last_request_ms: Time of the last request for tokens, or of the last
            attempt to borrow units nearby.
    """

    ledger: UnitLedger
    demand: DemandReports
    last_request_ms: float
    borrow_task: asyncio.Task[None] | None = None
    backoff_ms: float = 0.0
    backoff_until_ms: float = 0.0


class RateCoordinator:
    """Grant tokens, and lend and borrow units, for the rate limits.

    Args:
        membership: Members of the fleet and the shares they own.
        network: Links to the peers.
        ownership: Shares that this node owns.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        ownership: ShareOwnership,
    ) -> None:
        """Start without limits."""
        self._membership = membership
        self._network = network
        self._ownership = ownership
        self._buckets: dict[str, RateBucket] = {}
        self._states: dict[str, _BucketState] = {}
        self._ids = itertools.count(secrets.randbits(_ID_BITS))
        self._own_units = 0
        self._own_units_since_ms = 0.0
        self._limit_since_ms: dict[str, float] = {}
        self._renewed_ms: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._borrow_tasks: set[asyncio.Task[None]] = set()
        ownership.listen(self._update_own_units)

    async def start(self) -> None:
        """Start the task that renews and returns loans."""
        self._task = start_supervised('loans', self._renew_forever)

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in (self._task, *self._borrow_tasks):
            if task is not None:
                task.cancel()

    def apply(self, documents: DocumentSet) -> None:
        """Replace the limits by those of new documents."""
        time_ms = now_ms()
        for name, state in self._states.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                state.ledger.refill(time_ms, bucket)
        self._buckets = dict(documents.buckets)
        self._limit_since_ms = {
            name: self._limit_since_ms.get(name, time_ms)
            for name in self._buckets
        }
        for name in set(self._states) - set(self._buckets):
            self._states.pop(name)

    def ranked_owners(
        self,
        limit_name: str,
        failure_domain: str,
    ) -> tuple[str, ...]:
        """Return the owners in a domain, the coordinating node first."""
        return self._membership.share_owners(failure_domain, limit_name)

    async def handle_take_tokens(
        self, vm: str, message: TakeTokens
    ) -> TokenGrant:
        """Grant tokens to an ingress node."""
        bucket = self._buckets.get(message.bucket)
        if bucket is None:
            return TokenGrant(0, 0, 0, _MS_PER_S)
        state = self._state(message.bucket)
        time_ms = now_ms()
        state.ledger.settle_grants(time_ms, bucket, message.settled)
        state.last_request_ms = time_ms
        state.demand.record(time_ms, vm, message.demand_per_s)
        if state.ledger.refill(time_ms, bucket) < max(1, message.wanted):
            await self._borrow_missing(bucket, state, message.wanted)
        await self._wait_for_token(bucket, state)
        time_ms = now_ms()
        level = state.ledger.refill(time_ms, bucket)
        tokens = min(message.wanted, int(level))
        if tokens < 1:
            tokens_per_ms = max(bucket.rate_per_s, 1) / _MS_PER_S
            return TokenGrant(0, 0, 0, (1 - level) / tokens_per_ms)
        grant_id = state.ledger.grant(time_ms, tokens, message.waiting)
        return TokenGrant(grant_id, tokens, GRANT_LIFETIME_MS, 0)

    async def handle_borrow_units(
        self, vm: str, message: BorrowUnits
    ) -> UnitsLent:
        """Renew loans, and lend units that this node does not need."""
        lease_ms_by_loan = self._renew_outgoing_loans(vm, message.renew)
        loans: list[Loan] = []
        tokens_by_loan: dict[int, float] = {}
        for unit_request in message.requests:
            bucket = self._buckets.get(unit_request.bucket)
            if bucket is None:
                continue
            state = self._state(unit_request.bucket)
            if self._lendable_units(bucket, state) < unit_request.units:
                await self._borrow_nearby(bucket, state, vm)
            time_ms = now_ms()
            state.ledger.refill(time_ms, bucket)
            units = min(unit_request.units, self._lendable_units(bucket, state))
            units -= self._return_loans_to(
                vm, bucket, state, units, tokens_by_loan
            )
            loans.extend(state.ledger.lend(time_ms, units, vm, bucket))
        return UnitsLent(
            loans=tuple(loans),
            renewed=tuple(lease_ms_by_loan),
            renewed_lease_ms=tuple(lease_ms_by_loan.values()),
            returned=tuple(tokens_by_loan),
            returned_tokens=tuple(tokens_by_loan.values()),
        )

    def handle_return_units(self, vm: str, message: ReturnUnits) -> None:
        """Accept loans that a borrower returns before they expire."""
        self._accept_returns(vm, message.loan_ids, message.tokens)

    def _accept_returns(
        self,
        vm: str,
        loan_ids: tuple[int, ...],
        tokens: tuple[float, ...],
    ) -> None:
        time_ms = now_ms()
        for name, state in self._states.items():
            state.ledger.refill(time_ms, self._buckets[name])
            for loan_id, returned_tokens in zip(loan_ids, tokens, strict=True):
                state.ledger.accept_return(vm, loan_id, returned_tokens)

    def _return_loans_to(
        self,
        vm: str,
        bucket: RateBucket,
        state: _BucketState,
        units: int,
        tokens_by_loan: dict[int, float],
    ) -> int:
        """Return loans from the requesting node instead of lending to it.

        Adds the loans to ``tokens_by_loan``, with the tokens to send back.

        Returns:
            The number of units returned.
        """
        returned_units = 0
        for loan_id, loan_units, has_sub_loans in state.ledger.loans_from(vm):
            if has_sub_loans or returned_units + loan_units > units:
                continue
            tokens = state.ledger.return_loan(vm, loan_id, bucket)
            if tokens is not None:
                tokens_by_loan[loan_id] = tokens
                returned_units += loan_units
        return returned_units

    async def _wait_for_token(
        self,
        bucket: RateBucket,
        state: _BucketState,
    ) -> None:
        """Wait for the next token if it accrues soon."""
        level = state.ledger.refill(now_ms(), bucket)
        tokens_per_ms = (
            bucket.rate_per_s * state.ledger.units / TOTAL_UNITS / _MS_PER_S
        )
        if level >= 1 or tokens_per_ms <= 0:
            return
        wait_ms = (1 - level) / tokens_per_ms
        if wait_ms <= _MAX_ACCRUAL_WAIT_MS:
            await asyncio.sleep(wait_ms / _MS_PER_S)

    def _state(self, name: str) -> _BucketState:
        state = self._states.get(name)
        if state is None:
            # No token of this limit has been spent here yet, so tokens accrue
            # from the time at which this node got both the units and the limit.
            since_ms = max(self._own_units_since_ms, self._limit_since_ms[name])
            ledger = UnitLedger(TOTAL_UNITS, self._ids, since_ms)
            ledger.set_own_units(self._own_units)
            state = _BucketState(ledger, DemandReports(), now_ms())
            self._states[name] = state
        return state

    def _update_own_units(self) -> None:
        """Count the units of owned shares without loans by a former owner.

        A loan made by the former owner of a share may not have expired yet when
        this node claims the share.
        """
        time_ms = now_ms()
        shares = 0
        for share in self._ownership.owned:
            tenure = self._ownership.tenure(share)
            if tenure is None:
                continue
            remaining_ms = tenure.since_ms + _FORMER_LOANS_EXPIRY_MS - time_ms
            if tenure.is_first or remaining_ms <= 0:
                shares += 1
        units = shares * UNITS_PER_SHARE
        if units == self._own_units:
            return
        self._own_units = units
        self._own_units_since_ms = time_ms
        for name, state in self._states.items():
            state.ledger.refill(time_ms, self._buckets[name])
            state.ledger.set_own_units(units)

    def _needed_units(self, bucket: RateBucket, state: _BucketState) -> int:
        """Return the units needed for the demand reported to this node."""
        calls_per_s = state.demand.calls_per_s(now_ms())
        if calls_per_s < 1 / _MS_PER_S or bucket.rate_per_s <= 0:
            return 0
        fraction = calls_per_s * _DEMAND_FACTOR / bucket.rate_per_s
        return min(TOTAL_UNITS, int(fraction * TOTAL_UNITS) + 1)

    def _lendable_units(self, bucket: RateBucket, state: _BucketState) -> int:
        """Return the units that may be lent to other nodes.

        These are the units not needed for the demand.  If the level exceeds
        a reserve for the near future, they also include a fraction of the
        units that are needed.
        """
        ledger = state.ledger
        unneeded_units = ledger.units - self._needed_units(bucket, state)
        calls_per_s = state.demand.calls_per_s(now_ms())
        reserve_tokens = calls_per_s * _RESERVE_MS / _MS_PER_S
        if calls_per_s > 0:
            reserve_tokens += _MIN_RESERVE_TOKENS
        surplus_units = 0.0
        if ledger.level > reserve_tokens:
            surplus_units = ledger.units * (1 - reserve_tokens / ledger.level)
        return max(0, unneeded_units, int(surplus_units))

    async def _borrow_missing(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted_tokens: int,
    ) -> None:
        """Borrow missing units; concurrent callers share one attempt."""
        if state.borrow_task is None:
            if now_ms() < state.backoff_until_ms:
                return
            state.borrow_task = asyncio.create_task(
                self._borrow_once(bucket, state, wanted_tokens),
            )
            self._borrow_tasks.add(state.borrow_task)
            state.borrow_task.add_done_callback(self._borrow_tasks.discard)
        await asyncio.shield(state.borrow_task)

    async def _borrow_once(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted_tokens: int,
    ) -> None:
        try:
            await self._borrow_nearby(bucket, state, '')
            if state.ledger.refill(now_ms(), bucket) < wanted_tokens:
                await self._borrow_remote(bucket, state, wanted_tokens)
            enough = state.ledger.refill(now_ms(), bucket) >= wanted_tokens
            next_backoff_ms = min(_MAX_BACKOFF_MS, state.backoff_ms * 2)
            if enough:
                next_backoff_ms = 0
            state.backoff_ms = max(_MIN_BACKOFF_MS, next_backoff_ms)
            state.backoff_until_ms = now_ms() + state.backoff_ms
        finally:
            state.borrow_task = None

    async def _borrow_nearby(
        self,
        bucket: RateBucket,
        state: _BucketState,
        borrower: str,
    ) -> None:
        """Borrow all units that owners in this failure domain can lend.

        Args:
            bucket: Limit of the units.
            state: State of the limit.
            borrower: VM that asked this node for units, empty if none did.
        """
        own = self._membership.own
        state.last_request_ms = now_ms()
        owners = self.ranked_owners(bucket.name, own.failure_domain)
        if own.vm not in owners[:1] and borrower in owners:
            # The borrower is an owner in this failure domain as well, and
            # borrows from the other owners itself.
            return
        current_lenders = state.ledger.lenders()
        candidates = [
            vm
            for vm in owners
            if vm not in current_lenders and vm not in {own.vm, borrower}
        ]
        unit_requests = (UnitRequest(bucket.name, TOTAL_UNITS),)
        await asyncio.gather(
            *(self._request_loans(vm, unit_requests) for vm in candidates)
        )

    async def _borrow_remote(
        self,
        bucket: RateBucket,
        state: _BucketState,
        wanted_tokens: int,
    ) -> None:
        """Borrow needed units from coordinating nodes in other domains."""
        own = self._membership.own
        missing_tokens = wanted_tokens - state.ledger.level
        burst_units = (
            int(missing_tokens / bucket.burst_requests * TOTAL_UNITS) + 1
        )
        rate_units = self._needed_units(bucket, state) - state.ledger.units
        units = min(
            TOTAL_UNITS, max(_MIN_REQUEST_UNITS, burst_units, rate_units)
        )
        lenders = [
            self.ranked_owners(bucket.name, domain)[:1]
            for domain in self._ownership.failure_domains
            if domain != own.failure_domain
        ]
        unit_requests = (UnitRequest(bucket.name, units),)
        await asyncio.gather(
            *(
                self._request_loans(vm, unit_requests)
                for vm in itertools.chain(*lenders)
            ),
        )

    async def _request_loans(
        self,
        vm: str,
        unit_requests: tuple[UnitRequest, ...],
        renew: tuple[int, ...] = (),
    ) -> bool:
        requested_ms = now_ms()
        try:
            reply = await self._network.request(
                vm,
                BorrowUnits(unit_requests, renew),
                _BORROW_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('cannot borrow units from %s: %s', vm, error)
            return False
        self._apply_loans(vm, requested_ms, reply)
        return True

    def _apply_loans(
        self, vm: str, requested_ms: float, reply: UnitsLent
    ) -> None:
        time_ms = now_ms()
        self._accept_returns(vm, reply.returned, reply.returned_tokens)
        for loan in reply.loans:
            bucket = self._buckets.get(loan.bucket)
            if bucket is not None:
                ledger = self._state(loan.bucket).ledger
                ledger.refill(time_ms, bucket)
                ledger.add_loan(requested_ms, time_ms, vm, loan)
        leases = dict(zip(reply.renewed, reply.renewed_lease_ms, strict=True))
        for state in self._states.values():
            for loan_id, lease_ms in leases.items():
                state.ledger.extend_loan(requested_ms, vm, loan_id, lease_ms)

    def _renew_outgoing_loans(
        self, vm: str, loan_ids: Iterable[int]
    ) -> dict[int, float]:
        """Renew loans to a node and return their leases by loan ID."""
        lease_ms_by_loan = {}
        time_ms = now_ms()
        for loan_id in loan_ids:
            for name, state in self._states.items():
                bucket = self._buckets[name]
                if self._needed_units(bucket, state) > state.ledger.units:
                    continue
                lease_ms = state.ledger.renew_loan(time_ms, vm, loan_id)
                if lease_ms > 0:
                    lease_ms_by_loan[loan_id] = lease_ms
        return lease_ms_by_loan

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(_RENEWAL_PERIOD_S)
            self._update_own_units()
            try:
                await self._renew_or_return_loans()
            except ChiveleadError as error:
                logger.debug('cannot renew or return loans: %s', error)

    async def _renew_or_return_loans(self) -> None:
        to_renew: dict[str, list[int]] = collections.defaultdict(list)
        to_return: dict[str, list[int]] = collections.defaultdict(list)
        unit_requests: dict[str, list[UnitRequest]] = collections.defaultdict(
            list
        )
        for name, state in self._states.items():
            self._classify_loans(
                self._buckets[name], state, to_renew, to_return
            )
            self._find_missing_lenders(
                self._buckets[name], state, unit_requests
            )
        time_ms = now_ms()
        due = [
            vm
            for vm in {*to_renew, *unit_requests}
            if time_ms - self._renewed_ms.get(vm, 0) >= _MIN_RENEWAL_INTERVAL_MS
        ]
        for vm in due:
            self._renewed_ms[vm] = time_ms
        await asyncio.gather(
            *(
                self._request_loans(
                    vm, tuple(unit_requests[vm]), tuple(to_renew[vm])
                )
                for vm in due
            ),
            *(self._return_loans(vm, ids) for vm, ids in to_return.items()),
        )

    def _find_missing_lenders(
        self,
        bucket: RateBucket,
        state: _BucketState,
        unit_requests: dict[str, list[UnitRequest]],
    ) -> None:
        """Collect requests for owners in this domain that have lent nothing.

        They are added to ``unit_requests``, by the VM of the owner.  Only
        the coordinating node of a limit in use borrows from them.
        """
        own = self._membership.own
        owners = self.ranked_owners(bucket.name, own.failure_domain)
        is_active = now_ms() - state.last_request_ms < _IDLE_TIMEOUT_MS
        if not is_active or own.vm not in owners[:1]:
            return
        current_lenders = state.ledger.lenders()
        for vm in owners[1:]:
            if vm not in current_lenders:
                unit_requests[vm].append(UnitRequest(bucket.name, TOTAL_UNITS))

    def _classify_loans(
        self,
        bucket: RateBucket,
        state: _BucketState,
        to_renew: dict[str, list[int]],
        to_return: dict[str, list[int]],
    ) -> None:
        """Decide which loans to renew and which to return.

        Loans from this failure domain are kept while the limit is in use,
        loans from other domains only while they are needed.
        """
        ledger = state.ledger
        ledger.refill(now_ms(), bucket)
        is_active = (
            now_ms() - state.last_request_ms < _IDLE_TIMEOUT_MS
            or ledger.has_outgoing_loans
        )
        nearby_owners = set(
            self.ranked_owners(
                bucket.name,
                self._membership.own.failure_domain,
            ),
        )
        excess_units = (
            ledger.units
            - _RETURN_THRESHOLD_FACTOR * self._needed_units(bucket, state)
        )
        for vm in ledger.lenders():
            for loan_id, units, has_sub_loans in ledger.loans_from(vm):
                keep = (
                    is_active if vm in nearby_owners else excess_units < units
                )
                if keep or has_sub_loans:
                    to_renew[vm].append(loan_id)
                else:
                    excess_units -= units
                    to_return[vm].append(loan_id)

    async def _return_loans(self, vm: str, loan_ids: list[int]) -> None:
        tokens_by_loan = {}
        for name, state in self._states.items():
            for loan_id in loan_ids:
                tokens = state.ledger.return_loan(
                    vm,
                    loan_id,
                    self._buckets[name],
                )
                if tokens is not None:
                    tokens_by_loan[loan_id] = tokens
        if tokens_by_loan:
            await self._network.request(
                vm,
                ReturnUnits(
                    tuple(tokens_by_loan), tuple(tokens_by_loan.values())
                ),
                _BORROW_TIMEOUT_MS,
            )
