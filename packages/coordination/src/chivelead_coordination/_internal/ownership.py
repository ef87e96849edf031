"""Ownership of shares.

Rate limits and idempotency keys are partitioned into a fixed number of shares.
The owner of a share holds its part of every rate limit and guards its part of
the idempotency keys.

A share has one record in the store.  Its owner keeps it during outages of the
store.  It changes owner only when the owner releases it, when a new process
starts in the owner's VM, or when its long lease has expired.
"""

import asyncio
import dataclasses
import logging
import secrets
from collections.abc import Awaitable, Callable

from chivelead_protocol import (
    ChiveleadError,
    StoreConflictError,
    StoreUnavailableError,
    now_ms,
    start_supervised,
)

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.rendezvous import preferred_member
from chivelead_coordination._internal.store import Store, StoredValue, Write

logger = logging.getLogger(__name__)

SHARE_COUNT = 64
SHARE_PREFIX = 'share/'
_CLAIM_INTERVAL_S = 1.0
_CLAIM_DELAY_MS = 2000
_OWNED_ELSEWHERE_RETRY_MS = 30_000
_LEASE_SAFETY_FACTOR = 0.9
_RENEWALS_PER_LEASE = 4
_MS_PER_S = 1000
_RELEASED = 'released'

HandoverCallback = Callable[[str, tuple[int, ...]], Awaitable[bool]]


@dataclasses.dataclass(frozen=True)
class Tenure:
    """Ownership of one share by this node, from its claim on.

    Attributes:
        revision: Revision of the share's record in the store.
        since_ms: Time of the claim, by the event loop's clock.
        handover_id: Identifies the records of idempotency keys that the
            previous owner handed over; empty if it handed over none.
        is_first: Whether the share had no record in the store, so that no
            node has renewed its ownership within the duration of a lease.
    """

    share: int
    revision: int
    since_ms: float
    handover_id: str
    is_first: bool


class ShareOwnership:
    """Claim, keep and release shares.

    Args:
        membership: Live members of the fleet and the shares they own.
        store: Store of the platform.
        lease_s: Duration of the lease on the records of shares.

    Attributes:
        failure_domains: All failure domains, among which shares are divided.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        lease_s: int,
    ) -> None:
        """Start without shares."""
        self.failure_domains: tuple[str, ...] = ()
        self._membership = membership
        self._store = store
        self._lease_ms = lease_s * _MS_PER_S
        self._lease_id = 0
        self._valid_until_ms = 0.0
        self._lease_renewed_ms = 0.0
        self._tenures: dict[int, Tenure] = {}
        self._blocked_until_ms: dict[int, float] = {}
        self._started_ms = now_ms()
        self._reclaimed = False
        self._listeners: list[Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def owned(self) -> tuple[int, ...]:
        """Return the shares this node owns; none if the lease is invalid."""
        if now_ms() >= self._valid_until_ms:
            return ()
        return tuple(self._tenures)

    def tenure(self, share: int) -> Tenure | None:
        """Return the tenure of a share, or None if it is not owned here."""
        if now_ms() >= self._valid_until_ms:
            return None
        return self._tenures.get(share)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever the owned shares change."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start the task that claims shares and renews their lease."""
        self._task = start_supervised('shares', self._hold_shares_forever)

    async def close(self) -> None:
        """Stop the task; unreleased shares stay owned by this process."""
        if self._task is not None:
            self._task.cancel()

    async def release(self, hand_over: HandoverCallback) -> None:
        """Hand over the records of idempotency keys, then release all shares.

        Args:
            hand_over: Sends what this node knows of the shares' idempotency
                keys to a successor, under a new handover ID, and returns
                whether the successor accepted it.
        """
        if self._task is not None:
            self._task.cancel()
        tenures = tuple(self._tenures.values())
        self._tenures = {}
        self._notify_listeners()
        if not tenures:
            return
        handover_id = secrets.token_hex(8)  # noqa: WPS432
        shares = tuple(tenure.share for tenure in tenures)
        accepted = await hand_over(handover_id, shares)
        text = f'{_RELEASED} {handover_id}' if accepted else _RELEASED
        await asyncio.gather(
            *(self._write_released(tenure, text) for tenure in tenures),
        )

    async def claim(self, share: int) -> None:
        """Claim one share if its record in the store allows it."""
        key = _share_key(share)
        entry = await self._store.read(key)
        if entry is None:
            await self._write_claim(share, 0, '', is_first=True)
        elif entry.text.startswith(_RELEASED):
            handover_id = entry.text.removeprefix(_RELEASED).strip()
            await self._write_claim(share, entry.revision, handover_id)
        elif entry.text.partition(' ')[0] == self._membership.own.vm:
            # This process has bound the VM's peer port, so the process that
            # wrote the record no longer runs.
            await self._write_claim(share, entry.revision, '')
        else:
            self._blocked_until_ms[share] = now_ms() + _OWNED_ELSEWHERE_RETRY_MS

    async def _hold_shares_forever(self) -> None:
        while True:
            try:
                await self._renew_lease()
                await self._reclaim_own_shares()
                for share in self._claimable_shares():
                    await self.claim(share)
            except StoreUnavailableError as error:
                logger.debug('cannot update share ownership: %s', error)
            except StoreConflictError as error:
                logger.warning('cannot update share ownership: %s', error)
            await asyncio.sleep(_CLAIM_INTERVAL_S)

    async def _renew_lease(self) -> None:
        due_ms = self._lease_renewed_ms + self._lease_ms / _RENEWALS_PER_LEASE
        if self._lease_id and now_ms() < due_ms:
            return
        requested_ms = now_ms()
        if self._lease_id and requested_ms < self._valid_until_ms:
            try:
                await self._store.keep_lease(self._lease_id)
            except StoreConflictError:
                self._drop_shares()
        else:
            self._drop_shares()
        if self._lease_id == 0:
            self._lease_id = await self._store.grant_lease(self._lease_ms)
        self._lease_renewed_ms = requested_ms
        self._valid_until_ms = (
            requested_ms + self._lease_ms * _LEASE_SAFETY_FACTOR
        )

    async def _reclaim_own_shares(self) -> None:
        """Claim the shares that an earlier process in this VM owned."""
        if self._reclaimed:
            return
        own_vm = self._membership.own.vm
        for entry in await self._store.read_prefix(SHARE_PREFIX):
            if entry.text.partition(' ')[0] == own_vm:
                await self.claim(_share_number(entry))
        self._reclaimed = True

    def _claimable_shares(self) -> list[int]:
        domains = sorted(self.failure_domains)
        own = self._membership.own
        time_ms = now_ms()
        may_claim = time_ms - self._started_ms > _CLAIM_DELAY_MS
        if own.failure_domain not in domains or not may_claim:
            return []
        members = self._membership.alive_members(own.failure_domain)
        owned = {share for member in members for share in member.shares}
        domain_index = domains.index(own.failure_domain)
        names = [member.vm for member in members]
        return [
            share
            for share in range(domain_index, SHARE_COUNT, len(domains))
            if share not in owned
            and share not in self._tenures
            and self._blocked_until_ms.get(share, 0) <= time_ms
            and preferred_member(f'share {share}', names) == own.vm
        ]

    async def _write_claim(
        self,
        share: int,
        revision: int,
        handover_id: str,
        *,
        is_first: bool = False,
    ) -> None:
        own = self._membership.own
        key = _share_key(share)
        text = f'{own.vm} {own.boot_id}'
        try:
            new_revision = await self._store.write(
                Write(key, text, revision, self._lease_id),
            )
        except StoreConflictError:
            self._blocked_until_ms[share] = now_ms() + _CLAIM_DELAY_MS
            return
        self._tenures[share] = Tenure(
            share=share,
            revision=new_revision,
            since_ms=now_ms(),
            handover_id=handover_id,
            is_first=is_first,
        )
        self._notify_listeners()

    async def _write_released(self, tenure: Tenure, text: str) -> None:
        try:
            await self._store.write(
                Write(_share_key(tenure.share), text, tenure.revision),
            )
        except ChiveleadError as error:
            logger.warning('cannot release share %d: %s', tenure.share, error)

    def _drop_shares(self) -> None:
        self._lease_id = 0
        if self._tenures:
            self._tenures = {}
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        self._membership.update_own(shares=tuple(sorted(self._tenures)))
        for listener in self._listeners:
            listener()


def _share_key(share: int) -> str:
    return f'{SHARE_PREFIX}{share:03d}'


def _share_number(entry: StoredValue) -> int:
    return int(entry.key.removeprefix(SHARE_PREFIX))
