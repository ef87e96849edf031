"""Spread of membership, and detection of nodes that have gone."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterable

from chivelead_protocol import (
    ChiveleadError,
    Gossip,
    Member,
    MemberSummary,
    MemberTable,
    Ping,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.rendezvous import stable_hash

logger = logging.getLogger(__name__)

_PERIOD_S = 1.0
_NEWS_PERIOD_S = 0.15
_JITTER = (0.8, 1.2)
_TIMEOUT_MS = 900
_REMOTE_EVERY = 2
_WATCHED_NEIGHBOURS = 2
_MISSES_TO_DEATH = 3


class GossipTask:
    """Exchange news with one random peer a period and watch neighbours.

    Args:
        membership: Table to keep.
        network: Links to the peers.
    """

    def __init__(self, membership: Membership, network: Network) -> None:
        """Prepare; ``start`` begins the periods."""
        self.config_version = 0
        self.newer_peers: asyncio.Queue[str] = asyncio.Queue()
        self._membership = membership
        self._network = network
        seed = stable_hash(membership.own.boot_id)
        self._random = random.Random(seed)  # noqa: S311
        self._misses: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._stirred = asyncio.Event()
        membership.listen(lambda _: self._stirred.set())

    async def start(self) -> None:
        """Begin to gossip."""
        self._tasks = [
            asyncio.create_task(self._gossip_forever()),
            asyncio.create_task(self._watch_forever()),
        ]

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()

    async def exchange(self, vm: str) -> None:
        """Swap news with one peer, and whole tables if they differ."""
        reply = await self._network.request(vm, self._news(), _TIMEOUT_MS)
        self._take_in(vm, reply)
        if reply.table_digest != self._membership.digest:
            table = await self._network.request(
                vm,
                self._summary(),
                _TIMEOUT_MS,
            )
            self._membership.merge(table.members)

    def answer_gossip(self, vm: str, gossip: Gossip) -> Gossip:
        """Take in news of a peer and return own news."""
        self._take_in(vm, gossip)
        return self._news()

    def answer_summary(self, summary: MemberSummary) -> MemberTable:
        """Return the members that a peer lacks or knows only older."""
        known = {
            vm: (incarnation, version)
            for vm, incarnation, version in zip(
                summary.vms,
                summary.incarnations,
                summary.versions,
                strict=True,
            )
        }
        newer = [
            member
            for member in self._membership.every()
            if known.get(member.vm, (-1, -1))
            < (member.incarnation, member.version)
            or not member.alive
        ]
        return MemberTable(tuple(newer))

    def _news(self) -> Gossip:
        membership = self._membership
        return Gossip(
            members=(membership.own, *membership.take_news()),
            table_digest=membership.digest,
            config_version=self.config_version,
        )

    def _take_in(self, vm: str, gossip: Gossip) -> None:
        self._membership.merge(gossip.members)
        if gossip.config_version > self.config_version:
            self.newer_peers.put_nowait(vm)

    def _summary(self) -> MemberSummary:
        members = self._membership.every()
        return MemberSummary(
            vms=tuple(member.vm for member in members),
            incarnations=tuple(member.incarnation for member in members),
            versions=tuple(member.version for member in members),
        )

    async def _gossip_forever(self) -> None:
        turn = 0
        while True:
            await self._pause()
            turn += 1
            partner = self._partner(remote=turn % _REMOTE_EVERY == 0)
            if partner is not None:
                try:
                    await self.exchange(partner)
                except ChiveleadError as error:
                    logger.debug('gossip with %s: %s', partner, error)
            self._membership.forget_old()

    async def _pause(self) -> None:
        """Wait for the next period, which is short while there is news."""
        factor = self._random.uniform(*_JITTER)
        if not self._membership.has_news:
            self._stirred.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PERIOD_S * factor):
                    await self._stirred.wait()
                    await asyncio.sleep(_NEWS_PERIOD_S * factor)
            return
        await asyncio.sleep(_NEWS_PERIOD_S * factor)

    def _partner(self, *, remote: bool) -> str | None:
        own = self._membership.own
        candidates = [
            member.vm
            for member in self._membership.alive()
            if member.vm != own.vm
            and (member.failure_domain != own.failure_domain) == remote
        ]
        return self._random.choice(candidates) if candidates else None

    async def _watch_forever(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_S)
            await asyncio.gather(
                *(self._check(vm) for vm in self._neighbours()),
            )

    def _neighbours(self) -> list[str]:
        own = self._membership.own
        ring = sorted(
            self._membership.alive(own.failure_domain),
            key=lambda member: stable_hash(member.vm),
        )
        names = [member.vm for member in ring]
        place = names.index(own.vm) if own.vm in names else 0
        after = names[place + 1 :] + names[:place]
        return after[:_WATCHED_NEIGHBOURS]

    async def _check(self, vm: str) -> None:
        try:
            await self._network.request(vm, Ping(), _TIMEOUT_MS)
        except ChiveleadError:
            self._misses[vm] = self._misses.get(vm, 0) + 1
        else:
            self._misses.pop(vm, None)
        if self._misses.get(vm, 0) >= _MISSES_TO_DEATH:
            self._misses.pop(vm)
            self._membership.declare_dead(vm)


def nearest_first(own: Member, members: Iterable[Member]) -> list[Member]:
    """Return members by distance: failure domain, region, the rest."""
    return sorted(
        members,
        key=lambda member: (
            member.failure_domain != own.failure_domain,
            member.region != own.region,
        ),
    )
