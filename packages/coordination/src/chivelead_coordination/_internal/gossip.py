"""Dissemination of membership by gossip, and failure detection."""

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
    start_supervised,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.rendezvous import stable_hash

logger = logging.getLogger(__name__)

_PERIOD_S = 1.0
_UPDATE_PERIOD_S = 0.15
_JITTER_RANGE = (0.8, 1.2)
_REQUEST_TIMEOUT_MS = 900
_ROUNDS_PER_REMOTE_EXCHANGE = 2
_PROBED_SUCCESSORS = 2
_FAILED_PROBES_BEFORE_DEAD = 3


class GossipTask:
    """Exchange updates with random peers and probe neighbours in a ring.

    Args:
        membership: Table to update.
        network: Sends requests to peers.

    Attributes:
        config_version: Version of the documents in force at this node.
        peers_with_newer_config: VMs that announced a newer version.
    """

    def __init__(self, membership: Membership, network: Network) -> None:
        """Prepare the state; ``start`` begins the rounds."""
        self.config_version = 0
        self.peers_with_newer_config: asyncio.Queue[str] = asyncio.Queue()
        self._membership = membership
        self._network = network
        seed = stable_hash(membership.own.boot_id)
        self._random = random.Random(seed)  # noqa: S311
        self._failed_probes: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._membership_changed = asyncio.Event()
        membership.listen(lambda _: self._membership_changed.set())

    async def start(self) -> None:
        """Start the gossip and probe tasks."""
        self._tasks = [
            start_supervised('gossip', self._gossip_forever),
            start_supervised('gossip-probe', self._probe_forever),
        ]

    async def close(self) -> None:
        """Cancel the tasks."""
        for task in self._tasks:
            task.cancel()

    async def exchange_with(self, vm: str) -> None:
        """Exchange updates with a peer, then reconcile tables that differ."""
        reply = await self._network.request(
            vm, self._build_gossip(), _REQUEST_TIMEOUT_MS
        )
        self._merge_gossip(vm, reply)
        if reply.table_digest != self._membership.digest:
            table = await self._network.request(
                vm,
                self._build_summary(),
                _REQUEST_TIMEOUT_MS,
            )
            self._membership.merge(table.members)

    def handle_gossip(self, vm: str, gossip: Gossip) -> Gossip:
        """Merge the updates of a peer and return those of this node."""
        self._merge_gossip(vm, gossip)
        return self._build_gossip()

    def handle_summary(self, summary: MemberSummary) -> MemberTable:
        """Return entries that are newer than the peer's, and all dead members.

        A summary does not show which members are dead, and marking a member
        as dead keeps its version.
        """
        known_versions = {
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
            for member in self._membership.all_members()
            if known_versions.get(member.vm, (-1, -1))
            < (member.incarnation, member.version)
            or not member.alive
        ]
        return MemberTable(tuple(newer))

    def _build_gossip(self) -> Gossip:
        membership = self._membership
        return Gossip(
            members=(membership.own, *membership.take_updates()),
            table_digest=membership.digest,
            config_version=self.config_version,
        )

    def _merge_gossip(self, vm: str, gossip: Gossip) -> None:
        self._membership.merge(gossip.members)
        if gossip.config_version > self.config_version:
            self.peers_with_newer_config.put_nowait(vm)

    def _build_summary(self) -> MemberSummary:
        members = self._membership.all_members()
        return MemberSummary(
            vms=tuple(member.vm for member in members),
            incarnations=tuple(member.incarnation for member in members),
            versions=tuple(member.version for member in members),
        )

    async def _gossip_forever(self) -> None:
        round_number = 0
        while True:
            await self._wait_for_next_round()
            round_number += 1
            peer_vm = self._choose_peer(
                remote=round_number % _ROUNDS_PER_REMOTE_EXCHANGE == 0
            )
            if peer_vm is not None:
                try:
                    await self.exchange_with(peer_vm)
                except ChiveleadError as error:
                    logger.debug(
                        'gossip exchange with %s failed: %s', peer_vm, error
                    )
            self._membership.purge_dead()

    async def _wait_for_next_round(self) -> None:
        """Wait for the next round; it starts earlier if updates are pending."""
        jitter = self._random.uniform(*_JITTER_RANGE)
        if not self._membership.has_pending_updates:
            self._membership_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PERIOD_S * jitter):
                    await self._membership_changed.wait()
                    await asyncio.sleep(_UPDATE_PERIOD_S * jitter)
            return
        await asyncio.sleep(_UPDATE_PERIOD_S * jitter)

    def _choose_peer(self, *, remote: bool) -> str | None:
        """Return a random live peer in this failure domain, or in others."""
        own = self._membership.own
        candidates = [
            member.vm
            for member in self._membership.alive_members()
            if member.vm != own.vm
            and (member.failure_domain != own.failure_domain) == remote
        ]
        return self._random.choice(candidates) if candidates else None

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_S)
            await asyncio.gather(
                *(self._probe(vm) for vm in self._ring_successors()),
            )

    def _ring_successors(self) -> list[str]:
        own = self._membership.own
        ring = sorted(
            self._membership.alive_members(own.failure_domain),
            key=lambda member: stable_hash(member.vm),
        )
        ring_vms = [member.vm for member in ring]
        own_index = ring_vms.index(own.vm) if own.vm in ring_vms else 0
        successors = ring_vms[own_index + 1 :] + ring_vms[:own_index]
        return successors[:_PROBED_SUCCESSORS]

    async def _probe(self, vm: str) -> None:
        try:
            await self._network.request(vm, Ping(), _REQUEST_TIMEOUT_MS)
        except ChiveleadError:
            self._failed_probes[vm] = self._failed_probes.get(vm, 0) + 1
        else:
            self._failed_probes.pop(vm, None)
        if self._failed_probes.get(vm, 0) >= _FAILED_PROBES_BEFORE_DEAD:
            self._failed_probes.pop(vm)
            self._membership.mark_dead(vm)


def nearest_first(own: Member, members: Iterable[Member]) -> list[Member]:
    """Sort members: own failure domain first, then own region, then others."""
    return sorted(
        members,
        key=lambda member: (
            member.failure_domain != own.failure_domain,
            member.region != own.region,
        ),
    )
