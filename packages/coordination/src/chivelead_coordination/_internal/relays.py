"""Election of relays, the nodes that watch the manifest in the store.

Each failure domain has a few relay keys in the store, and a node is a relay
while it holds one.  The value of the key is the relay's peer address, which a
new node uses to join the fleet.  Each key is bound to a lease, so a relay that
has stopped is replaced when its lease expires.
"""

import asyncio
import logging

from chivelead_protocol import (
    ChiveleadError,
    Member,
    StoreConflictError,
    StoreUnavailableError,
    start_supervised,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.rendezvous import rank_members
from chivelead_coordination._internal.store import Store, StoredValue, Write

logger = logging.getLogger(__name__)

RELAY_PREFIX = 'relay/'
RELAYS_PER_DOMAIN = 3
_CHECK_PERIOD_S = 2.0
_RENEWALS_PER_LEASE = 3
_MS_PER_S = 1000


class RelayElection:
    """Claim a free relay key for this node, and keep its lease alive.

    Args:
        membership: Table of members; shows which of them are relays.
        store: Store of the platform.
        lease_s: Duration of the lease on a relay key.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        lease_s: int,
    ) -> None:
        """Start without a relay key."""
        self._membership = membership
        self._store = store
        self._lease_s = lease_s
        self._lease_id = 0
        self._held_entry: StoredValue | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that claims a key and renews its lease."""
        self._task = start_supervised('relay-key', self._hold_key_forever)

    async def close(self) -> None:
        """Stop, and delete the held key if the store can be reached."""
        if self._task is not None:
            self._task.cancel()
        held_entry = self._held_entry
        if held_entry is not None:
            self._held_entry = None
            try:
                await self._store.delete(held_entry.key, held_entry.revision)
            except ChiveleadError as error:
                logger.debug(
                    'deletion of relay key %s failed: %s', held_entry.key, error
                )

    async def read_relay_addresses(self) -> tuple[tuple[str, int], ...]:
        """Return the host and peer port of each relay of the fleet."""
        entries = await self._store.read_prefix(RELAY_PREFIX)
        return tuple(_parse_address(entry.text) for entry in entries)

    async def claim_free_key(self) -> None:
        """Claim a relay key of this failure domain if one is free."""
        own = self._membership.own
        prefix = f'{RELAY_PREFIX}{own.failure_domain}/'
        entries = await self._store.read_prefix(prefix)
        taken_keys = {entry.key for entry in entries}
        own_entries = [
            entry for entry in entries if entry.text == _peer_address(own)
        ]
        if own_entries:
            await self._reclaim_own_key(own_entries[0])
            return
        for index in range(RELAYS_PER_DOMAIN):
            key = f'{prefix}{index}'
            if key not in taken_keys:
                await self._claim(key, 0)
                return

    async def _reclaim_own_key(self, entry: StoredValue) -> None:
        """Claim the key held by an earlier process with the same address."""
        await self._claim(entry.key, entry.revision)

    async def _claim(self, key: str, revision: int) -> None:
        if self._lease_id == 0:
            self._lease_id = await self._store.grant_lease(
                self._lease_s * _MS_PER_S,
            )
        text = _peer_address(self._membership.own)
        try:
            new_revision = await self._store.write(
                Write(key, text, revision, self._lease_id),
            )
        except StoreConflictError:
            return
        self._held_entry = StoredValue(key, text, new_revision)
        self._membership.update_own(relay=True)

    async def _hold_key_forever(self) -> None:
        while True:
            try:
                await self._renew_or_claim()
            except StoreUnavailableError as error:
                logger.debug(
                    'claim or renewal of the relay key failed: %s', error
                )
            except StoreConflictError:
                self._lease_id = 0
                self._held_entry = None
                self._membership.update_own(relay=False)
            wait_s = _CHECK_PERIOD_S
            if self._held_entry is not None:
                wait_s = self._lease_s / _RENEWALS_PER_LEASE
            await asyncio.sleep(wait_s)

    async def _renew_or_claim(self) -> None:
        if self._held_entry is not None:
            await self._store.keep_lease(self._lease_id)
        elif self._should_claim():
            await self.claim_free_key()

    def _should_claim(self) -> bool:
        own = self._membership.own
        members = self._membership.alive_members(own.failure_domain)
        missing = RELAYS_PER_DOMAIN - sum(member.relay for member in members)
        candidates = [member.vm for member in members if not member.relay]
        subject = f'relay {own.failure_domain}'
        return own.vm in rank_members(subject, candidates)[: max(0, missing)]


def _peer_address(member: Member) -> str:
    return f'{member.host}:{member.peer_port}'


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return (host, int(port))
