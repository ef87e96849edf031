"""Memory of the process, and settings of the C allocator."""

import ctypes
import os
import pathlib

# Parameters of mallopt.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 262_144
_TRIM_THRESHOLD_BYTES = 1_048_576

_STATM_PATH = pathlib.Path('/proc/self/statm')
_BYTES_PER_MB = 1_000_000


def return_freed_memory() -> None:
    """Make the allocator return large blocks to the system when they are freed.

    By default, glibc raises its threshold to the size of the largest block that
    was freed, and then keeps blocks of that size.  Other allocators are left as
    they are.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        mallopt(_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES)


def resident_mb() -> float:
    """Return the resident memory of this process; zero if it is not known."""
    try:
        pages = int(_STATM_PATH.read_text().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB
