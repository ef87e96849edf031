"""Memory of the process that neither it nor its budget explains."""

import collections

from chivelead_protocol import loop_ms

# For a time, a body is held twice while it is converted.
_LASTING_MS = 2000.0
# What the process knows of the fleet grows, and so do the blocks that its
# allocator keeps.
_GROWTH_BYTES_PER_S = 17_000
_MAX_GROWTH_FRACTION = 0.1
# Both of the memory of the process.
_PARTED_FRACTION = 0.1
_MET_FRACTION = 0.05
_MS_PER_S = 1000


class UnexplainedMemory:
    """Compares the memory of the process with what is counted in it.

    What is counted may be more than what is resident, since a body takes its
    announced length before it is received.

    Args:
        limit_bytes: Memory that the process may use.

    Attributes:
        process_bytes: Memory of the process itself.
        size_bytes: Memory that has not been explained for some seconds;
            negative if more is counted than is resident.
        has_parted: Whether this is too much.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Create a comparison without any samples."""
        self.process_bytes = 0.0
        self.size_bytes = 0.0
        self.has_parted = False
        self._limit_bytes = limit_bytes
        self._largest_process_bytes = 0.0
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add_sample(self, anonymous_bytes: int, counted_bytes: int) -> None:
        """Add what was read and counted at this time.

        Args:
            anonymous_bytes: Memory of the process.
            counted_bytes: The part of it that is counted.
        """
        now_ms = loop_ms()
        if not self._samples:
            self.process_bytes = max(0, anonymous_bytes - counted_bytes)
            self._largest_process_bytes = (
                self.process_bytes + self._limit_bytes * _MAX_GROWTH_FRACTION
            )
            self._samples.append((now_ms, 0))
        elapsed_ms = now_ms - self._samples[-1][0]
        unexplained_bytes = anonymous_bytes - counted_bytes - self.process_bytes
        if unexplained_bytes > 0:
            self.process_bytes = min(
                self.process_bytes + unexplained_bytes,
                self.process_bytes
                + elapsed_ms * _GROWTH_BYTES_PER_S / _MS_PER_S,
                self._largest_process_bytes,
            )
        self.process_bytes = min(self.process_bytes, anonymous_bytes)
        self._samples.append(
            (now_ms, anonymous_bytes - counted_bytes - self.process_bytes)
        )
        # One sample before the time stands for its start.
        while self._samples[1][0] <= now_ms - _LASTING_MS:
            self._samples.popleft()
        self.size_bytes = min(size for _, size in self._samples)
        fraction = _MET_FRACTION if self.has_parted else _PARTED_FRACTION
        self.has_parted = self.size_bytes > self._limit_bytes * fraction
