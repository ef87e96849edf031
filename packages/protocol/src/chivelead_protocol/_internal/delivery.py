"""What a connection has sent and its peer has not acknowledged."""

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
    sock = transport.get_extra_info('socket')
    if sock is None:
        return buffered
    unacknowledged = array.array('i', [0])
    try:
        # Known as SIOCOUTQ for sockets.
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unacknowledged)
    except (OSError, ValueError):
        # The socket is closed, or the platform lacks the call.
        return buffered
    return buffered + unacknowledged[0]
