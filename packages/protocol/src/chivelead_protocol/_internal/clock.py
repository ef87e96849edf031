"""Hybrid logical clock based on the clock of the event loop.

A stamp is a timestamp of this clock in one integer: milliseconds in the upper
bits and a counter in the lower ones.  Stamps of all processes are consistent
with causality: an event has a larger stamp than the events that caused it.
"""

import asyncio
import functools
import time

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
MS_PER_S = 1000


def now_ms() -> float:
    """Return the time of the running event loop, in milliseconds.

    uvloop caches its time for one iteration of the loop, so a process that
    was paused within an iteration would treat an expired lease as valid.
    Under uvloop this function therefore reads CLOCK_MONOTONIC, the clock
    on which the time of the loop is based.
    """
    loop = asyncio.get_running_loop()
    if _caches_time(type(loop).__module__):
        return time.monotonic() * MS_PER_S
    return loop.time() * MS_PER_S


def loop_ms() -> float:
    """Return the time of the event loop, in milliseconds.

    Under uvloop this is the time at which the current iteration began, and
    reading it needs no system call.  Use ``now_ms`` where a pause of the
    process within an iteration matters, for example for leases.
    """
    return asyncio.get_running_loop().time() * MS_PER_S


@functools.cache
def _caches_time(module: str) -> bool:
    return module.startswith('uvloop')


class HybridClock:
    """Generate stamps that increase and exceed all stamps received so far."""

    def __init__(self) -> None:
        """Start below all stamps that the clock will return."""
        self._last_stamp = 0

    def stamp(self) -> int:
        """Return a stamp for a local event or an outgoing message."""
        physical = int(loop_ms()) << _COUNTER_BITS
        self._last_stamp = max(self._last_stamp + 1, physical)
        return self._last_stamp

    def merge(self, remote_stamp: int) -> None:
        """Advance the clock at least to the stamp of a received message."""
        if remote_stamp > self._last_stamp:
            self._last_stamp = remote_stamp


def stamp_ms(stamp: int) -> int:
    """Return the millisecond part of a stamp."""
    return stamp >> _COUNTER_BITS


def format_stamp(stamp: int) -> str:
    """Return a stamp as ``milliseconds.counter``."""
    return f'{stamp >> _COUNTER_BITS}.{stamp & _COUNTER_MASK:05d}'
