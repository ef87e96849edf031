"""Updates of the traffic plan from the store and from peers."""

import asyncio
import contextlib
import dataclasses
import functools
import logging
from collections.abc import Callable

from chivelead_config import EMPTY_PLAN, TrafficPlan
from chivelead_coordination import Network, StoreEra, WatchableStore
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    PlanPull,
    PlanText,
    StoreError,
    StoreTimeoutError,
    loop_ms,
    start_once,
    start_supervised,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.backoff import Backoff
from chivelead_node._internal.proxy.plan_budget import PlanBudget

logger = logging.getLogger(__name__)

# While another node watches for the failure domain.
_ROLE_CHECK_PERIOD_S = 0.1
_PULL_TIMEOUT_MS = 1000
# The time that a start waits for peers, which may have a newer plan than a
# store that has come back from a copy.
_PEER_WAIT_S = 0.3

PlanListener = Callable[[TrafficPlan], None]


@dataclasses.dataclass(frozen=True)
class _WatchPosition:
    """Up to where a watch has seen the changes of the store."""

    era: int
    revision: int


class PlanFeed:
    """Keep the newest traffic plan.

    The version never decreases during the life of a process.

    Args:
        store: Store of the platform.
        era: Era of the store.
        key: Key of the plan in the store.
        parse: Parses the text of the plan.
        network: Links to other nodes.
        events: Event log.
        bound_ms: Time in which a new plan must take effect everywhere.

    Attributes:
        current: Plan in force.
        watch_timeout_ms: Time after which a watch without changes ends.
    """

    def __init__(  # noqa: WPS211
        self,
        store: WatchableStore,
        era: StoreEra,
        key: str,
        parse: Callable[[bytes], TrafficPlan],
        network: Network,
        events: EventLog,
        bound_ms: float,
    ) -> None:
        """Create a feed without a plan."""
        self.current = EMPTY_PLAN
        self.watch_timeout_ms = PlanBudget(bound_ms).watch_ms
        self._current_text = ''
        self._store = store
        self._era = era
        self._key = key
        self._parse = parse
        self._network = network
        self._events = events
        self._store_heard_ms = loop_ms()
        self._listeners: list[PlanListener] = []
        self._watch_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._pull_tasks: set[asyncio.Task[bool]] = set()

    async def start(
        self,
        should_watch: Callable[[], bool],
        joined: asyncio.Event,
        *,
        read_first: bool,
    ) -> None:
        """Start watching the store while this node is to watch it.

        Args:
            should_watch: Whether this node watches for its failure domain; the
                others get changes from their peers.
            joined: Set once a peer has told the version of its plan, or there
                is no peer.
            read_first: Whether to read the plan at once, as requests arrive
                already.
        """
        record_failure = self._events.record_task_failure
        self._watch_task = start_supervised(
            'plan-watch',
            functools.partial(self._watch_forever, should_watch),
            record_failure,
        )
        if read_first:
            self._read_task = start_supervised(
                'plan-read',
                functools.partial(self._read_first, joined),
                record_failure,
            )

    async def close(self) -> None:
        """Stop watching the store and pulling from peers."""
        for task in (self._watch_task, self._read_task, *self._pull_tasks):
            if task is not None:
                task.cancel()

    def current_plan(self) -> TrafficPlan:
        """Return the plan in force."""
        return self.current

    def age_ms(self) -> float:
        """Return the time since the store was last read or watched."""
        return loop_ms() - self._store_heard_ms

    def add_listener(self, listener: PlanListener) -> None:
        """Call ``listener`` with each new plan that takes effect."""
        self._listeners.append(listener)

    def handle_pull(self) -> PlanText:
        """Return the version and text of the plan in force."""
        return PlanText(self.current.version, self._current_text)

    def pull_if_newer(self, vm: str, version: int) -> None:
        """Start pulling the plan of a peer if its version is newer."""
        if version > self.current.version and not self._pull_tasks:
            task = start_once(
                'plan-pull',
                functools.partial(self._pull_from, vm),
                self._events.record_task_failure,
            )
            self._pull_tasks.add(task)
            task.add_done_callback(self._pull_tasks.discard)

    async def _pull_from(self, vm: str) -> None:
        try:
            reply = await self._network.request(
                vm,
                PlanPull(),
                _PULL_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('pulling the plan from %s failed: %s', vm, error)
            return
        if isinstance(reply, PlanText) and reply.text:
            self._apply_text(reply.text, vm)

    async def _read_first(self, joined: asyncio.Event) -> None:
        """Read the plan until there is one, from here or from a peer."""
        backoff = Backoff()
        while not self.current.version:
            try:
                entry = await self._store.read(self._key)
            except StoreError as error:
                logger.debug('reading the plan failed: %s', error)
            else:
                self._store_heard_ms = loop_ms()
                if entry is not None:
                    await self._wait_for_peers(joined)
                    self._apply_text(entry.text, 'store')
                    return
            await asyncio.sleep(backoff.next_delay_s())

    async def _wait_for_peers(self, joined: asyncio.Event) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PEER_WAIT_S):
                await joined.wait()
                while self._pull_tasks:
                    await asyncio.wait(tuple(self._pull_tasks))

    async def _watch_forever(self, should_watch: Callable[[], bool]) -> None:
        backoff = Backoff()
        while True:
            if not should_watch():
                await asyncio.sleep(_ROLE_CHECK_PERIOD_S)
                continue
            try:
                await self._watch(backoff, should_watch)
            except StoreError as error:
                logger.debug('watching the plan failed: %s', error)
                await asyncio.sleep(backoff.next_delay_s())

    async def _watch(
        self, backoff: Backoff, should_watch: Callable[[], bool]
    ) -> None:
        """Read the plan, then watch it until a watch fails or is not due."""
        position: _WatchPosition | None = await self._read_current()
        backoff.reset()
        while position is not None and should_watch():
            position = await self._watch_once(position)

    async def _read_current(self) -> _WatchPosition:
        """Read the plan; return the position to watch it from."""
        era = self._era.number
        listing = await self._store.list_prefix(self._key)
        self._store_heard_ms = loop_ms()
        if self._pull_tasks and not self.current.version:
            # A peer has told of a plan that may be newer.
            await asyncio.wait(tuple(self._pull_tasks), timeout=_PEER_WAIT_S)
        for entry in listing.entries:
            if entry.key == self._key:
                self._apply_text(entry.text, 'store')
        # The first response of all names the first era.
        return _WatchPosition(era or self._era.number, listing.revision)

    async def _watch_once(
        self, position: _WatchPosition
    ) -> _WatchPosition | None:
        """Return the next position, or None if the plan must be read anew."""
        try:
            changes = await self._store.watch_prefix(
                self._key, position.revision, self.watch_timeout_ms
            )
        except StoreTimeoutError as error:
            # The connection may be silent while the store is well; the next
            # call uses a new one.
            logger.debug('watching the plan failed: %s', error)
            return None
        self._store_heard_ms = loop_ms()
        for change in changes.changes:
            if change.key == self._key and change.entry is not None:
                self._apply_text(change.entry.text, 'store')
        if self._era.number != position.era:
            # The store has given out revisions again; a change may have one
            # that the watch has passed.
            return None
        if changes.revision > position.revision and not changes.changes:
            # Other keys have changed, or the watch has missed something.
            return None
        return _WatchPosition(
            position.era, max(position.revision, changes.revision)
        )

    def _apply_text(self, text: str, source: str) -> None:
        if text == self._current_text:
            return
        try:
            plan = self._parse(text.encode())
        except ConfigurationError as error:
            self._events.record_node_event(
                'bad-plan', source=source, why=str(error)
            )
            return
        if plan.version <= self.current.version:
            return
        previous_version = self.current.version
        self.current = plan
        self._current_text = text
        self._events.record_node_event(
            'plan-in-force',
            version=plan.version,
            before=previous_version,
            source=source,
            routes=sum(map(len, plan.routes_by_host.values())),
        )
        for listener in self._listeners:
            listener(plan)
