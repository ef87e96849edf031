"""Memory of the process, and settings of the C allocator."""

import ctypes
import dataclasses
import os
import pathlib

# Parameters of mallopt.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 262_144
_TRIM_THRESHOLD_BYTES = 1_048_576

_STATM_PATH = pathlib.Path('/proc/self/statm')


@dataclasses.dataclass(frozen=True)
class ProcessMemory:
    """Memory of this process; zero if it is not known.

    Attributes:
        resident_bytes: Resident memory.
        anonymous_bytes: The part of it that is not shared with a file.
    """

    resident_bytes: int
    anonymous_bytes: int


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


def return_free_memory() -> None:
    """Return to the system all that the allocator keeps and does not use.

    glibc returns small blocks by itself only from the end of its heap.
    """
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)


def read_process_memory() -> ProcessMemory:
    """Return the memory of this process."""
    try:
        resident, shared = map(int, _STATM_PATH.read_text().split()[1:3])
    except OSError:
        return ProcessMemory(0, 0)
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    return ProcessMemory(
        resident * page_bytes, (resident - shared) * page_bytes
    )
