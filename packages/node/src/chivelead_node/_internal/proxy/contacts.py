"""Contacts: a few nodes of each failure domain, listed in the store.

A node that starts finds the fleet by them.  They say where to ask, not who is
alive: that is known from reports only, so they need no leases and no watches.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterable

from chivelead_coordination import (
    Listing,
    Membership,
    RelayRanking,
    StoredValue,
    StoreEra,
    WatchableStore,
    Write,
)
from chivelead_protocol import (
    ConfigurationError,
    Member,
    StoreConflictError,
    StoreError,
    loop_ms,
    start_supervised,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.backoff import Backoff
from chivelead_node._internal.proxy.contact_entries import (
    format_contact,
    parse_contact,
)
from chivelead_node._internal.proxy.domain_relay import DomainRelay
from chivelead_node._internal.proxy.fleet_reporter import FleetReporter

logger = logging.getLogger(__name__)

KEY_PREFIX = 'chivelead/contacts/'

_CONTACTS_PER_DOMAIN = 2
# When the fleet starts, each node waits this long at most before it registers
# itself, unless another node of its failure domain has done so before.
_MAX_FOUNDING_DELAY_MS = 3000.0
_MIN_FOUNDING_DELAY_MS = 200.0
# Reads that may be stale are cheap, but still cost.
_JOIN_PERIOD_S = 0.4
_CHECK_PERIOD_S = 5.0
# Failure domains that start later are found by more frequent checks.
_STARTUP_CHECK_PERIOD_S = 1.0
_STARTUP_CHECKS = 5
_MS_PER_S = 1000


class ContactDirectory:
    """Find the fleet by its contacts, and keep those of this domain current.

    Args:
        store: Store of the platform.
        era: Era of the store; the contacts of an earlier one may be lost.
        membership: Table that unknown contacts are added to.
        ranking: Ranks the nodes of a failure domain.
        reporter: Joins the fleet through a contact.
        relay: Exchanges digests with contacts.
        events: Event log.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(  # noqa: WPS211
        self,
        store: WatchableStore,
        era: StoreEra,
        membership: Membership,
        ranking: RelayRanking,
        reporter: FleetReporter,
        relay: DomainRelay,
        events: EventLog,
        *,
        first_start: bool,
    ) -> None:
        """Create a directory; the store is not used yet."""
        self.store_reachable = False
        self._store = store
        self._membership = membership
        self._ranking = ranking
        self._reporter = reporter
        self._relay = relay
        self._events = events
        self._first_start = first_start
        self._backoff = Backoff()
        self._store_returned = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        era.listen(self._handle_era)

    async def start(self) -> None:
        """Start joining the fleet."""
        self._task = start_supervised(
            'contacts', self._run, self._events.record_task_failure
        )

    async def close(self) -> None:
        """Stop; the contacts stay, for the next start of this node."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        await self._join()
        for _ in range(_STARTUP_CHECKS):
            await self._check_and_wait(_STARTUP_CHECK_PERIOD_S)
        while True:
            await self._check_and_wait(_CHECK_PERIOD_S)

    def _handle_era(self, era: int, before: int, source: str) -> None:
        if before:
            self._store_returned.set()

    async def _check_and_wait(self, period_s: float) -> None:
        """Check the contacts; wait for a time or the return of the store."""
        has_returned = self._store_returned.is_set()
        self._store_returned.clear()
        # A stale read may be of the time before the store came back.
        is_checked = await self._check_guarded(may_be_stale=not has_returned)
        if has_returned and not is_checked:
            self._store_returned.set()
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                await self._store_returned.wait()

    async def _join(self) -> None:
        """Report to a contact, or become one if there is none."""
        found_at_ms = loop_ms() + self._founding_delay_ms()
        while not self._relay.joined.is_set():
            try:
                await self._try_to_join(found_at_ms)
            except StoreError as error:
                self._record_store_state(reachable=False, reason=str(error))
                await asyncio.sleep(self._backoff.next_delay_s())
            else:
                self._record_store_state(reachable=True)
                await self._wait_until_joined()

    async def _wait_until_joined(self) -> None:
        try:
            async with asyncio.timeout(_JOIN_PERIOD_S):
                await self._relay.joined.wait()
        except TimeoutError:
            return

    async def _try_to_join(self, found_at_ms: float) -> None:
        listing = await self._list(may_be_stale=True)
        if await self._report_to_contact(listing):
            return
        if loop_ms() >= found_at_ms:
            listing = await self._list(may_be_stale=False)
            if not await self._report_to_contact(listing):
                await self._register_own(listing)
                self._relay.joined.set()

    async def _report_to_contact(self, listing: Listing) -> bool:
        for member in self._add_contacts(listing):
            is_own_domain = (
                member.failure_domain == self._membership.own.failure_domain
            )
            if is_own_domain and await self._reporter.join_via(member.vm):
                return True
        return False

    def _founding_delay_ms(self) -> float:
        if not self._first_start:
            return 0
        return random.uniform(  # noqa: S311
            _MIN_FOUNDING_DELAY_MS, _MAX_FOUNDING_DELAY_MS
        )

    async def _check_guarded(self, *, may_be_stale: bool) -> bool:
        """Check the contacts if this is for this node to do.

        Returns:
            Whether no other check is needed soon.
        """
        if not self._relay.is_relay():
            return True
        try:
            await self._check(may_be_stale=may_be_stale)
        except StoreConflictError as error:
            logger.debug('another node changed the contacts: %s', error)
            return False
        except StoreError as error:
            self._record_store_state(reachable=False, reason=str(error))
            return False
        self._record_store_state(reachable=True)
        return True

    async def _check(self, *, may_be_stale: bool) -> None:
        """Look for unknown nodes, and replace contacts that are gone."""
        listing = await self._list(may_be_stale=may_be_stale)
        for member in self._add_contacts(listing):
            known = self._membership.find(member.vm)
            if known is None or not known.alive or not known.version:
                await self._relay.exchange_with(member.vm)
        if self._ranking.is_first and self._find_vacant(listing):
            # Only what is read afresh may be replaced.
            await self._register_candidates(
                await self._list(may_be_stale=False)
            )

    async def _register_candidates(self, listing: Listing) -> None:
        own_domain = self._membership.own.failure_domain
        listed_vms = {member.vm for member in _parse_contacts(listing.entries)}
        candidates = [
            vm
            for vm in self._ranking.ranked(own_domain)
            if vm not in listed_vms
        ]
        vacant = self._find_vacant(listing)
        for (key, revision), vm in zip(vacant, candidates, strict=False):
            await self._register(key, revision, vm)

    async def _register_own(self, listing: Listing) -> None:
        own = self._membership.own
        listed_vms = {member.vm for member in _parse_contacts(listing.entries)}
        if own.vm in listed_vms:
            return
        vacant = self._find_vacant(listing, only_reachable=True)
        if vacant:
            await self._register(*vacant[0], own.vm)

    def _find_vacant(
        self, listing: Listing, *, only_reachable: bool = False
    ) -> list[tuple[str, int]]:
        """Return key and revision of the contacts of this domain to write.

        Args:
            listing: The contacts in the store.
            only_reachable: Whether a contact that does not respond is vacant
                too, although it may be alive.
        """
        own_domain = self._membership.own.failure_domain
        entries = {entry.key: entry for entry in listing.entries}
        vacant = []
        for slot in range(_CONTACTS_PER_DOMAIN):
            key = f'{KEY_PREFIX}{own_domain}/{slot}'
            entry = entries.get(key)
            if entry is None:
                vacant.append((key, 0))
            elif only_reachable or self._is_gone(entry):
                vacant.append((key, entry.revision))
        return vacant

    def _is_gone(self, entry: StoredValue) -> bool:
        contacts = _parse_contacts([entry])
        if not contacts:
            return True
        known = self._membership.find(contacts[0].vm)
        return known is not None and not known.alive

    async def _register(self, key: str, revision: int, vm: str) -> None:
        member = self._membership.find(vm)
        if member is None:
            return
        await self._store.write(Write(key, format_contact(member), revision))
        self._events.record_node_event(
            'contact-registered', key=key, contact=vm
        )

    async def _list(self, *, may_be_stale: bool) -> Listing:
        listing = await self._store.list_prefix(
            KEY_PREFIX, may_be_stale=may_be_stale
        )
        self._backoff.reset()
        return listing

    def _add_contacts(self, listing: Listing) -> list[Member]:
        """Add unknown contacts to the table; return all but this node."""
        contacts = [
            member
            for member in _parse_contacts(listing.entries)
            if member.vm != self._membership.own.vm
        ]
        for member in contacts:
            known = self._membership.find(member.vm)
            if known is None or member.incarnation > known.incarnation:
                self._membership.merge_self_reported(member)
        return contacts

    def _record_store_state(self, *, reachable: bool, reason: str = '') -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        event = 'store-answers' if reachable else 'store-lost'
        self._events.record_node_event(event, why=reason)


def _parse_contacts(entries: Iterable[StoredValue]) -> list[Member]:
    """Return the contacts in the entries, without those that are malformed."""
    contacts = []
    for entry in entries:
        try:
            contacts.append(parse_contact(entry.text))
        except ConfigurationError as error:
            logger.warning('contact %.200r: %s', entry.key, error)
    return contacts
