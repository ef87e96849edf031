"""Nodes find each other by entries in the store, held by leases."""

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

PREFIX = 'chivelead/nodes/'

# Three renewals may fail before an entry ends.
LEASE_MS = 4000
_KEEP_PERIOD_S = 1.2
_WATCH_MS = 5000
# Each change of an entry would else cost a call of every node; what cannot
# wait is told by pulses.
_WATCH_PAUSE_S = 1.0
# An entry that is missing for longer after an outage belongs to a dead node.
_MISSING_GRACE_S = 2.0
# A node heard within this time lives, whatever the store says.
_HEARD_MS = 2500.0


class NodeDirectory:
    """Hold the own entry and follow those of others.

    Args:
        store: The platform's store.
        membership: Table that the entries go into.
        heard_ms: Returns when a node was last heard, by the loop's clock.
        events: Log of events.
    """

    def __init__(
        self,
        store: WatchableStore,
        membership: Membership,
        heard_ms: Callable[[str], float],
        events: EventLog,
    ) -> None:
        """Start with nothing written."""
        self.store_answers = False
        self._store = store
        self._membership = membership
        self._heard_ms = heard_ms
        self._events = events
        self._lease_id = 0
        self._revision: int | None = None
        self._written: Member | None = None
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._present: set[str] = set()

    async def start(self) -> None:
        """Begin to hold the entry and to follow the others."""
        self._membership.listen(self._note_change)
        self._spawn(self._hold_forever())
        self._spawn(self._follow_forever())

    async def close(self) -> None:
        """Stop, and remove the own entry if the store answers."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._revision:
            try:
                await self._store.delete(self._own_key(), self._revision)
            except StoreError as error:
                logger.debug('remove own entry: %s', error)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _own_key(self) -> str:
        return f'{PREFIX}{self._membership.own.vm}'

    def _note_change(self, member: Member) -> None:
        if member.vm == self._membership.own.vm:
            self._changed.set()

    async def _hold_forever(self) -> None:
        backoff = Backoff()
        while True:
            try:
                await self._hold_once()
            except StoreConflictError as error:
                # The lease has ended, or a write of ours took effect late.
                logger.debug('hold entry: %s', error)
                self._lease_id = 0
                self._revision = None
                self._note_store(answers=True)
            except StoreError as error:
                self._note_store(answers=False, reason=str(error))
                self._revision = None
                await asyncio.sleep(backoff.next_s())
            else:
                backoff.succeeded()
                self._note_store(answers=True)
                await self._wait_for_change()

    async def _hold_once(self) -> None:
        if self._lease_id:
            await self._store.keep_lease(self._lease_id)
        else:
            self._lease_id = await self._store.grant_lease(LEASE_MS)
            self._written = None
        own = self._membership.own
        if self._written == own and self._revision:
            return
        if self._revision is None:
            entry = await self._store.read(self._own_key())
            self._revision = entry.revision if entry else 0
        self._changed.clear()
        self._revision = await self._store.write(
            Write(
                self._own_key(),
                json.dumps(dataclasses.asdict(own)),
                self._revision,
                self._lease_id,
            ),
        )
        self._written = own

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_KEEP_PERIOD_S):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _follow_forever(self) -> None:
        backoff = Backoff()
        while True:
            try:
                await self._follow(backoff)
            except HistoryLostError as error:
                self._events.record_node_event(
                    'directory-history-lost', why=str(error)
                )
            except StoreError as error:
                logger.debug('follow entries: %s', error)
                await asyncio.sleep(backoff.next_s())

    async def _follow(self, backoff: Backoff) -> None:
        """List all entries, then apply changes until a watch fails."""
        listing = await self._store.list_prefix(PREFIX)
        backoff.succeeded()
        self._present = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            self._take_in(entry.text)
        missing = [
            member.vm
            for member in self._membership.alive_members()
            if f'{PREFIX}{member.vm}' not in self._present
        ]
        if missing:
            self._spawn(self._drop_later(missing))
        revision = listing.revision
        while True:
            changes = await self._store.watch_prefix(
                PREFIX,
                revision,
                _WATCH_MS,
            )
            revision = max(revision, changes.revision)
            for change in changes.changes:
                self._apply(change)
            if changes.changes:
                await asyncio.sleep(_WATCH_PAUSE_S)

    def _apply(self, change: Change) -> None:
        if change.entry is None:
            self._present.discard(change.key)
            self._spawn(self._drop_later([change.key.removeprefix(PREFIX)]))
            return
        self._present.add(change.key)
        self._take_in(change.entry.text)

    def _take_in(self, text: str) -> None:
        try:
            member = _parse_member(text)
        except (ValueError, TypeError) as error:
            self._events.record_node_event('bad-entry', why=str(error))
            return
        self._membership.merge_self_reported(member)

    async def _drop_later(self, vms: list[str]) -> None:
        await asyncio.sleep(_MISSING_GRACE_S)
        for vm in vms:
            is_heard = now_ms() - self._heard_ms(vm) < _HEARD_MS
            if f'{PREFIX}{vm}' in self._present or is_heard:
                continue
            self._events.record_node_event('node-gone', peer=vm)
            self._membership.mark_dead(vm)

    def _note_store(self, *, answers: bool, reason: str = '') -> None:
        if answers == self.store_answers:
            return
        self.store_answers = answers
        name = 'store-answers' if answers else 'store-lost'
        self._events.record_node_event(name, why=reason)


def _parse_member(text: str) -> Member:
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise TypeError('the entry is no object')
    raw['shares'] = tuple(raw.get('shares', ()))
    member = Member(**raw)
    for name, example in dataclasses.asdict(_EXAMPLE).items():
        if not isinstance(getattr(member, name), type(example)):
            raise TypeError(f'{name}: expected as in {example!r}')
    return member


_EXAMPLE = Member(
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
