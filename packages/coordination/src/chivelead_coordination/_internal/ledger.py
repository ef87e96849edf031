"""Exact accounting of the units, tokens and loans of a rate limit at a node.

The rate and burst of a limit are divided into equal units, which the owners
of shares hold.  A unit is used by one node at a time: its owner, or the
borrower of a loan until the loan expires.  A borrower may lend the units of a
loan further, in a sub-loan that expires before the loan.  A node accrues
tokens for the units it may use, up to their fraction of the burst.  Units and
tokens are subtracted at the sender before they are sent, so the tokens in the
fleet never exceed the burst and never grow faster than the rate.

A grant passes tokens without units to an ingress node, one where calls enter
the fleet, which spends them before the grant expires.  The ingress node
settles a grant once none of its tokens can be spent any more.  Until then, or
until the grant expires, tokens that were not for waiting calls stay reserved:
they count towards the burst.

Times are in milliseconds on the event loop's clock.  A loan expires at the
borrower before it expires at the lender: the borrower counts the lease from
the time of its request; the lender counts it from its reply, and adds a margin
for clock drift.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from chivelead_config import RateBucket
from chivelead_protocol import Loan

UNITS_PER_SHARE = 16384
GRANT_LIFETIME_MS = 250.0
LOAN_LEASE_MS = 2500.0
CLOCK_MARGIN_MS = 50.0
_CLOCK_DRIFT_FACTOR = 1.01
_MIN_LOAN_LEASE_MS = 250.0
_MS_PER_S = 1000
_OWN_SOURCE_ID = 0


@dataclasses.dataclass
class _UnitSource:
    """Units from one source: the shares of this node, or one loan."""

    units: int
    expires_ms: float
    lent_units: int = 0

    @property
    def available_units(self) -> int:
        return self.units - self.lent_units


@dataclasses.dataclass
class _OutgoingLoan:
    """A loan of units to another node."""

    borrower: str
    units: int
    expires_ms: float
    source_id: int


@dataclasses.dataclass
class _OpenGrant:
    """A grant that is not settled, so its tokens may still be spent."""

    tokens: int
    expires_ms: float


def lender_expiry_ms(now_ms: float, lease_ms: float) -> float:
    """Return when a lease that starts now expires at the lender."""
    return now_ms + lease_ms * _CLOCK_DRIFT_FACTOR + CLOCK_MARGIN_MS


class UnitLedger:
    """Units, tokens and loans of one rate limit at one node.

    Args:
        total_units: Number of units in the whole fleet.
        ids: IDs for loans and grants, unique at this node.
        now_ms: Time from which tokens accrue.

    Attributes:
        level: Tokens that this node may spend, grant or lend; tokens accrued
            since the last ``refill`` are not included.
    """

    def __init__(
        self,
        total_units: int,
        ids: Iterable[int],
        now_ms: float,
    ) -> None:
        """Start with no units."""
        self.level = 0.0
        self._total_units = total_units
        self._ids = iter(ids)
        self._sources = {_OWN_SOURCE_ID: _UnitSource(0, float('inf'))}
        self._borrowed_sources: dict[tuple[str, int], int] = {}
        self._outgoing_loans: dict[int, _OutgoingLoan] = {}
        self._open_grants: dict[int, _OpenGrant] = {}
        self._source_ids = itertools.count(1)
        self._updated_ms = now_ms

    @property
    def units(self) -> int:
        """Return the units that this node may use, as of the last refill."""
        return sum(source.available_units for source in self._sources.values())

    @property
    def has_outgoing_loans(self) -> bool:
        """Return whether other nodes hold units lent by this node."""
        return bool(self._outgoing_loans)

    @property
    def reserved_tokens(self) -> int:
        """Return the granted tokens that ingress nodes may still spend."""
        return sum(grant.tokens for grant in self._open_grants.values())

    def set_own_units(self, units: int) -> None:
        """Set the units of the shares that this node owns."""
        self._sources[_OWN_SOURCE_ID].units = units

    def spend(self, tokens: int) -> None:
        """Spend tokens for calls that enter at this node."""
        self.level -= tokens

    def refill(self, now_ms: float, bucket: RateBucket) -> float:
        """Update the level to the given time and return it.

        A loan or grant that has expired since the last refill counts towards
        the burst until its expiry, so tokens accrue from expiry to expiry.
        """
        for expiry_ms in self._expiries_until(now_ms):
            self._accrue(expiry_ms, bucket)
            self._expire(expiry_ms)
        self._accrue(now_ms, bucket)
        return self.level

    def grant(self, now_ms: float, tokens: int, waiting_calls: int) -> int:
        """Grant tokens to an ingress node and return the ID of the grant.

        Tokens for waiting calls count as spent; the others stay reserved.
        """
        grant_id = next(self._ids)
        self.level -= tokens
        if tokens > waiting_calls:
            expires_ms = lender_expiry_ms(now_ms, GRANT_LIFETIME_MS)
            self._open_grants[grant_id] = _OpenGrant(
                tokens - waiting_calls, expires_ms
            )
        return grant_id

    def settle_grants(
        self,
        now_ms: float,
        bucket: RateBucket,
        grant_ids: Iterable[int],
    ) -> None:
        """Release the part of the burst that the given grants reserved."""
        self.refill(now_ms, bucket)
        for grant_id in grant_ids:
            self._open_grants.pop(grant_id, None)

    def lend(
        self,
        now_ms: float,
        wanted_units: int,
        borrower: str,
        bucket: RateBucket,
    ) -> tuple[Loan, ...]:
        """Lend up to ``wanted_units``, as one loan from each source used."""
        loans = []
        wanted_units = min(wanted_units, self._unreserved_units(bucket))
        for source_id in sorted(self._sources, key=self._by_latest_expiry):
            units = min(wanted_units, self._sources[source_id].available_units)
            lease_ms = self._max_lease_ms(source_id, now_ms)
            if units > 0 and lease_ms >= _MIN_LOAN_LEASE_MS:
                loans.append(
                    self._lend_from(
                        source_id,
                        units,
                        _OutgoingLoan(
                            borrower, units, now_ms + lease_ms, source_id
                        ),
                        bucket,
                    ),
                )
                wanted_units -= units
        return tuple(
            dataclasses.replace(loan, lease_ms=self._start_lease(loan, now_ms))
            for loan in loans
        )

    def renew_loan(self, now_ms: float, borrower: str, loan_id: int) -> float:
        """Renew a loan and return its new lease, or 0 if that is impossible."""
        outgoing = self._outgoing_loans.get(loan_id)
        if outgoing is None or outgoing.borrower != borrower:
            return 0
        if outgoing.expires_ms <= now_ms:
            return 0
        lease_ms = self._max_lease_ms(outgoing.source_id, now_ms)
        expires_ms = lender_expiry_ms(now_ms, lease_ms)
        if lease_ms < _MIN_LOAN_LEASE_MS:
            return 0
        outgoing.expires_ms = max(outgoing.expires_ms, expires_ms)
        return lease_ms

    def accept_return(self, borrower: str, loan_id: int, tokens: float) -> None:
        """End a loan that the borrower has returned."""
        outgoing = self._outgoing_loans.get(loan_id)
        if outgoing is not None and outgoing.borrower == borrower:
            self._end_outgoing_loan(loan_id)
            self.level += max(0.0, tokens)

    def add_loan(
        self,
        requested_ms: float,
        now_ms: float,
        lender: str,
        loan: Loan,
    ) -> None:
        """Add a loan that was requested at ``requested_ms``.

        A loan that arrives after its expiry is dropped with its tokens, since
        the lender may already accrue tokens for the same units again.
        """
        expires_ms = _borrower_expiry_ms(requested_ms, loan.lease_ms)
        if expires_ms <= now_ms:
            return
        source_id = next(self._source_ids)
        self._sources[source_id] = _UnitSource(loan.units, expires_ms)
        self._borrowed_sources[(lender, loan.loan_id)] = source_id
        self.level += loan.tokens

    def extend_loan(
        self,
        requested_ms: float,
        lender: str,
        loan_id: int,
        lease_ms: float,
    ) -> None:
        """Apply the renewal of a loan requested at ``requested_ms``."""
        source_id = self._borrowed_sources.get((lender, loan_id))
        if source_id is not None and lease_ms > 0:
            source = self._sources[source_id]
            source.expires_ms = max(
                source.expires_ms, _borrower_expiry_ms(requested_ms, lease_ms)
            )

    def loans_from(self, lender: str) -> list[tuple[int, int, bool]]:
        """Return (ID, units, has sub-loans) of each loan from a lender."""
        return [
            (
                loan_id,
                self._sources[source_id].units,
                self._sources[source_id].lent_units > 0,
            )
            for (node, loan_id), source_id in self._borrowed_sources.items()
            if node == lender
        ]

    def lenders(self) -> set[str]:
        """Return the nodes from which this node has borrowed."""
        return {lender for lender, _ in self._borrowed_sources}

    def return_loan(
        self,
        lender: str,
        loan_id: int,
        bucket: RateBucket,
    ) -> float | None:
        """Remove a borrowed loan and return the tokens to send back with it.

        Returns:
            None if there is no such loan, or if its units are still needed
            for open grants or for loans to other nodes.
        """
        source_id = self._borrowed_sources.get((lender, loan_id))
        if source_id is None or self._sources[source_id].lent_units:
            return None
        units = self.units
        if self._sources[source_id].units > self._unreserved_units(bucket):
            return None
        source = self._sources.pop(source_id)
        self._borrowed_sources.pop((lender, loan_id))
        tokens = self.level * source.units / units if units else 0
        self.level -= tokens
        return tokens

    def _lend_from(
        self,
        source_id: int,
        units: int,
        outgoing: _OutgoingLoan,
        bucket: RateBucket,
    ) -> Loan:
        units_before = self.units
        tokens = self.level * units / units_before
        loan_id = next(self._ids)
        self._sources[source_id].lent_units += units
        self._outgoing_loans[loan_id] = outgoing
        self.level -= tokens
        return Loan(bucket.name, loan_id, units, tokens, 0)

    def _start_lease(self, loan: Loan, now_ms: float) -> float:
        """Set the lender's expiry of a new loan and return its lease."""
        outgoing = self._outgoing_loans[loan.loan_id]
        lease_ms = outgoing.expires_ms - now_ms
        outgoing.expires_ms = lender_expiry_ms(now_ms, lease_ms)
        return lease_ms

    def _max_lease_ms(self, source_id: int, now_ms: float) -> float:
        """Return the longest lease that expires before its source does."""
        source = self._sources.get(source_id)
        if source is None:
            return 0
        remaining_ms = (
            source.expires_ms - now_ms - CLOCK_MARGIN_MS
        ) / _CLOCK_DRIFT_FACTOR
        return min(LOAN_LEASE_MS, remaining_ms)

    def _by_latest_expiry(self, source_id: int) -> float:
        return -self._sources[source_id].expires_ms

    def _expiries_until(self, now_ms: float) -> list[float]:
        """Return the expiry times up to now, in ascending order."""
        expiries = {source.expires_ms for source in self._sources.values()}
        expiries.update(
            outgoing.expires_ms for outgoing in self._outgoing_loans.values()
        )
        expiries.update(
            grant.expires_ms for grant in self._open_grants.values()
        )
        return sorted(
            expiry_ms for expiry_ms in expiries if expiry_ms <= now_ms
        )

    def _accrue(self, until_ms: float, bucket: RateBucket) -> None:
        elapsed_ms = until_ms - self._updated_ms
        if elapsed_ms > 0:
            tokens_per_unit_ms = bucket.rate_per_s / (
                self._total_units * _MS_PER_S
            )
            usable_units = sum(
                max(0, source.available_units)
                for source in self._sources.values()
            )
            self.level += usable_units * tokens_per_unit_ms * elapsed_ms
            self._updated_ms = until_ms
        self._cap_level(bucket)

    def _expire(self, now_ms: float) -> None:
        for grant_id, grant in tuple(self._open_grants.items()):
            if grant.expires_ms <= now_ms:
                self._open_grants.pop(grant_id)
        for loan_id, outgoing in tuple(self._outgoing_loans.items()):
            if outgoing.expires_ms <= now_ms:
                self._end_outgoing_loan(loan_id)
        for loan_key, source_id in tuple(self._borrowed_sources.items()):
            if self._sources[source_id].expires_ms <= now_ms:
                self._sources.pop(source_id)
                self._borrowed_sources.pop(loan_key)

    def _unreserved_units(self, bucket: RateBucket) -> int:
        """Return the usable units whose burst no open grant reserves."""
        units_per_token = self._total_units / bucket.burst_requests
        return max(
            0, self.units - math.ceil(self.reserved_tokens * units_per_token)
        )

    def _end_outgoing_loan(self, loan_id: int) -> None:
        outgoing = self._outgoing_loans.pop(loan_id)
        source = self._sources.get(outgoing.source_id)
        if source is not None:
            source.lent_units -= outgoing.units

    def _cap_level(self, bucket: RateBucket) -> None:
        burst = bucket.burst_requests * self.units / self._total_units
        self.level = min(self.level, max(0.0, burst - self.reserved_tokens))


def _borrower_expiry_ms(requested_ms: float, lease_ms: float) -> float:
    """Return when a borrower stops using a loan.

    This leaves time for the grants made from the loan to expire as well.
    """
    return (
        requested_ms
        + lease_ms
        - GRANT_LIFETIME_MS * _CLOCK_DRIFT_FACTOR
        - CLOCK_MARGIN_MS
    )
