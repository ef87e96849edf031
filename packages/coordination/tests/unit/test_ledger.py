"""Accounting of units, tokens and loans, one case per test."""

import itertools

import pytest
from chivelead_config import RateBucket
from chivelead_coordination import TOTAL_UNITS, UnitLedger
from chivelead_coordination._internal.ledger import (
    GRANT_LIFETIME_MS,
    LOAN_LEASE_MS,
)

BUCKET = RateBucket('mill', rate_per_s=100, burst_requests=50)


@pytest.fixture
def ledger():
    """Return a ledger that owns all units and whose level is full."""
    full = UnitLedger(TOTAL_UNITS, itertools.count(1), 0)
    full.set_own_units(TOTAL_UNITS)
    full.refill(10_000, BUCKET)
    return full


def test_level_stops_at_burst(ledger):
    assert ledger.refill(20_000, BUCKET) == pytest.approx(50)


def test_units_reserved_by_a_grant_are_not_lent(ledger):
    ledger.grant(10_000, 50, 0)
    assert not ledger.lend(10_001, TOTAL_UNITS, 'other', BUCKET)


def test_units_are_lent_once_the_grant_is_settled(ledger):
    grant_id = ledger.grant(10_000, 50, 0)
    ledger.settle_grants(10_000, BUCKET, (grant_id,))
    (loan,) = ledger.lend(10_001, TOTAL_UNITS, 'other', BUCKET)
    assert loan.units == TOTAL_UNITS


def test_nothing_accrues_while_a_grant_reserves_the_burst(ledger):
    grant_id = ledger.grant(10_000, 50, 0)
    ledger.settle_grants(10_100, BUCKET, (grant_id,))
    assert ledger.level == pytest.approx(0)


def test_grant_reserves_the_burst_until_it_expires(ledger):
    ledger.grant(10_000, 50, 0)
    assert ledger.refill(10_000 + GRANT_LIFETIME_MS, BUCKET) == pytest.approx(0)
    assert ledger.refill(12_000, BUCKET) == pytest.approx(50)


def test_loan_expires_at_the_borrower_before_the_lender(ledger):
    (loan,) = ledger.lend(10_000, TOTAL_UNITS, 'other', BUCKET)
    borrower = UnitLedger(TOTAL_UNITS, itertools.count(1), 10_000)
    borrower.add_loan(10_000, 10_000, 'ledger', loan)
    last_ms = 10_000 + LOAN_LEASE_MS - GRANT_LIFETIME_MS
    borrower.refill(last_ms, BUCKET)
    assert borrower.units == 0
    ledger.refill(last_ms + GRANT_LIFETIME_MS, BUCKET)
    assert ledger.units == 0


def test_late_loan_is_dropped_with_its_tokens(ledger):
    (loan,) = ledger.lend(10_000, TOTAL_UNITS, 'other', BUCKET)
    borrower = UnitLedger(TOTAL_UNITS, itertools.count(1), 10_000)
    borrower.add_loan(10_000, 10_000 + LOAN_LEASE_MS, 'ledger', loan)
    assert borrower.level == 0


def test_return_after_expiry_adds_nothing(ledger):
    (loan,) = ledger.lend(10_000, TOTAL_UNITS // 2, 'other', BUCKET)
    ledger.refill(30_000, BUCKET)
    ledger.spend(50)
    ledger.accept_return('other', loan.loan_id, 25)
    assert ledger.level == pytest.approx(0)


def test_sub_loan_expires_before_its_source(ledger):
    (loan,) = ledger.lend(10_000, TOTAL_UNITS, 'middle', BUCKET)
    middle = UnitLedger(TOTAL_UNITS, itertools.count(1), 10_000)
    middle.add_loan(10_000, 10_000, 'ledger', loan)
    (sub_loan,) = middle.lend(10_500, TOTAL_UNITS, 'far', BUCKET)
    assert 10_500 + sub_loan.lease_ms < 10_000 + LOAN_LEASE_MS
