"""Non-blocking, rate-limited log output as key=value lines."""

import asyncio
import json
import re
import sys
import types
from typing import Any

import eliot
from chivelead_protocol import loop_ms, start_supervised

from chivelead_node._internal.nonblocking_output import NonBlockingOutput

# Limits by kind of line; lines above them are dropped and counted.  At 40 us
# per line, all kinds together use less than 2% of a core.
_MAX_LINES_PER_S = types.MappingProxyType(
    {'served': 40, 'failed': 120, 'node': 200},
)
_FLUSH_PERIOD_S = 0.25
_DROP_REPORT_PERIOD_S = 5.0
_MS_PER_S = 1000
_OMITTED_FIELDS = frozenset(('task_uuid', 'task_level', 'timestamp'))
_UNQUOTED_VALUE = re.compile(r'[^\s"=]+')


class LogWriter:
    """Write events to a file descriptor without blocking.

    Lines are buffered while the reader is slow.  Lines above the rate limit of
    their kind, or above the buffer limit, are dropped and counted.

    Args:
        descriptor: File descriptor to write to; standard output by default.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        """Create a writer with an empty buffer."""
        self.dropped_lines = 0
        self._output = NonBlockingOutput(
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._current_second = 0
        self._lines_this_second: dict[str, int] = {}
        self._reported_drops = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Subscribe to events and start flushing."""
        self._output.open()
        eliot.add_destinations(self._enqueue)
        self._tasks = [
            start_supervised('log-flush', self._flush_forever),
            start_supervised('log-drops', self._report_drops_forever),
        ]

    async def close(self) -> None:
        """Unsubscribe and flush what can be written without blocking."""
        eliot.remove_destination(self._enqueue)
        for task in self._tasks:
            task.cancel()
        self._output.flush()

    def allow_line(self, kind: str) -> bool:
        """Return whether another line of this kind may be written now.

        Each call counts as a line.  A refusal adds to ``dropped_lines``.
        """
        second = int(loop_ms() / _MS_PER_S)
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
        count = self._lines_this_second.get(kind, 0) + 1
        self._lines_this_second[kind] = count
        if count <= _MAX_LINES_PER_S[kind] and not self._output.is_full:
            return True
        self.dropped_lines += 1
        return False

    def _enqueue(self, entry: dict[str, Any]) -> None:
        fields = [f'time={entry["timestamp"]:.3f}']
        fields.extend(
            f'{name}={_format_value(field)}'
            for name, field in entry.items()
            if name not in _OMITTED_FIELDS
        )
        fields.append('\n')
        self._output.add(' '.join(fields).encode(errors='replace'))

    async def _flush_forever(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_PERIOD_S)
            self._output.flush()

    async def _report_drops_forever(self) -> None:
        while True:
            await asyncio.sleep(_DROP_REPORT_PERIOD_S)
            if self.dropped_lines > self._reported_drops:
                count = self.dropped_lines - self._reported_drops
                self._reported_drops = self.dropped_lines
                eliot.log_message('lines-left-out', count=count)


def _format_value(field: object) -> str:
    text = str(field)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)
