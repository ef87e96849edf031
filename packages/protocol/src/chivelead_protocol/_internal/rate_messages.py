"""Messages about rate limits.

Each rate limit is a token bucket whose rate and burst are divided into units.
A share is a fixed part of all rate limits.  A node owns the units of its
shares and may lend them to another node for a limited time.  In each failure
domain one node, the coordinating node of a bucket, collects the units of that
bucket.  It grants tokens from them to the ingress nodes, where requests enter
the fleet.
"""

import dataclasses

from chivelead_protocol._internal.codec import message


@message(40)
@dataclasses.dataclass(frozen=True)
class TakeTokens:
    """Request tokens from the coordinating node of a bucket.

    Attributes:
        bucket: Name of the rate limit.
        wanted: Number of tokens requested.
        waiting: How many of them are for calls that wait for the reply; these
            tokens count as spent when they are granted.
        demand_per_s: Calls per second that arrive at the sender.
        settled: IDs of earlier grants whose tokens are all spent or expired.
    """

    bucket: str
    wanted: int
    waiting: int
    demand_per_s: float
    settled: tuple[int, ...]


@message(41)
@dataclasses.dataclass(frozen=True)
class TokenGrant:
    """Tokens that the requesting node may spend until the grant expires.

    Attributes:
        grant_id: Zero if nothing was granted.
        expires_in_ms: Lifetime of the grant, from when the request was sent.
        retry_after_ms: Delay before the next request if nothing was granted.
    """

    grant_id: int
    tokens: int
    expires_in_ms: float
    retry_after_ms: float


@message(54)
@dataclasses.dataclass(frozen=True)
class SharesReleased:
    """Tell the node that takes over shares that it may claim them.

    Attributes:
        shares: Numbers of the shares that their owner has released.
        handover_id: Identifier in the store records of these shares, and in
            the ``GuardHandover`` that preceded.
    """

    shares: tuple[int, ...]
    handover_id: str


@dataclasses.dataclass(frozen=True)
class UnitRequest:
    """Units of one bucket that a node wants to borrow."""

    bucket: str
    units: int


@dataclasses.dataclass(frozen=True)
class Loan:
    """Units of a bucket lent for a limited time.

    Attributes:
        tokens: Tokens that are transferred together with the units.
        lease_ms: Duration of the loan, from when the borrower sent its request.
    """

    bucket: str
    loan_id: int
    units: int
    tokens: float
    lease_ms: float


@message(42)
@dataclasses.dataclass(frozen=True)
class BorrowUnits:
    """Ask a node for units that it does not need itself.

    Attributes:
        requests: Units to borrow, for each bucket.
        renew: IDs of loans from the receiver that the sender wants to renew.
    """

    requests: tuple[UnitRequest, ...]
    renew: tuple[int, ...]


@message(43)
@dataclasses.dataclass(frozen=True)
class UnitsLent:
    """Reply to ``BorrowUnits``: new, renewed and returned loans.

    Where it can, a lender returns units that it has itself borrowed from the
    borrower instead of lending others.

    Attributes:
        loans: New loans to the borrower.
        renewed: IDs of the loans whose lease is renewed.
        renewed_lease_ms: For each renewed loan, the duration of its new
            lease, from when the borrower sent its request.
        returned: IDs of the loans from the borrower that the lender returns.
        returned_tokens: For each returned loan, the tokens transferred back.
    """

    loans: tuple[Loan, ...]
    renewed: tuple[int, ...]
    renewed_lease_ms: tuple[float, ...]
    returned: tuple[int, ...]
    returned_tokens: tuple[float, ...]


@message(44)
@dataclasses.dataclass(frozen=True)
class ReturnUnits:
    """Return loans to their lender before their lease ends.

    Attributes:
        tokens: For each loan, the tokens transferred back.
    """

    loan_ids: tuple[int, ...]
    tokens: tuple[float, ...]
