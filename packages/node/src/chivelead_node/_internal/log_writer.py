"""Log lines on standard output: key=value pairs, bounded, never blocking."""

import asyncio
import collections
import json
import os
import re
import sys
import types
from typing import Any

import eliot
from chivelead_protocol import loop_ms

# Lines of one kind that are written in a second; more are counted only.  At
# 40 us a line all kinds together stay below 2% of a core.
_LINES_PER_S = types.MappingProxyType(
    {'served': 40, 'failed': 120, 'node': 200},
)
_FLUSH_PERIOD_S = 0.25
_TOLD_PERIOD_S = 5.0
# Lines that wait while the reader is slow; about 1 MB.
_BUFFER_LINES = 4000
_WRITE_BYTES = 65_536
_MS_PER_S = 1000
_QUIET_KEYS = frozenset(('task_uuid', 'task_level', 'timestamp'))
_PLAIN = re.compile(r'[^\s"=]+')


class LogWriter:
    """Write events to a file descriptor that may be slow.

    Args:
        descriptor: Where to; standard output by default.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        """Start with nothing to write."""
        self.left_out = 0
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._second = 0
        self._counts: dict[str, int] = {}
        self._told = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Take in events from now on."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self._take_in)
        self._tasks = [
            asyncio.create_task(self._flush_forever()),
            asyncio.create_task(self._tell_forever()),
        ]

    async def close(self) -> None:
        """Write what can be written at once, and stop."""
        eliot.remove_destination(self._take_in)
        for task in self._tasks:
            task.cancel()
        self._flush()

    def has_room(self, kind: str) -> bool:
        """Count a line of a kind, and tell whether it may be written."""
        second = int(loop_ms() / _MS_PER_S)
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count <= _LINES_PER_S[kind] and len(self._lines) < _BUFFER_LINES:
            return True
        self.left_out += 1
        return False

    def _take_in(self, entry: dict[str, Any]) -> None:
        fields = [f'time={entry["timestamp"]:.3f}']
        fields.extend(
            f'{name}={_shown(field)}'
            for name, field in entry.items()
            if name not in _QUIET_KEYS
        )
        fields.append('\n')
        self._lines.append(' '.join(fields).encode(errors='replace'))

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_PERIOD_S)
            self._flush()

    async def _tell_forever(self) -> None:
        while True:
            await asyncio.sleep(_TOLD_PERIOD_S)
            if self.left_out > self._told:
                count = self.left_out - self._told
                self._told = self.left_out
                eliot.log_message('lines-left-out', count=count)

    def _flush(self) -> None:
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self._lines.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            line = self._lines.popleft()
            block.append(line)
            size += len(line)
        return b''.join(block)


def _shown(field: object) -> str:
    text = str(field)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)
