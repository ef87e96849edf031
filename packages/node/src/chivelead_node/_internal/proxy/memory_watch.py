"""Memory of the process beside the budget of what it holds for others."""

import dataclasses
import gc
import math
from collections.abc import Callable

from chivelead_protocol import loop_ms, now_ms
from chivelead_protocol.bounds import edges

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.proxy.allocator import (
    ProcessMemory,
    read_process_memory,
    return_free_memory,
)
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.unexplained_memory import UnexplainedMemory
from chivelead_node._internal.proxy.unread_bytes import estimate_unread_bytes

_BYTES_PER_MB = 1_000_000
# Above it, the log says for whom memory is held.
_RECORD_FRACTION = 0.5
_RECORD_PERIOD_MS = 2000.0
# A full collection is due above this fraction of the memory.
_COLLECTION_FRACTION = 0.85
_COLLECTION_PERIOD_MS = 5000.0
# Free memory is given back if more than this fraction is not explained.
_RETURN_FRACTION = 0.05
_RETURN_PERIOD_MS = 5000.0


@dataclasses.dataclass(frozen=True)
class _HeldMemory:
    """What the process holds for others, as far as it is resident."""

    connection_count: int
    object_bytes: int
    received_bytes: int
    body_bytes: int
    unread_bytes: int

    @property
    def counted_bytes(self) -> int:
        """Return what is counted, without what the kernel holds."""
        return self.object_bytes + self.received_bytes + self.body_bytes


class MemoryWatch:
    """Publishes what the process holds, and compares it with its memory.

    Args:
        budget: Count of what is held for others.
        metrics: Destination of the gauges.
        events: Event log.
        read_memory: Returns the memory of this process.
        collect: Runs a garbage collection; returns the objects found.
        return_free: Returns to the system what the allocator does not use.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        metrics: ProxyMetrics,
        events: EventLog,
        read_memory: Callable[[], ProcessMemory] = read_process_memory,
        collect: Callable[[], int] = gc.collect,
        return_free: Callable[[], None] = return_free_memory,
    ) -> None:
        """Create a watch that has read nothing."""
        self._budget = budget
        self._metrics = metrics
        self._events = events
        self._read_memory = read_memory
        self._collect = collect
        self._unexplained = UnexplainedMemory(budget.limit_bytes)
        self._return_free = return_free
        self._recorded_ms = -math.inf
        self._collected_ms = -math.inf
        self._returned_ms = -math.inf

    def publish(self) -> None:
        """Set the gauges; act if the process has too much memory."""
        memory = self._read_memory()
        held = self._read_held()
        used_bytes = memory.anonymous_bytes + held.unread_bytes
        if used_bytes > self._budget.limit_bytes * _RECORD_FRACTION:
            self._record_holders(memory, held)
        if used_bytes > self._budget.limit_bytes * _COLLECTION_FRACTION:
            memory = self._collect_garbage(memory)
        self._compare(memory, held)
        if self._unexplained.size_bytes > (
            self._budget.limit_bytes * _RETURN_FRACTION
        ):
            self._return_free_memory()
        self._publish_gauges(memory, held)

    def _read_held(self) -> _HeldMemory:
        accounts = self._budget.connections.open_accounts()
        return _HeldMemory(
            connection_count=len(accounts),
            object_bytes=sum(account.edge.object_bytes for account in accounts),
            received_bytes=sum(
                account.received_bytes + account.kept_bytes
                for account in accounts
            ),
            body_bytes=self._budget.bodies.held_bytes,
            unread_bytes=estimate_unread_bytes(accounts),
        )

    def _publish_gauges(self, memory: ProcessMemory, held: _HeldMemory) -> None:
        gauge = self._metrics.gauge
        gauge('memory_mb', _in_mb(memory.resident_bytes))
        gauge('memory_unexplained_mb', _in_mb(self._unexplained.size_bytes))
        gauge('body_bytes', held.body_bytes)
        connections = self._budget.connections
        held_by_edge = connections.held_by_edge()
        for name in edges.EDGES:
            gauge(f'held_{name}', held_by_edge.get(name, 0))
        gauge('counted_connections', held.connection_count)
        gauge('received_bytes', held.received_bytes)
        gauge('connections_without_room', connections.refused_count)
        gauge('evicted_connections', connections.evicted_count)
        gauge('unread_bytes', held.unread_bytes)

    def _compare(self, memory: ProcessMemory, held: _HeldMemory) -> None:
        unexplained = self._unexplained
        had_parted = unexplained.has_parted
        unexplained.add_sample(memory.anonymous_bytes, held.counted_bytes)
        room_bytes = unexplained.size_bytes if unexplained.has_parted else 0
        self._budget.bodies.set_unexplained(round(room_bytes))
        if unexplained.has_parted != had_parted:
            self._events.record_node_event(
                'memory-explained' if had_parted else 'memory-unexplained',
                unexplained_mb=_in_mb(unexplained.size_bytes),
                **self._describe(memory, held),
            )

    def _record_holders(self, memory: ProcessMemory, held: _HeldMemory) -> None:
        """Log for whom memory is held, unless it was logged not long ago.

        The gauges are gone once the process has been ended.
        """
        if loop_ms() - self._recorded_ms < _RECORD_PERIOD_MS:
            return
        self._recorded_ms = loop_ms()
        held_by_edge = self._budget.connections.held_by_edge()
        self._events.record_node_event(
            'memory-held',
            **self._describe(memory, held),
            **{
                f'{name}_mb': _in_mb(size_bytes)
                for name, size_bytes in held_by_edge.items()
            },
        )

    def _collect_garbage(self, memory: ProcessMemory) -> ProcessMemory:
        """Run a garbage collection, unless one was run not long ago.

        Cycles hold what was received until the next collection, which comes
        after a number of objects, whatever their size.

        Returns:
            The memory of the process after it.
        """
        if loop_ms() - self._collected_ms < _COLLECTION_PERIOD_MS:
            return memory
        self._collected_ms = loop_ms()
        started_ms = now_ms()
        object_count = self._collect()
        self._return_free()
        after = self._read_memory()
        self._events.record_node_event(
            'memory-collected',
            objects=object_count,
            freed_mb=_in_mb(memory.anonymous_bytes - after.anonymous_bytes),
            elapsed_ms=round(now_ms() - started_ms, 1),
            **self._describe(after, self._read_held()),
        )
        return after

    def _return_free_memory(self) -> None:
        """Return free memory to the system, unless this was done not long ago.

        Many bodies at once leave a heap with free blocks between used ones.
        """
        if loop_ms() - self._returned_ms >= _RETURN_PERIOD_MS:
            self._returned_ms = loop_ms()
            self._return_free()

    def _describe(
        self, memory: ProcessMemory, held: _HeldMemory
    ) -> dict[str, float]:
        return {
            'limit_mb': _in_mb(self._budget.limit_bytes),
            'anonymous_mb': _in_mb(memory.anonymous_bytes),
            'process_mb': _in_mb(self._unexplained.process_bytes),
            'bodies_mb': _in_mb(held.body_bytes),
            'received_mb': _in_mb(held.received_bytes),
            'objects_mb': _in_mb(held.object_bytes),
            'connections': held.connection_count,
            'unread_mb': _in_mb(held.unread_bytes),
        }


def _in_mb(size_bytes: float) -> float:
    return round(size_bytes / _BYTES_PER_MB, 1)
