"""Messages in pieces, and peers that send them in reads of any size."""

import asyncio
import dataclasses
import itertools

# Bodies contain what looks like the ends of messages.
_FILLER = (
    b'0123\r\n0\r\n\r\nX-Trap: 1\r\n\r\nGET /trap HTTP/1.1\r\n\r\n' * 12_000
)
_MAX_IDLE_TURNS = 100


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or response whose body has pieces.

    Attributes:
        form: How its body ends: none, length, chunks, extensions or trailers;
            a response may also end with the connection.
        runs: Size and number of equal pieces, any number of times.
        field_bytes: Size of a header field.
        habit: What its reader does.
    """

    form: str
    runs: tuple[tuple[int, int], ...]
    field_bytes: int = 0
    habit: str = 'reads'

    @property
    def sizes(self):
        """Return the sizes of all pieces."""
        return [size for size, count in self.runs for _ in range(count)]

    @property
    def body(self):
        """Return the body."""
        return b'' if self.form == 'none' else _FILLER[: sum(self.sizes)]

    def encode(self, start_line, *fields):
        """Return the bytes of the message."""
        lines = [start_line, *fields]
        if self.field_bytes:
            lines.append(b'X-Filler: %b' % (b'f' * self.field_bytes))
        if self.form == 'length':
            lines.append(b'Content-Length: %d' % len(self.body))
        elif self.form not in {'none', 'until-close'}:
            lines.append(b'Transfer-Encoding: chunked')
        head = b'\r\n'.join([*lines, b'', b''])
        return head + self._encode_body()

    def _encode_body(self):
        if self.form in {'none', 'length', 'until-close'}:
            return self.body
        extension = b';a=b' if self.form == 'extensions' else b''
        trailer = b'X-Trailer: 1\r\n' if self.form == 'trailers' else b''
        parts = []
        start = 0
        for size in self.sizes:
            chunk = self.body[start : start + size]
            start += size
            parts.append(b'%x%b\r\n%b\r\n' % (size, extension, chunk))
        return b''.join([*parts, b'0\r\n', trailer, b'\r\n'])


class StreamPeer(asyncio.Transport):
    """Transport of a connection whose peer sends bytes in reads of some sizes.

    What the protocol has not read stays with the peer.

    Args:
        blocks: What the peer sends.
        read_sizes: Sizes of the reads, again and again.
        end: What the peer does then: close its sending half, reset the
            connection, or keep it open.
    """

    def __init__(self, blocks, read_sizes, end):
        """Create a transport without a protocol."""
        super().__init__()
        self.written = bytearray()
        self.sent_bytes = 0
        self.is_lost = False
        self._blocks = iter(blocks)
        self._block = b''
        self._position = 0
        self._read_sizes = itertools.cycle(read_sizes)
        self._end = end
        self._is_paused = False
        self._is_closing = False
        self._protocol = None

    def connect(self, protocol):
        """Open the connection."""
        self._protocol = protocol
        protocol.connection_made(self)

    def send_some(self):
        """Let the protocol read once, if it reads."""
        if self._is_paused or self._is_closing or self._end == 'over':
            return
        piece = self._take(next(self._read_sizes))
        if piece:
            self.sent_bytes += len(piece)
            self._protocol.data_received(piece)
        elif self._end == 'reset':
            self._lose(ConnectionResetError())
        elif self._end == 'close':
            self._end = 'over'
            if not self._protocol.eof_received():
                self.close()

    def lose(self):
        """End the connection, as a peer does that resets it."""
        self._lose(ConnectionResetError())

    def write(self, data):
        """Receive bytes of the protocol."""
        self.written += data

    def write_eof(self):
        """Close the connection, as peers do that have got all."""
        self._blocks = iter(())
        self._block = b''
        self._end = 'close'

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing."""

    def get_write_buffer_size(self):
        """Return that all was sent."""
        return 0

    def is_closing(self):
        """Return whether the connection is being closed."""
        return self._is_closing

    def pause_reading(self):
        """Let the peer wait."""
        self._is_paused = True

    def resume_reading(self):
        """Let the peer send on."""
        self._is_paused = False

    def abort(self):
        """Close the connection."""
        self.close()

    def close(self):
        """Close the connection; the protocol learns it a little later."""
        if not self._is_closing:
            self._is_closing = True
            asyncio.get_running_loop().call_soon(self._lose, None)

    def _take(self, size):
        """Return the next bytes, up to a size."""
        if self._position >= len(self._block):
            self._block = next(self._blocks, b'')
            self._position = 0
        piece = self._block[self._position : self._position + size]
        self._position += len(piece)
        return piece

    def _lose(self, error):
        self._is_closing = True
        if not self.is_lost:
            self.is_lost = True
            self._protocol.connection_lost(error)
            self._protocol = None


async def exchange_all(peers, check=None, count_more=int):
    """Let peers send until nothing happens any more.

    Args:
        peers: Peers of open connections.
        check: Awaited again and again.
        count_more: Counts what else goes on, such as bytes that were read.
    """
    idle_turns = 0
    before = None
    while idle_turns < _MAX_IDLE_TURNS:
        for peer in peers:
            peer.send_some()
        await asyncio.sleep(0)
        if check is not None:
            await check()
        now = (
            [(peer.sent_bytes, len(peer.written)) for peer in peers],
            count_more(),
        )
        idle_turns = idle_turns + 1 if now == before else 0
        before = now
