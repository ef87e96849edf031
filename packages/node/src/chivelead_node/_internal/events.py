"""Events of a node: a bounded memory for the time line, and the log."""

import collections
import logging
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import eliot
from chivelead_protocol import HybridClock, TimelineEvent, format_stamp
from logfmter import Logfmter

_log = logging.getLogger('chivelead.events')
_NO_EVENTS: frozenset[str] = frozenset()
_OMITTED_FIELDS = frozenset(('task_uuid', 'task_level', 'timestamp'))


class _RecordedEvent(NamedTuple):
    """An event as it is kept; it becomes text when it is asked for."""

    stamp: int
    event: str
    fields: dict[str, Any]


def _allow_every_line(_: str) -> bool:
    return True


class EventLog:
    """Stamp events, keep the recent ones, write the notable ones.

    Args:
        vm: Name of this VM.
        clock: Source of the stamps.
        kept: Number of events to keep; zero where nobody can ask for them.
        log_calls: Whether all events of single calls go to the log.
        logged: Names of those that go to the log in any case.
        has_room: Tells whether a line of a kind may be written now.
    """

    def __init__(
        self,
        vm: str,
        clock: HybridClock,
        capacity: int,
        *,
        log_calls: bool,
        always_logged: frozenset[str] = _NO_EVENTS,
        allow_line: Callable[[str], bool] = _allow_every_line,
    ) -> None:
        """Start empty."""
        self._vm = vm
        self._clock = clock
        self._recent: collections.deque[_RecordedEvent] = collections.deque(
            maxlen=capacity
        )
        self._log_calls = log_calls
        self._always_logged = always_logged
        self._allow_line = allow_line

    def record_call_event(
        self, event: str, request_id: str, **fields: object
    ) -> None:
        """Note an event of one call."""
        if self._recent.maxlen:
            self._append_recent(event, {'request_id': request_id, **fields})
        is_logged = event in self._always_logged and self._allow_line('failed')
        if is_logged or self._log_calls:
            self._write_to_log(event, {'request_id': request_id, **fields})

    def record_decision(
        self,
        kind: str,
        event: str,
        request_id: str,
        **fields: object,
    ) -> None:
        """Note a decision on a request and write it to the log.

        Args:
            kind: Group of lines that share one bound.
            event: Name of the event.
            request_id: Identity of the request.
            fields: The inputs of the decision and its outcome.
        """
        if self._recent.maxlen:
            self._append_recent(event, {'request_id': request_id, **fields})
        if self._allow_line(kind):
            self._write_to_log(event, {'request_id': request_id, **fields})

    def record_node_event(self, event: str, **fields: object) -> None:
        """Note an event of the node and write it to the log."""
        self._append_recent(event, fields)
        if self._allow_line('node'):
            self._write_to_log(event, fields)

    def recent(
        self,
        request_id: str,
        limit: int,
    ) -> tuple[TimelineEvent, ...]:
        """Return recent events, oldest first, of one request or of all."""
        matching = [
            event
            for event in self._recent
            if not request_id or event.fields.get('request_id') == request_id
        ]
        return tuple(
            self._to_timeline_event(event) for event in matching[-limit:]
        )

    def _append_recent(self, event: str, fields: dict[str, Any]) -> None:
        self._recent.append(_RecordedEvent(self._clock.stamp(), event, fields))

    def _to_timeline_event(self, recorded: '_RecordedEvent') -> TimelineEvent:
        return TimelineEvent(
            stamp=recorded.stamp,
            vm=self._vm,
            event=recorded.event,
            fields=tuple(
                (name, str(field)) for name, field in recorded.fields.items()
            ),
        )

    def _write_to_log(self, event: str, fields: dict[str, Any]) -> None:
        stamp = format_stamp(self._clock.stamp())
        eliot.log_message(event, stamp=stamp, vm=self._vm, **fields)


def write_events_to_stderr() -> None:
    """Send events and warnings to stderr, one line of pairs each."""
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(
        Logfmter(keys=['level'], mapping={'level': 'levelname'}),
    )
    root = logging.getLogger()
    root.addHandler(stream)
    root.setLevel(logging.INFO)
    for noisy in ('websockets', 'aiohttp'):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    eliot.add_destinations(_write_line)


def _write_line(entry: dict[str, Any]) -> None:
    fields = {
        name: field
        for name, field in entry.items()
        if name not in _OMITTED_FIELDS
    }
    fields['event'] = fields.pop('message_type', 'event')
    _log.info(fields)
