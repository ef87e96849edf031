"""Exact accounting of one rate limit's units, tokens and loans at a node.

The rate and burst of a limit are divided into units.  Each unit is in use
at one node at a time: its owner, or the borrower while a loan runs.  A node
accrues tokens for the units it may use, up to their part of the burst.
Because units and tokens are taken away before they are sent, the tokens in
the fleet never exceed the burst, and they never grow faster than the rate.

Times are those of the loop, in milliseconds.  A loan ends for the borrower
before it ends for the lender: the borrower counts from its request, the
lender from its reply, with a margin.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from chivelead_config import RateBucket
from chivelead_protocol import Loan

SHARE_UNITS = 16384
GRANT_MS = 250.0
LOAN_MS = 2500.0
CLOCK_MARGIN_MS = 50.0
_CLOCK_DRIFT = 1.01
_SHORTEST_LOAN_MS = 250.0
_MS_PER_S = 1000
_OWN = 0


@dataclasses.dataclass
class _Part:
    """Units from one source: the own shares or one loan."""

    units: int
    ends_ms: float
    lent: int = 0

    @property
    def free(self) -> int:
        return self.units - self.lent


@dataclasses.dataclass
class _Lent:
    """Units lent to another node."""

    borrower: str
    units: int
    ends_ms: float
    source: int


@dataclasses.dataclass
class _Reserved:
    """Tokens granted to a caller's node and not yet settled."""

    tokens: int
    ends_ms: float


def lender_end_ms(now_ms: float, lease_ms: float) -> float:
    """Return when a lender takes a lease for ended."""
    return now_ms + lease_ms * _CLOCK_DRIFT + CLOCK_MARGIN_MS


class UnitLedger:
    """Units, tokens and loans of one limit at one node.

    Args:
        total_units: Units of the whole fleet.
        loan_ids: Source of numbers that are unique at this node.
        now_ms: Time from which tokens accrue.
    """

    def __init__(
        self,
        total_units: int,
        loan_ids: Iterable[int],
        now_ms: float,
    ) -> None:
        """Start with no units."""
        self.level = 0.0
        self._total_units = total_units
        self._ids = iter(loan_ids)
        self._parts = {_OWN: _Part(0, float('inf'))}
        self._borrowed_from: dict[tuple[str, int], int] = {}
        self._lent: dict[int, _Lent] = {}
        self._reserved: dict[int, _Reserved] = {}
        self._part_keys = itertools.count(1)
        self._updated_ms = now_ms

    @property
    def units(self) -> int:
        """Return the units this node may use at the last refill."""
        return sum(part.free for part in self._parts.values())

    @property
    def lends(self) -> bool:
        """Tell whether other nodes have units of this one."""
        return bool(self._lent)

    @property
    def reserved(self) -> int:
        """Return the tokens that callers' nodes may still spend."""
        return sum(grant.tokens for grant in self._reserved.values())

    def set_own_units(self, units: int) -> None:
        """Change the units of the shares that this node owns."""
        self._parts[_OWN].units = units

    def spend(self, tokens: int) -> None:
        """Use tokens for calls that enter at this node."""
        self.level -= tokens

    def refill(self, now_ms: float, bucket: RateBucket) -> float:
        """Bring the level up to date and return it.

        Whatever ended since the last refill held its burst until its end,
        so the time is gone through from end to end.
        """
        for end_ms in self._ends_until(now_ms):
            self._accrue(end_ms, bucket)
            self._expire(end_ms)
        self._accrue(now_ms, bucket)
        return self.level

    def grant(self, now_ms: float, tokens: int, waiting: int) -> int:
        """Grant tokens to a caller's node and return the grant's id.

        Tokens for calls that wait are spent now; the others stay reserved.
        """
        grant_id = next(self._ids)
        self.level -= tokens
        if tokens > waiting:
            ends_ms = lender_end_ms(now_ms, GRANT_MS)
            self._reserved[grant_id] = _Reserved(tokens - waiting, ends_ms)
        return grant_id

    def settle(
        self,
        now_ms: float,
        bucket: RateBucket,
        grant_ids: Iterable[int],
    ) -> None:
        """Free the burst that spent grants held until now."""
        self.refill(now_ms, bucket)
        for grant_id in grant_ids:
            self._reserved.pop(grant_id, None)

    def lend(
        self,
        now_ms: float,
        wanted: int,
        borrower: str,
        bucket: RateBucket,
    ) -> tuple[Loan, ...]:
        """Lend up to ``wanted`` units, each loan from one source."""
        loans = []
        wanted = min(wanted, self._unreserved(bucket))
        for key in sorted(self._parts, key=self._longest_first):
            units = min(wanted, self._parts[key].free)
            lease_ms = self._lease_for(key, now_ms)
            if units > 0 and lease_ms >= _SHORTEST_LOAN_MS:
                loans.append(
                    self._lend_from(
                        key,
                        units,
                        _Lent(borrower, units, now_ms + lease_ms, key),
                        bucket,
                    ),
                )
                wanted -= units
        return tuple(
            dataclasses.replace(loan, lease_ms=self._lease_of(loan, now_ms))
            for loan in loans
        )

    def renew(self, now_ms: float, borrower: str, loan_id: int) -> float:
        """Start a loan anew and return its lease; zero if it cannot be."""
        lent = self._lent.get(loan_id)
        if lent is None or lent.borrower != borrower:
            return 0
        if lent.ends_ms <= now_ms:
            return 0
        lease_ms = self._lease_for(lent.source, now_ms)
        ends_ms = lender_end_ms(now_ms, lease_ms)
        if lease_ms < _SHORTEST_LOAN_MS:
            return 0
        lent.ends_ms = max(lent.ends_ms, ends_ms)
        return lease_ms

    def take_back(self, borrower: str, loan_id: int, tokens: float) -> None:
        """End a loan that the borrower returned."""
        lent = self._lent.get(loan_id)
        if lent is not None and lent.borrower == borrower:
            self._end_lent(loan_id)
            self.level += max(0.0, tokens)

    def borrow(
        self,
        asked_ms: float,
        now_ms: float,
        lender: str,
        loan: Loan,
    ) -> None:
        """Take in a loan that was asked for at ``asked_ms``.

        A loan that comes after its end is dropped with its tokens, since the
        lender may have made good for them already.
        """
        ends_ms = _borrower_end(asked_ms, loan.lease_ms)
        if ends_ms <= now_ms:
            return
        key = next(self._part_keys)
        self._parts[key] = _Part(loan.units, ends_ms)
        self._borrowed_from[(lender, loan.loan_id)] = key
        self.level += loan.tokens

    def extend(
        self,
        asked_ms: float,
        lender: str,
        loan_id: int,
        lease_ms: float,
    ) -> None:
        """Take in the renewal of a loan."""
        key = self._borrowed_from.get((lender, loan_id))
        if key is not None and lease_ms > 0:
            part = self._parts[key]
            part.ends_ms = max(part.ends_ms, _borrower_end(asked_ms, lease_ms))

    def borrowed(self, lender: str) -> list[tuple[int, int, bool]]:
        """Return id, units and whether lent on, of loans from a lender."""
        return [
            (loan_id, self._parts[key].units, self._parts[key].lent > 0)
            for (name, loan_id), key in self._borrowed_from.items()
            if name == lender
        ]

    def lenders(self) -> set[str]:
        """Return the nodes from which there are loans."""
        return {lender for lender, _ in self._borrowed_from}

    def give_back(
        self,
        lender: str,
        loan_id: int,
        bucket: RateBucket,
    ) -> float | None:
        """Drop a loan and return the tokens that go back with it.

        Returns:
            None if the units are still needed for grants or loans.
        """
        key = self._borrowed_from.get((lender, loan_id))
        if key is None or self._parts[key].lent:
            return None
        units = self.units
        if self._parts[key].units > self._unreserved(bucket):
            return None
        part = self._parts.pop(key)
        self._borrowed_from.pop((lender, loan_id))
        tokens = self.level * part.units / units if units else 0
        self.level -= tokens
        return tokens

    def _lend_from(
        self,
        key: int,
        units: int,
        lent: _Lent,
        bucket: RateBucket,
    ) -> Loan:
        before = self.units
        tokens = self.level * units / before
        loan_id = next(self._ids)
        self._parts[key].lent += units
        self._lent[loan_id] = lent
        self.level -= tokens
        return Loan(bucket.name, loan_id, units, tokens, 0)

    def _lease_of(self, loan: Loan, now_ms: float) -> float:
        """Fix the lender's end of a new loan and return its lease."""
        lent = self._lent[loan.loan_id]
        lease_ms = lent.ends_ms - now_ms
        lent.ends_ms = lender_end_ms(now_ms, lease_ms)
        return lease_ms

    def _lease_for(self, key: int, now_ms: float) -> float:
        """Return a lease that ends before its source does."""
        part = self._parts.get(key)
        if part is None:
            return 0
        left_ms = (part.ends_ms - now_ms - CLOCK_MARGIN_MS) / _CLOCK_DRIFT
        return min(LOAN_MS, left_ms)

    def _longest_first(self, key: int) -> float:
        return -self._parts[key].ends_ms

    def _ends_until(self, now_ms: float) -> list[float]:
        """Return the times up to now at which something ends, in order."""
        ends = {part.ends_ms for part in self._parts.values()}
        ends.update(lent.ends_ms for lent in self._lent.values())
        ends.update(grant.ends_ms for grant in self._reserved.values())
        return sorted(end_ms for end_ms in ends if end_ms <= now_ms)

    def _accrue(self, until_ms: float, bucket: RateBucket) -> None:
        gone_ms = until_ms - self._updated_ms
        if gone_ms > 0:
            per_unit_ms = bucket.rate_per_s / (self._total_units * _MS_PER_S)
            usable = sum(max(0, part.free) for part in self._parts.values())
            self.level += usable * per_unit_ms * gone_ms
            self._updated_ms = until_ms
        self._clip(bucket)

    def _expire(self, now_ms: float) -> None:
        for grant_id, grant in tuple(self._reserved.items()):
            if grant.ends_ms <= now_ms:
                self._reserved.pop(grant_id)
        for loan_id, lent in tuple(self._lent.items()):
            if lent.ends_ms <= now_ms:
                self._end_lent(loan_id)
        for name, key in tuple(self._borrowed_from.items()):
            if self._parts[key].ends_ms <= now_ms:
                self._parts.pop(key)
                self._borrowed_from.pop(name)

    def _unreserved(self, bucket: RateBucket) -> int:
        """Return the units whose burst no unsettled grant needs."""
        per_token = self._total_units / bucket.burst_requests
        return max(0, self.units - math.ceil(self.reserved * per_token))

    def _end_lent(self, loan_id: int) -> None:
        lent = self._lent.pop(loan_id)
        part = self._parts.get(lent.source)
        if part is not None:
            part.lent -= lent.units

    def _clip(self, bucket: RateBucket) -> None:
        burst = bucket.burst_requests * self.units / self._total_units
        self.level = min(self.level, max(0.0, burst - self.reserved))


def _borrower_end(asked_ms: float, lease_ms: float) -> float:
    """Return when a borrower stops using a loan.

    The grants it made out of the loan must have ended by then as well.
    """
    return asked_ms + lease_ms - GRANT_MS * _CLOCK_DRIFT - CLOCK_MARGIN_MS
