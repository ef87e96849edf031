"""Discovery of nodes by entries in the store, each attached to a lease."""

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable

from chivelead_coordination import (
    Change,
    Membership,
    WatchableStore,
    Write,
)
from chivelead_protocol import (
    HistoryLostError,
    Member,
    StoreConflictError,
    StoreError,
    now_ms,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.backoff import Backoff

logger = logging.getLogger(__name__)

KEY_PREFIX = 'chivelead/nodes/'

# An entry expires after three failed lease renewals.
LEASE_TTL_MS = 4000
_LEASE_RENEWAL_PERIOD_S = 1.2
_WATCH_TIMEOUT_MS = 5000
# Delay between a change and the next watch call. It batches changes, each of
# which would otherwise cost a call by every node; heartbeats carry urgent ones.
_WATCH_INTERVAL_S = 1.0
# A node that is alive restores its entry within this time after a store outage.
_REMOVAL_DELAY_S = 2.0
# A node that sent a heartbeat within this time is alive, even if its entry is
# missing from the store.
_RECENTLY_HEARD_MS = 2500.0


class NodeDirectory:
    """Maintain the entry of this node and watch those of other nodes.

    Args:
        store: Store of the platform.
        membership: Table that the entries are added to.
        last_heard_ms: Returns when the last heartbeat of a node arrived, as the
            time of the event loop.
        events: Event log.
    """

    def __init__(
        self,
        store: WatchableStore,
        membership: Membership,
        last_heard_ms: Callable[[str], float],
        events: EventLog,
    ) -> None:
        """Create a directory; nothing is written yet."""
        self.store_reachable = False
        self._store = store
        self._membership = membership
        self._last_heard_ms = last_heard_ms
        self._events = events
        self._lease_id = 0
        self._revision: int | None = None
        self._written_member: Member | None = None
        self._own_entry_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._present_keys: set[str] = set()

    async def start(self) -> None:
        """Start maintaining the entry of this node and watching the others."""
        self._membership.listen(self._handle_member_change)
        self._spawn(self._maintain_entry_forever())
        self._spawn(self._watch_forever())

    async def close(self) -> None:
        """Stop, and delete the entry of this node if the store is reachable."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._revision:
            try:
                await self._store.delete(self._own_key(), self._revision)
            except StoreError as error:
                logger.debug(
                    'deleting the entry of this node failed: %s', error
                )

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _own_key(self) -> str:
        return f'{KEY_PREFIX}{self._membership.own.vm}'

    def _handle_member_change(self, member: Member) -> None:
        if member.vm == self._membership.own.vm:
            self._own_entry_changed.set()

    async def _maintain_entry_forever(self) -> None:
        backoff = Backoff()
        while True:
            try:
                await self._refresh_entry()
            except StoreConflictError as error:
                # The lease has expired, or an earlier write took effect after
                # it had timed out here.
                logger.debug('conflict on the entry of this node: %s', error)
                self._lease_id = 0
                self._revision = None
                self._record_store_state(reachable=True)
            except StoreError as error:
                self._record_store_state(reachable=False, reason=str(error))
                self._revision = None
                await asyncio.sleep(backoff.next_delay_s())
            else:
                backoff.reset()
                self._record_store_state(reachable=True)
                await self._wait_for_change()

    async def _refresh_entry(self) -> None:
        if self._lease_id:
            await self._store.keep_lease(self._lease_id)
        else:
            self._lease_id = await self._store.grant_lease(LEASE_TTL_MS)
            self._written_member = None
        own = self._membership.own
        if self._written_member == own and self._revision:
            return
        if self._revision is None:
            entry = await self._store.read(self._own_key())
            self._revision = entry.revision if entry else 0
        self._own_entry_changed.clear()
        self._revision = await self._store.write(
            Write(
                self._own_key(),
                json.dumps(dataclasses.asdict(own)),
                self._revision,
                self._lease_id,
            ),
        )
        self._written_member = own

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_LEASE_RENEWAL_PERIOD_S):
                await self._own_entry_changed.wait()
        except TimeoutError:
            return

    async def _watch_forever(self) -> None:
        backoff = Backoff()
        while True:
            try:
                await self._watch(backoff)
            except HistoryLostError as error:
                self._events.record_node_event(
                    'directory-history-lost', why=str(error)
                )
            except StoreError as error:
                logger.debug('watching the entries failed: %s', error)
                await asyncio.sleep(backoff.next_delay_s())

    async def _watch(self, backoff: Backoff) -> None:
        """List all entries, then apply changes until a watch call fails."""
        listing = await self._store.list_prefix(KEY_PREFIX)
        backoff.reset()
        self._present_keys = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            self._apply_entry(entry.text)
        missing_vms = [
            member.vm
            for member in self._membership.alive_members()
            if f'{KEY_PREFIX}{member.vm}' not in self._present_keys
        ]
        if missing_vms:
            self._spawn(self._remove_after_delay(missing_vms))
        revision = listing.revision
        while True:
            changes = await self._store.watch_prefix(
                KEY_PREFIX,
                revision,
                _WATCH_TIMEOUT_MS,
            )
            revision = max(revision, changes.revision)
            for change in changes.changes:
                self._apply_change(change)
            if changes.changes:
                await asyncio.sleep(_WATCH_INTERVAL_S)

    def _apply_change(self, change: Change) -> None:
        if change.entry is None:
            self._present_keys.discard(change.key)
            self._spawn(
                self._remove_after_delay([change.key.removeprefix(KEY_PREFIX)])
            )
            return
        self._present_keys.add(change.key)
        self._apply_entry(change.entry.text)

    def _apply_entry(self, text: str) -> None:
        try:
            member = _parse_member(text)
        except (ValueError, TypeError) as error:
            self._events.record_node_event('bad-entry', why=str(error))
            return
        self._membership.merge_self_reported(member)

    async def _remove_after_delay(self, vms: list[str]) -> None:
        await asyncio.sleep(_REMOVAL_DELAY_S)
        for vm in vms:
            is_recently_heard = (
                now_ms() - self._last_heard_ms(vm) < _RECENTLY_HEARD_MS
            )
            if f'{KEY_PREFIX}{vm}' in self._present_keys or is_recently_heard:
                continue
            self._events.record_node_event('node-gone', peer=vm)
            self._membership.mark_dead(vm)

    def _record_store_state(self, *, reachable: bool, reason: str = '') -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        event = 'store-answers' if reachable else 'store-lost'
        self._events.record_node_event(event, why=reason)


def _parse_member(text: str) -> Member:
    fields = json.loads(text)
    if not isinstance(fields, dict):
        raise TypeError('the entry is not a JSON object')
    fields['shares'] = tuple(fields.get('shares', ()))
    member = Member(**fields)
    for name, type_example in dataclasses.asdict(_TYPE_EXAMPLE).items():
        if not isinstance(getattr(member, name), type(type_example)):
            raise TypeError(
                f'{name}: expected the same type as {type_example!r}'
            )
    return member


_TYPE_EXAMPLE = Member(
    vm='',
    boot_id='',
    incarnation=0,
    version=0,
    alive=False,
    relay=False,
    host='',
    peer_port=0,
    failure_domain='',
    region='',
    service='',
    target_state='',
    target_slots=0,
    target_connections=0,
    shares=(),
)
