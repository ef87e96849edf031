"""CPU and memory usage of processes, read from ``/proc``."""

import os
import pathlib

_STAT_UTIME_INDEX = 13
_STAT_STIME_INDEX = 14
_STATM_RESIDENT_INDEX = 1
_MIB = 1024 * 1024


def clock_ticks_per_s() -> int:
    """Return the number of clock ticks per second, as in ``cpu_ticks``."""
    return os.sysconf('SC_CLK_TCK')


def cpu_ticks(pid: int) -> int:
    """Return the CPU time of a process in clock ticks."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.split()
    return int(fields[_STAT_UTIME_INDEX]) + int(fields[_STAT_STIME_INDEX])


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    pages = int(statm.split()[_STATM_RESIDENT_INDEX])
    return pages * os.sysconf('SC_PAGE_SIZE') / _MIB
