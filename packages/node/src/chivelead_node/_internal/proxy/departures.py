"""Departures of targets, kept for the next start of a node.

A target that has left may serve for some time without announcing itself.  A
node that restarts meanwhile would take an announcement that arrives late, or
the response to a probe, for a target that is ready.  The store and the peers
of the node both keep departures, as either may lose them.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from chivelead_coordination import StoreEra, WatchableStore, Write
from chivelead_protocol import (
    StoreError,
    TargetDeparture,
    start_once,
    start_supervised,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.backoff import Backoff
from chivelead_node._internal.proxy.departure_entries import (
    format_departures,
    parse_departures,
)
from chivelead_node._internal.proxy.registration import TargetRegistration

logger = logging.getLogger(__name__)

KEY_PREFIX = 'chivelead/departures/'

# Longer than a target serves after it has left.
_KEPT_MS = 600_000
# The time that a start, and the response to a target, wait for the store.
_STORE_WAIT_S = 0.3
# The response to a target waits this much longer while neither the store nor a
# peer keeps its departure.  A target waits a second for it.
_KEPT_WAIT_S = 0.4


class DepartureRecords:
    """Save the departures of the targets on this VM, and restore them.

    Args:
        vm: This VM.
        store: Store of the platform.
        era: Era of the store; what was saved in an earlier one may be lost.
        registration: State of the target.
        events: Event log.
    """

    def __init__(
        self,
        vm: str,
        store: WatchableStore,
        era: StoreEra,
        registration: TargetRegistration,
        events: EventLog,
    ) -> None:
        """Create records; nothing is read or saved yet."""
        self._key = f'{KEY_PREFIX}{vm}'
        self._store = store
        self._era = era
        self._registration = registration
        self._events = events
        self._saved: dict[str, int] = {}
        self._saved_era = 0
        self._told: dict[str, int] = {}
        self._tell_peers: Callable[[], Coroutine[Any, Any, bool]] | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._tell_task: asyncio.Task[bool] | None = None
        self._restore_task: asyncio.Task[None] | None = None
        registration.listen(self._keep_changes)
        era.listen(self._save_again)

    async def start(
        self,
        tell_peers: Callable[[], Coroutine[Any, Any, bool]],
        *,
        restore: bool,
    ) -> None:
        """Restore the departures of an earlier start, if there was one.

        If the store does not reply in time, they are restored later.

        Args:
            tell_peers: Sends the entry of this node to another one; returns
                whether one responded.
            restore: Whether there was an earlier start.
        """
        self._tell_peers = tell_peers
        if restore:
            self._restore_task = start_supervised(
                'departures-restore',
                self._restore,
                self._events.record_task_failure,
            )
            await asyncio.wait((self._restore_task,), timeout=_STORE_WAIT_S)

    async def close(self) -> None:
        """Stop reading and saving."""
        for task in (self._restore_task, self._save_task, self._tell_task):
            if task is not None:
                task.cancel()

    async def wait_until_kept(self) -> bool:
        """Wait until store and peers know the departures, for a short time.

        Either may lose them: a peer restarts, the store comes back from a copy.

        Returns:
            Whether the store or a peer knows them.
        """
        self._keep_changes()
        tasks = [task for task in (self._save_task, self._tell_task) if task]
        if not tasks:
            return True
        _, pending = await asyncio.wait(tasks, timeout=_STORE_WAIT_S)
        if pending and not self._is_kept():
            await asyncio.wait(
                pending,
                timeout=_KEPT_WAIT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        return self._is_kept()

    def restore_from_peer(
        self, vm: str, published: Iterable[TargetDeparture]
    ) -> None:
        """Add departures that a peer knows from an earlier start."""
        known = self._registration.departures
        missing = {
            departure.target_id: departure.latest_start_ms
            for departure in published
            if known.get(departure.target_id, -1) < departure.latest_start_ms
        }
        if missing:
            self._restore_known(missing, source=vm)

    async def _restore(self) -> None:
        backoff = Backoff()
        while True:
            try:
                entry = await self._store.read(self._key)
            except StoreError as error:
                logger.debug('reading the departures failed: %s', error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                break
        if entry is None:
            return
        departures = parse_departures(entry.text)
        self._saved = departures
        self._saved_era = self._era.number
        self._restore_known(departures, source='store')

    def _restore_known(self, departures: dict[str, int], source: str) -> None:
        self._events.record_node_event(
            'departures-restored', targets=','.join(departures), source=source
        )
        self._registration.restore_departures(departures)

    def _save_again(self, era: int, before: int, source: str) -> None:
        self._save_soon()

    def _keep_changes(self) -> None:
        is_telling = self._tell_task is not None and not self._tell_task.done()
        if not is_telling and self._registration.departures != self._told:
            self._tell_task = start_once(
                'departures-tell', self._tell, self._events.record_task_failure
            )
        self._save_soon()

    async def _tell(self) -> None:
        departures: dict[str, int] | None = None
        while departures != self._registration.departures:
            departures = dict(self._registration.departures)
            if self._tell_peers is not None and await self._tell_peers():
                self._told = departures

    def _is_kept(self) -> bool:
        is_told = self._registration.departures == self._told
        return is_told or not self._has_changed()

    def _save_soon(self) -> None:
        is_saving = self._save_task is not None and not self._save_task.done()
        if not is_saving and self._has_changed():
            self._save_task = start_supervised(
                'departures-save',
                self._save,
                self._events.record_task_failure,
            )

    def _has_changed(self) -> bool:
        departures = self._registration.departures
        is_lost = departures and self._saved_era != self._era.number
        return bool(is_lost) or departures != self._saved

    async def _save(self) -> None:
        backoff = Backoff()
        if self._restore_task is not None:
            # Otherwise, those that are not read yet would be overwritten.
            await asyncio.wait((self._restore_task,))
        while self._has_changed():
            departures = dict(self._registration.departures)
            try:
                era = await self._write(departures)
            except StoreError as error:
                logger.debug('saving the departures failed: %s', error)
                await asyncio.sleep(backoff.next_delay_s())
            else:
                self._saved = departures
                self._saved_era = era

    async def _write(self, departures: dict[str, int]) -> int:
        """Save departures; return the era of the store in which they last."""
        lease_id = await self._store.grant_lease(_KEPT_MS)
        # If the store comes back from a copy before the write, the lease is
        # another one there.
        era = self._era.number
        await self._store.write(
            Write(
                self._key,
                format_departures(departures),
                expected_revision=None,
                lease_id=lease_id,
            )
        )
        return era
