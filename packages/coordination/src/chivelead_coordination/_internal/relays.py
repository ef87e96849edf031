"""Relay keys: a few nodes of each failure domain that use the store.

A relay key also tells a new node where its first peers are.  Keys carry a
lease, so a relay that has gone is replaced.
"""

import asyncio
import logging

from chivelead_protocol import (
    ChiveleadError,
    Member,
    StoreConflictError,
    StoreUnavailableError,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.rendezvous import ranked
from chivelead_coordination._internal.store import Store, StoredValue, Write

logger = logging.getLogger(__name__)

RELAY_PREFIX = 'relay/'
RELAYS_PER_DOMAIN = 3
_PERIOD_S = 2.0
_RENEWALS_PER_LEASE = 3
_MS_PER_S = 1000


class RelayDuty:
    """Hold a relay key while this node should.

    Args:
        membership: Tells who else is alive.
        store: Store of the platform.
        lease_s: Lease of a relay key.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        lease_s: int,
    ) -> None:
        """Start without a key."""
        self._membership = membership
        self._store = store
        self._lease_s = lease_s
        self._lease_id = 0
        self._held: StoredValue | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to hold a key where one is missing."""
        self._task = asyncio.create_task(self._hold_forever())

    async def close(self) -> None:
        """Stop, and free the key if the store can be reached."""
        if self._task is not None:
            self._task.cancel()
        held = self._held
        if held is not None:
            self._held = None
            try:
                await self._store.delete(held.key, held.revision)
            except ChiveleadError as error:
                logger.debug('free %s: %s', held.key, error)

    async def find_first_peers(self) -> tuple[tuple[str, int], ...]:
        """Return host and peer port of the relays of the whole fleet."""
        entries = await self._store.read_prefix(RELAY_PREFIX)
        return tuple(_parse_address(entry.text) for entry in entries)

    async def claim_if_free(self) -> None:
        """Take a free relay key of the own failure domain."""
        own = self._membership.own
        prefix = f'{RELAY_PREFIX}{own.failure_domain}/'
        entries = await self._store.read_prefix(prefix)
        taken = {entry.key for entry in entries}
        mine = [entry for entry in entries if entry.text == _address(own)]
        if mine:
            await self._replace_own(mine[0])
            return
        for number in range(RELAYS_PER_DOMAIN):
            key = f'{prefix}{number}'
            if key not in taken:
                await self._claim(key, 0)
                return

    async def _replace_own(self, entry: StoredValue) -> None:
        """Take over the key that an earlier process in this slot held."""
        await self._claim(entry.key, entry.revision)

    async def _claim(self, key: str, revision: int) -> None:
        if self._lease_id == 0:
            self._lease_id = await self._store.grant_lease(
                self._lease_s * _MS_PER_S,
            )
        text = _address(self._membership.own)
        try:
            written = await self._store.write(
                Write(key, text, revision, self._lease_id),
            )
        except StoreConflictError:
            return
        self._held = StoredValue(key, text, written)
        self._membership.update_own(relay=True)

    async def _hold_forever(self) -> None:
        while True:
            try:
                await self._hold_once()
            except StoreUnavailableError as error:
                logger.debug('relay key: %s', error)
            except StoreConflictError:
                self._lease_id = 0
                self._held = None
                self._membership.update_own(relay=False)
            wait_s = _PERIOD_S
            if self._held is not None:
                wait_s = self._lease_s / _RENEWALS_PER_LEASE
            await asyncio.sleep(wait_s)

    async def _hold_once(self) -> None:
        if self._held is not None:
            await self._store.keep_lease(self._lease_id)
        elif self._should_claim():
            await self.claim_if_free()

    def _should_claim(self) -> bool:
        own = self._membership.own
        members = self._membership.alive_members(own.failure_domain)
        missing = RELAYS_PER_DOMAIN - sum(member.relay for member in members)
        idle = [member.vm for member in members if not member.relay]
        subject = f'relay {own.failure_domain}'
        return own.vm in ranked(subject, idle)[: max(0, missing)]


def _address(member: Member) -> str:
    return f'{member.host}:{member.peer_port}'


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return (host, int(port))
