"""The messages about rates, shares and loans."""

import dataclasses

from chivelead_protocol._internal.codec import message


@message(40)
@dataclasses.dataclass(frozen=True)
class TakeTokens:
    """Ask the meeting node of an organisation for tokens.

    Attributes:
        bucket: Name of the rate limit.
        wanted: Tokens asked for.
        waiting: Calls among them that wait for the answer; their tokens
            count as spent when they are granted.
        demand_per_s: Calls a second that enter at the asker.
        settled: Grants whose tokens are all spent or dropped.
    """

    bucket: str
    wanted: int
    waiting: int
    demand_per_s: float
    settled: tuple[int, ...]


@message(41)
@dataclasses.dataclass(frozen=True)
class TokenGrant:
    """Tokens that the asker may spend until the grant expires.

    Attributes:
        grant_id: Zero when nothing was granted.
        expires_in_ms: Counted by the asker from the time it asked.
        retry_after_ms: When to ask again, if nothing was granted.
    """

    grant_id: int
    tokens: int
    expires_in_ms: float
    retry_after_ms: float


@message(54)
@dataclasses.dataclass(frozen=True)
class SharesReleased:
    """Tell a successor that shares are free for it to claim.

    Attributes:
        handover_id: Stands in the store with the released shares.
    """

    shares: tuple[int, ...]
    handover_id: str


@dataclasses.dataclass(frozen=True)
class UnitRequest:
    """What a node lacks of one bucket.

    Attributes:
        units: Parts of the bucket's rate and burst asked for.
    """

    bucket: str
    units: int


@dataclasses.dataclass(frozen=True)
class Loan:
    """Parts of a bucket lent for a time, with the tokens that go along.

    Attributes:
        lease_ms: Counted by the borrower from the time it asked.
    """

    bucket: str
    loan_id: int
    units: int
    tokens: float
    lease_ms: float


@message(42)
@dataclasses.dataclass(frozen=True)
class BorrowUnits:
    """Ask a node for parts of buckets it does not need itself.

    Attributes:
        renew: Loans of this lender that the borrower wants to keep.
    """

    requests: tuple[UnitRequest, ...]
    renew: tuple[int, ...]


@message(43)
@dataclasses.dataclass(frozen=True)
class UnitsLent:
    """New and renewed loans, and loans of the asker that come back.

    Attributes:
        returned: Loans that the replier had from the asker.
        returned_tokens: For each of them the tokens that go along.
        renewed: Loans whose lease starts anew.
        renewed_lease_ms: For each renewed loan its lease from the request.
    """

    loans: tuple[Loan, ...]
    renewed: tuple[int, ...]
    renewed_lease_ms: tuple[float, ...]
    returned: tuple[int, ...]
    returned_tokens: tuple[float, ...]


@message(44)
@dataclasses.dataclass(frozen=True)
class ReturnUnits:
    """Give loans back before their lease ends."""

    loan_ids: tuple[int, ...]
    tokens: tuple[float, ...]
