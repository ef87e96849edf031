"""What the kernel holds of a connection."""

import array
import asyncio
import fcntl
import termios


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer of a TCP connection lacks.

    These are the bytes in the buffer of the transport, and those in the kernel
    that the peer has not acknowledged.  The latter count as zero where the
    platform can't tell.
    """
    buffered = transport.get_write_buffer_size()
    # Known as SIOCOUTQ for sockets.
    return buffered + _ask_socket(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel has received and nobody has read.

    They count as zero where the platform can't tell.
    """
    return _ask_socket(transport, termios.FIONREAD)


def _ask_socket(transport: asyncio.BaseTransport, request: int) -> int:
    sock = transport.get_extra_info('socket')
    if sock is None:
        return 0
    answer = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), request, answer)
    except (OSError, ValueError):
        # The socket is closed, or the platform lacks the call.
        return 0
    return answer[0]
