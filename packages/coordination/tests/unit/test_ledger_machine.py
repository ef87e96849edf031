"""Stateful test: no sequence of loans, losses and pauses exceeds the rate."""

import itertools

from chivelead_config import RateBucket
from chivelead_coordination import TOTAL_UNITS, UnitLedger
from chivelead_coordination._internal.ledger import GRANT_LIFETIME_MS
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    rule,
)

NODES = 3
BUCKET = RateBucket('mill', rate_per_s=2000, burst_requests=300)
TOLERANCE_TOKENS = 1e-6
FILL_TIME_MS = 60_000.0


class LedgerMachine(RuleBasedStateMachine):
    """Nodes lend, borrow, grant and spend over a lossy network."""

    replies = Bundle('replies')
    returns = Bundle('returns')
    grants = Bundle('grants')

    @initialize()
    def start(self):
        """Give each node an equal part of the units and a full level."""
        self.time_ms = 0.0
        self.ledgers = []
        for number in range(NODES):
            ledger = UnitLedger(TOTAL_UNITS, itertools.count(number * 10**6), 0)
            ledger.set_own_units(TOTAL_UNITS // NODES)
            ledger.refill(FILL_TIME_MS, BUCKET)
            self.ledgers.append(ledger)
        self.time_ms = FILL_TIME_MS
        self.reference_level = float(BUCKET.burst_requests)
        self.reference_ms = FILL_TIME_MS

    @rule(elapsed_ms=st.sampled_from([1, 7, 40, 180, 260, 900, 2600, 4200]))
    def advance(self, elapsed_ms):
        """Advance the clock; nodes taking no step meanwhile act as paused."""
        self.time_ms += elapsed_ms

    @rule(node=st.integers(0, NODES - 1))
    def spend_locally(self, node):
        """Admit calls for all tokens of a node."""
        tokens = self.ledgers[node].refill(self.time_ms, BUCKET)
        if tokens > 0:
            self.ledgers[node].spend(tokens)
            self._take_from_reference_bucket(tokens)

    @rule(target=grants, node=st.integers(0, NODES - 1))
    def grant(self, node):
        """Grant all tokens of a node to an ingress node, without delay."""
        ledger = self.ledgers[node]
        tokens = ledger.refill(self.time_ms, BUCKET)
        if tokens <= 0:
            return (node, 0, 0, self.time_ms)
        grant_id = ledger.grant(self.time_ms, tokens, 0)
        return (node, grant_id, tokens, self.time_ms)

    @rule(grant=consumes(grants), is_settled=st.booleans())
    def spend_grant(self, grant, is_settled):
        """Spend a grant if the ingress node still may; perhaps settle it."""
        node, grant_id, tokens, requested_ms = grant
        if tokens and self.time_ms < requested_ms + GRANT_LIFETIME_MS:
            self._take_from_reference_bucket(tokens)
        if is_settled:
            self.ledgers[node].settle_grants(self.time_ms, BUCKET, (grant_id,))

    @rule(
        target=replies,
        lender=st.integers(0, NODES - 1),
        borrower=st.integers(0, NODES - 1),
        units=st.sampled_from([TOTAL_UNITS, TOTAL_UNITS // 5]),
        delay_ms=st.sampled_from([0, 5, 600, 5000]),
    )
    def borrow(self, lender, borrower, units, delay_ms):
        """Request a loan; the request may be delayed."""
        if lender == borrower:
            return (lender, borrower, self.time_ms, ())
        requested_ms = self.time_ms
        self.time_ms += delay_ms
        ledger = self.ledgers[lender]
        ledger.refill(self.time_ms, BUCKET)
        loans = ledger.lend(self.time_ms, units, str(borrower), BUCKET)
        return (lender, borrower, requested_ms, loans)

    @rule(reply=consumes(replies))
    def receive(self, reply):
        """Deliver a reply, perhaps late; one never delivered is lost."""
        lender, borrower, requested_ms, loans = reply
        ledger = self.ledgers[borrower]
        ledger.refill(self.time_ms, BUCKET)
        for loan in loans:
            ledger.add_loan(requested_ms, self.time_ms, str(lender), loan)

    @rule()
    def spend_everywhere(self):
        """Admit calls for all tokens of all nodes."""
        for node in range(NODES):
            self.spend_locally(node)

    @rule(node=st.integers(0, NODES - 1), is_reply_lost=st.booleans())
    def renew(self, node, is_reply_lost):
        """Renew all loans that a node has borrowed; the reply may be lost."""
        ledger = self.ledgers[node]
        ledger.refill(self.time_ms, BUCKET)
        for lender in sorted(ledger.lenders()):
            for loan_id, _, _ in ledger.loans_from(lender):
                lease_ms = self.ledgers[int(lender)].renew_loan(
                    self.time_ms,
                    str(node),
                    loan_id,
                )
                if not is_reply_lost:
                    ledger.extend_loan(self.time_ms, lender, loan_id, lease_ms)

    @rule(target=returns, node=st.integers(0, NODES - 1))
    def return_first_loan(self, node):
        """Return the first loan that a node has borrowed."""
        ledger = self.ledgers[node]
        ledger.refill(self.time_ms, BUCKET)
        for lender in sorted(ledger.lenders()):
            for loan_id, _, _ in ledger.loans_from(lender):
                tokens = ledger.return_loan(lender, loan_id, BUCKET)
                return (int(lender), node, loan_id, tokens)
        return (0, 0, 0, None)

    @rule(returned=consumes(returns))
    def deliver_return(self, returned):
        """Deliver a returned loan to its lender."""
        lender, borrower, loan_id, tokens = returned
        if tokens is not None:
            ledger = self.ledgers[lender]
            ledger.refill(self.time_ms, BUCKET)
            ledger.accept_return(str(borrower), loan_id, tokens)

    @invariant()
    def admissions_stay_within_rate(self):
        """A single token bucket of the same rate would admit every call."""
        assert self.reference_level >= -TOLERANCE_TOKENS

    def _take_from_reference_bucket(self, tokens):
        elapsed_ms = self.time_ms - self.reference_ms
        accrued = elapsed_ms * BUCKET.rate_per_s / 1000
        level = min(BUCKET.burst_requests, self.reference_level + accrued)
        self.reference_level = level - tokens
        self.reference_ms = self.time_ms


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
