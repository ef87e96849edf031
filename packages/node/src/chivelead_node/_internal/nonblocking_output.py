"""Output to a file descriptor that never waits for its reader."""

import collections
import logging
import os
import stat

# About 1 MB of lines, buffered while the reader is slow.
MAX_BUFFERED_LINES = 4000
_WRITE_BLOCK_BYTES = 65_536


class NonBlockingOutput:
    """Lines on their way to a file descriptor.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        """Create an output with an empty buffer."""
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''

    @property
    def is_full(self) -> bool:
        """Return whether there is no room for another line."""
        return len(self._lines) >= MAX_BUFFERED_LINES

    def open(self) -> None:
        """Make writes return at once; terminals and files are left as is."""
        mode = os.fstat(self._descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(self._descriptor, False)

    def add(self, line: bytes) -> None:
        """Add a line to the buffer."""
        self._lines.append(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone, so there is nowhere to report this.
                self._lines.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _take_block(self) -> bytes:
        block = []
        size = 0
        while self._lines and size < _WRITE_BLOCK_BYTES:
            line = self._lines.popleft()
            block.append(line)
            size += len(line)
        return b''.join(block)


class NonBlockingHandler(logging.Handler):
    """Writes log records without waiting for their reader.

    Records are dropped while the buffer is full.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a handler with an empty buffer."""
        super().__init__()
        self._output = NonBlockingOutput(descriptor)
        self._output.open()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it until the next one."""
        if not self._output.is_full:
            line = f'{self.format(record)}\n'
            self._output.add(line.encode(errors='replace'))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._output.flush()
