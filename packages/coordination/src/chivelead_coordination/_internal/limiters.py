"""Rate limiters of ingress nodes, the nodes where calls enter the fleet."""

import abc
import asyncio
import collections
import dataclasses
from collections.abc import Callable

from chivelead_config import DocumentSet, RateBucket
from chivelead_protocol import (
    ChiveleadError,
    TakeTokens,
    TokenGrant,
    now_ms,
)

from chivelead_coordination._internal.demand import DemandMeter
from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.rates import RateCoordinator

_REQUEST_TIMEOUT_MS = 300.0
_PREFETCH_MS = 100.0
# After a refusal, no tokens are requested from the coordinating node for this
# long.  Callers are told this retry time if no better estimate is known.
_REFUSAL_RETRY_MS = 5.0
_MIN_PREFETCH_TOKENS = 2.0
_MAX_ATTEMPTS = 3
_MS_PER_S = 1000

LimiterFactory = Callable[
    [Membership, Network, RateCoordinator],
    'RateLimiter',
]
_limiter_factories: dict[str, LimiterFactory] = {}


def register_limiter(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a ``RateLimiter`` under a name."""

    def register(limiter_class: type) -> type:
        _limiter_factories[name] = limiter_class
        return limiter_class

    return register


def find_limiter(name: str) -> LimiterFactory | None:
    """Return the class registered under a name, or None if there is none."""
    return _limiter_factories.get(name)


def limiter_names() -> tuple[str, ...]:
    """Return the names of all registered limiters, sorted."""
    return tuple(sorted(_limiter_factories))


class RateLimiter(abc.ABC):
    """Base class of limiters, which admit calls within their rate limits.

    Args:
        membership: Members of the fleet.
        network: Links to the peers.
        rates: Coordinator of the rate limits at this node.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        rates: RateCoordinator,
    ) -> None:
        """Start with no limits."""
        self._membership = membership
        self._network = network
        self._rates = rates
        self._buckets: dict[str, RateBucket] = {}

    def apply(self, documents: DocumentSet) -> None:
        """Replace the limits by those of new documents."""
        self._buckets = dict(documents.buckets)

    @abc.abstractmethod
    async def take(self, limit_names: tuple[str, ...]) -> float:
        """Take one token of each limit.

        Returns:
            Zero if the call is admitted, else how long to wait, in
            milliseconds.
        """


@register_limiter('unlimited')
class Unlimited(RateLimiter):
    """Admit every call; a baseline for comparisons."""

    async def take(self, limit_names: tuple[str, ...]) -> float:
        """Admit the call."""
        return 0


@register_limiter('static')
class StaticSplit(RateLimiter):
    """Divide each rate evenly among live nodes; a baseline."""

    def __init__(
        self,
        membership: Membership,
        network: Network,
        rates: RateCoordinator,
    ) -> None:
        """Start with full buckets."""
        super().__init__(membership, network, rates)
        self._levels: dict[str, tuple[float, float]] = {}

    async def take(self, limit_names: tuple[str, ...]) -> float:
        """Take a token from this node's fraction of each limit."""
        nodes = max(1, len(self._membership.alive_members()))
        levels = {name: self._level(name, nodes) for name in limit_names}
        if any(level < 1 for level in levels.values()):
            return _REFUSAL_RETRY_MS
        for name, level in levels.items():
            self._levels[name] = (now_ms(), level - 1)
        return 0

    def _level(self, name: str, nodes: int) -> float:
        bucket = self._buckets[name]
        time_ms = now_ms()
        max_level = max(1.0, bucket.burst_requests / nodes)
        updated_ms, level = self._levels.get(name, (time_ms, max_level))
        rate_per_ms = bucket.rate_per_s / nodes / _MS_PER_S
        level = min(max_level, level + (time_ms - updated_ms) * rate_per_ms)
        self._levels[name] = (time_ms, level)
        return level


@dataclasses.dataclass
class _HeldGrant:
    """Unspent tokens of one grant."""

    grant_id: int
    tokens: int
    expires_ms: float


class _TokenPool:
    """Tokens of one limit at an ingress node."""

    def __init__(self) -> None:
        self.waiting_calls = 0
        self.fetch_task: asyncio.Task[bool] | None = None
        self.refuse_until_ms = 0.0
        self.retry_after_ms = 0.0
        self.demand = DemandMeter(now_ms())
        self._grants: collections.deque[_HeldGrant] = collections.deque()
        self._settled_ids: list[int] = []

    def spend(self) -> bool:
        """Spend an unexpired token, and return whether there was one."""
        time_ms = now_ms()
        while self._grants:
            grant = self._grants[0]
            if grant.tokens and grant.expires_ms > time_ms:
                grant.tokens -= 1
                return True
            self._grants.popleft()
            self._settled_ids.append(grant.grant_id)
        return False

    @property
    def tokens(self) -> int:
        """Return the number of tokens in the pool, including expired ones."""
        return sum(grant.tokens for grant in self._grants)

    def refund(self) -> None:
        """Put back a token just spent; no other call may run in between."""
        self._grants[0].tokens += 1

    def add_grant(self, requested_ms: float, grant: TokenGrant) -> None:
        """Add a grant that was requested at ``requested_ms``."""
        expires_ms = requested_ms + grant.expires_in_ms
        self._grants.append(
            _HeldGrant(grant.grant_id, grant.tokens, expires_ms)
        )

    def drain_settled(self) -> tuple[int, ...]:
        """Return the IDs of used or expired grants, and clear the list."""
        settled = tuple(self._settled_ids)
        self._settled_ids.clear()
        return settled


@register_limiter('shares')
class BatchedTokenLimiter(RateLimiter):
    """Fetch tokens of each limit in small batches from its coordinating node.

    See ``rates`` for the choice of that node.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        rates: RateCoordinator,
    ) -> None:
        """Start with no tokens."""
        super().__init__(membership, network, rates)
        self._pools: dict[str, _TokenPool] = {}

    async def take(self, limit_names: tuple[str, ...]) -> float:
        """Take a token from each pool, fetching more if a pool is empty."""
        for name in limit_names:
            self._pool(name).demand.record(now_ms(), 1)
        for _ in range(_MAX_ATTEMPTS):
            empty_limit = self._spend_all(limit_names)
            if empty_limit is None:
                self._prefetch(limit_names)
                return 0
            pool = self._pool(empty_limit)
            if now_ms() < pool.refuse_until_ms:
                return max(1.0, pool.retry_after_ms)
            if not await self._fetch(empty_limit, pool):
                return max(1.0, pool.retry_after_ms)
        return _REFUSAL_RETRY_MS

    def _pool(self, name: str) -> _TokenPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = _TokenPool()
            self._pools[name] = pool
        return pool

    def _spend_all(self, limit_names: tuple[str, ...]) -> str | None:
        """Spend one token of each limit, or none if one limit has no token.

        Returns:
            Name of the limit without a token; None if the tokens were spent.
        """
        spent: list[_TokenPool] = []
        for name in limit_names:
            pool = self._pool(name)
            if not pool.spend():
                for earlier in spent:
                    earlier.refund()
                return name
            spent.append(pool)
        return None

    def _prefetch(self, limit_names: tuple[str, ...]) -> None:
        """Start to fetch tokens for pools that are nearly empty.

        Calls then seldom have to wait for tokens.
        """
        for name in limit_names:
            pool = self._pool(name)
            prefetch_tokens = (
                pool.demand.calls_per_s(now_ms()) * _PREFETCH_MS / _MS_PER_S
            )
            is_low = (
                prefetch_tokens >= _MIN_PREFETCH_TOKENS
                and pool.tokens < prefetch_tokens / 2
            )
            may_fetch = (
                pool.fetch_task is None and now_ms() >= pool.refuse_until_ms
            )
            if is_low and may_fetch:
                pool.fetch_task = asyncio.create_task(
                    self._run_fetch(name, pool),
                )

    async def _fetch(self, name: str, pool: _TokenPool) -> bool:
        pool.waiting_calls += 1
        try:
            if pool.fetch_task is None:
                pool.fetch_task = asyncio.create_task(
                    self._run_fetch(name, pool),
                )
            return await asyncio.shield(pool.fetch_task)
        finally:
            pool.waiting_calls -= 1

    async def _run_fetch(self, name: str, pool: _TokenPool) -> bool:
        try:
            # Yield once, so that calls that arrive together share this fetch.
            await asyncio.sleep(0)
            return await self._request_tokens(name, pool)
        finally:
            pool.fetch_task = None

    async def _request_tokens(self, name: str, pool: _TokenPool) -> bool:
        requested_ms = now_ms()
        calls_per_s = pool.demand.calls_per_s(requested_ms)
        prefetch_tokens = calls_per_s * _PREFETCH_MS / _MS_PER_S
        wanted = max(1, pool.waiting_calls + int(prefetch_tokens) - pool.tokens)
        message = TakeTokens(
            bucket=name,
            wanted=wanted,
            waiting=min(wanted, pool.waiting_calls),
            demand_per_s=calls_per_s,
            settled=pool.drain_settled(),
        )
        grant = await self._send_request(name, message)
        if grant.tokens < 1:
            pool.retry_after_ms = grant.retry_after_ms
            pool.refuse_until_ms = now_ms() + _REFUSAL_RETRY_MS
            return False
        pool.add_grant(requested_ms, grant)
        return True

    async def _send_request(self, name: str, message: TakeTokens) -> TokenGrant:
        """Ask the coordinating node, or the next owner if that fails."""
        own = self._membership.own
        owners = self._rates.ranked_owners(name, own.failure_domain)
        if not owners:
            owners = self._rates.ranked_owners(name, '')
        for vm in owners[:2]:
            if vm == own.vm:
                return await self._rates.handle_take_tokens(vm, message)
            try:
                grant = await self._network.request(
                    vm, message, _REQUEST_TIMEOUT_MS
                )
            except ChiveleadError:
                continue
            if isinstance(grant, TokenGrant):
                return grant
        return TokenGrant(0, 0, 0, _MS_PER_S)
