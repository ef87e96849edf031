"""Hybrid logical clock on top of the clock of the event loop.

A stamp is one integer: milliseconds in the upper bits, a counter in the
lower ones.  Stamps order events of all processes by cause.
"""

import asyncio
import functools
import time

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
MS_PER_S = 1000


def now_ms() -> float:
    """Return the time of the running event loop, in milliseconds.

    The clock of uvloop stands still within one iteration of the loop, so a
    process that was paused there would still take an ended lease for valid.
    On that loop the clock below it, CLOCK_MONOTONIC, is read itself.
    """
    loop = asyncio.get_running_loop()
    if _caches_time(type(loop).__module__):
        return time.monotonic() * MS_PER_S
    return loop.time() * MS_PER_S


def loop_ms() -> float:
    """Return the time at which this iteration of the loop began, in ms.

    It costs no call of the system on uvloop.  Where a pause of the process
    within an iteration matters, as for leases, take ``now_ms``.
    """
    return asyncio.get_running_loop().time() * MS_PER_S


@functools.cache
def _caches_time(module: str) -> bool:
    return module.startswith('uvloop')


class HybridClock:
    """Issue stamps that never fall, merged with the stamps of peers."""

    def __init__(self) -> None:
        """Start below every stamp."""
        self._last_stamp = 0

    def stamp(self) -> int:
        """Return a stamp for a local event or an outgoing message."""
        physical = int(loop_ms()) << _COUNTER_BITS
        self._last_stamp = max(self._last_stamp + 1, physical)
        return self._last_stamp

    def merge(self, remote_stamp: int) -> None:
        """Take in the stamp of a received message."""
        if remote_stamp > self._last_stamp:
            self._last_stamp = remote_stamp


def stamp_ms(stamp: int) -> int:
    """Return the millisecond part of a stamp."""
    return stamp >> _COUNTER_BITS


def format_stamp(stamp: int) -> str:
    """Return a stamp as ``milliseconds.counter``."""
    return f'{stamp >> _COUNTER_BITS}.{stamp & _COUNTER_MASK:05d}'
