"""Memory of a process as the platform counts it."""

import contextlib
import pathlib

_BYTES_PER_MB = 1_000_000
_LISTENING = '0A'
# Fields of a line of /proc/net/tcp.
_STATE = 3
_QUEUES = 4
_INODE = 9


def anonymous_mb(pid):
    """Return the anonymous memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / 1000
    return 0


def unread_mb(pid):
    """Return what the kernel has received for a process that has not read it.

    Only connections over IPv4 are counted.
    """
    inodes = _socket_inodes(pid)
    unread_bytes = 0
    table = pathlib.Path(f'/proc/{pid}/net/tcp').read_text()
    for line in table.splitlines()[1:]:
        fields = line.split()
        if fields[_INODE] in inodes and fields[_STATE] != _LISTENING:
            unread_bytes += int(fields[_QUEUES].partition(':')[2], base=16)
    return unread_bytes / _BYTES_PER_MB


def _socket_inodes(pid):
    inodes = set()
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            name = str(link.readlink())
            if name.startswith('socket:['):
                inodes.add(name.removeprefix('socket:[').rstrip(']'))
    return inodes
