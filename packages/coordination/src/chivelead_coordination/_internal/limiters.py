"""Where a call enters: take a token of each limit it counts against."""

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

_TAKE_TIMEOUT_MS = 300.0
_PREFETCH_MS = 100.0
_REFUSE_MS = 5.0
_AHEAD_LEAST = 2.0
_ROUNDS = 3
_MS_PER_S = 1000

LimiterMaker = Callable[
    [Membership, Network, RateCoordinator],
    'RateLimiter',
]
_limiters: dict[str, LimiterMaker] = {}


def limiter(name: str) -> Callable[[type], type]:
    """Register a class of ``RateLimiter`` under a name."""

    def register(kind: type) -> type:
        _limiters[name] = kind
        return kind

    return register


def find_limiter(name: str) -> LimiterMaker | None:
    """Return the class registered under a name."""
    return _limiters.get(name)


def limiter_names() -> tuple[str, ...]:
    """Return all registered names."""
    return tuple(sorted(_limiters))


class RateLimiter(abc.ABC):
    """Admit calls against their limits.

    Args:
        membership: Members of the fleet.
        network: Links to the peers.
        rates: This node's part in the fleet-wide accounting.
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
        """Take in the limits of new documents."""
        self._buckets = dict(documents.buckets)

    @abc.abstractmethod
    async def take(self, names: tuple[str, ...]) -> float:
        """Take one token of each limit.

        Returns:
            Zero if the call may go on, else when to try again, in ms.
        """


@limiter('unlimited')
class Unlimited(RateLimiter):
    """Admit everything; a baseline."""

    async def take(self, names: tuple[str, ...]) -> float:
        """Admit the call."""
        return 0


@limiter('static')
class StaticSplit(RateLimiter):
    """Divide each rate evenly over the live nodes; a baseline."""

    def __init__(
        self,
        membership: Membership,
        network: Network,
        rates: RateCoordinator,
    ) -> None:
        """Start with no levels."""
        super().__init__(membership, network, rates)
        self._levels: dict[str, tuple[float, float]] = {}

    async def take(self, names: tuple[str, ...]) -> float:
        """Take from this node's part of each limit."""
        nodes = max(1, len(self._membership.alive_members()))
        levels = {name: self._level(name, nodes) for name in names}
        if any(level < 1 for level in levels.values()):
            return _REFUSE_MS
        for name, level in levels.items():
            self._levels[name] = (now_ms(), level - 1)
        return 0

    def _level(self, name: str, nodes: int) -> float:
        bucket = self._buckets[name]
        time_ms = now_ms()
        most = max(1.0, bucket.burst_requests / nodes)
        updated_ms, level = self._levels.get(name, (time_ms, most))
        rate_per_ms = bucket.rate_per_s / nodes / _MS_PER_S
        level = min(most, level + (time_ms - updated_ms) * rate_per_ms)
        self._levels[name] = (time_ms, level)
        return level


@dataclasses.dataclass
class _Held:
    """Tokens of one grant that are still to be spent."""

    grant_id: int
    tokens: int
    ends_ms: float


class _Pool:
    """Tokens of one limit at the node where calls enter."""

    def __init__(self) -> None:
        self.waiting = 0
        self.fetching: asyncio.Task[bool] | None = None
        self.refuse_until_ms = 0.0
        self.retry_after_ms = 0.0
        self.demand = DemandMeter(now_ms())
        self._held: collections.deque[_Held] = collections.deque()
        self._settled: list[int] = []

    def spend(self) -> bool:
        """Spend a token that is still valid, if there is one."""
        time_ms = now_ms()
        while self._held:
            grant = self._held[0]
            if grant.tokens and grant.ends_ms > time_ms:
                grant.tokens -= 1
                return True
            self._held.popleft()
            self._settled.append(grant.grant_id)
        return False

    @property
    def tokens(self) -> int:
        """Return the tokens at hand, the expired ones included."""
        return sum(grant.tokens for grant in self._held)

    def give_back(self) -> None:
        """Return a token that was spent in this step."""
        self._held[0].tokens += 1

    def add(self, asked_ms: float, grant: TokenGrant) -> None:
        """Take in a grant that was asked for at ``asked_ms``."""
        ends_ms = asked_ms + grant.expires_in_ms
        self._held.append(_Held(grant.grant_id, grant.tokens, ends_ms))

    def take_settled(self) -> tuple[int, ...]:
        """Return the grants that are used up, once."""
        settled = tuple(self._settled)
        self._settled.clear()
        return settled


@limiter('shares')
class SharedTokens(RateLimiter):
    """Take tokens from the meeting node of each limit, in small batches."""

    def __init__(
        self,
        membership: Membership,
        network: Network,
        rates: RateCoordinator,
    ) -> None:
        """Start with no tokens."""
        super().__init__(membership, network, rates)
        self._pools: dict[str, _Pool] = {}

    async def take(self, names: tuple[str, ...]) -> float:
        """Take from the pools, fetching where one is empty."""
        for name in names:
            self._pool(name).demand.record(now_ms(), 1)
        for _ in range(_ROUNDS):
            empty = self._spend_all(names)
            if empty is None:
                self._refill_ahead(names)
                return 0
            pool = self._pool(empty)
            if now_ms() < pool.refuse_until_ms:
                return max(1.0, pool.retry_after_ms)
            if not await self._fetch(empty, pool):
                return max(1.0, pool.retry_after_ms)
        return _REFUSE_MS

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = _Pool()
            self._pools[name] = pool
        return pool

    def _spend_all(self, names: tuple[str, ...]) -> str | None:
        """Spend one token of each limit, or none; return the empty one."""
        spent: list[_Pool] = []
        for name in names:
            pool = self._pool(name)
            if not pool.spend():
                for earlier in spent:
                    earlier.give_back()
                return name
            spent.append(pool)
        return None

    def _refill_ahead(self, names: tuple[str, ...]) -> None:
        """Ask for more tokens before a pool is empty, so no call waits."""
        for name in names:
            pool = self._pool(name)
            ahead = pool.demand.calls_per_s(now_ms()) * _PREFETCH_MS / _MS_PER_S
            low = ahead >= _AHEAD_LEAST and pool.tokens < ahead / 2
            quiet = pool.fetching is None and now_ms() >= pool.refuse_until_ms
            if low and quiet:
                pool.fetching = asyncio.create_task(
                    self._fetch_once(name, pool),
                )

    async def _fetch(self, name: str, pool: _Pool) -> bool:
        pool.waiting += 1
        try:
            if pool.fetching is None:
                pool.fetching = asyncio.create_task(
                    self._fetch_once(name, pool),
                )
            return await asyncio.shield(pool.fetching)
        finally:
            pool.waiting -= 1

    async def _fetch_once(self, name: str, pool: _Pool) -> bool:
        try:
            # One turn of the loop lets callers of the same moment join.
            await asyncio.sleep(0)
            return await self._ask(name, pool)
        finally:
            pool.fetching = None

    async def _ask(self, name: str, pool: _Pool) -> bool:
        asked_ms = now_ms()
        calls_per_s = pool.demand.calls_per_s(asked_ms)
        ahead = calls_per_s * _PREFETCH_MS / _MS_PER_S
        wanted = max(1, pool.waiting + int(ahead) - pool.tokens)
        ask = TakeTokens(
            bucket=name,
            wanted=wanted,
            waiting=min(wanted, pool.waiting),
            demand_per_s=calls_per_s,
            settled=pool.take_settled(),
        )
        grant = await self._ask_nearest(name, ask)
        if grant.tokens < 1:
            pool.retry_after_ms = grant.retry_after_ms
            pool.refuse_until_ms = now_ms() + _REFUSE_MS
            return False
        pool.add(asked_ms, grant)
        return True

    async def _ask_nearest(self, name: str, ask: TakeTokens) -> TokenGrant:
        own = self._membership.own
        names = self._rates.meeting_nodes(name, own.failure_domain)
        if not names:
            names = self._rates.meeting_nodes(name, '')
        for vm in names[:2]:
            if vm == own.vm:
                return await self._rates.answer_take(vm, ask)
            try:
                grant = await self._network.request(vm, ask, _TAKE_TIMEOUT_MS)
            except ChiveleadError:
                continue
            if isinstance(grant, TokenGrant):
                return grant
        return TokenGrant(0, 0, 0, _MS_PER_S)
