"""Event log of a node: a bounded in-memory timeline and log output."""

import collections
import logging
import sys
import traceback
from collections.abc import Callable
from typing import Any, NamedTuple

import eliot
from chivelead_protocol import HybridClock, TimelineEvent, format_stamp
from logfmter import Logfmter

from chivelead_node._internal.nonblocking_output import NonBlockingHandler

_log = logging.getLogger('chivelead.events')
_MAX_ERROR_LENGTH = 200
# Fields may hold what a client or a peer has sent, such as the request ID.
_MAX_FIELD_LENGTH = 1000
_NO_EVENTS: frozenset[str] = frozenset()
_OMITTED_FIELDS = frozenset(('task_uuid', 'task_level', 'timestamp'))


class _RecordedEvent(NamedTuple):
    """A recorded event; its fields are converted to text when queried."""

    stamp: int
    event: str
    fields: dict[str, Any]


def _allow_every_line(_: str) -> bool:
    return True


class EventLog:
    """Timestamp events, keep recent ones and write some to the log.

    Args:
        vm: Name of this VM.
        clock: Source of the timestamps.
        capacity: Number of recent events to keep; zero if the node serves
            no timeline queries.
        log_calls: Whether every event of a call is logged.
        always_logged: Names of call events that are logged even if
            log_calls is false.
        allow_line: Rate limit of the log; called with the kind of a line.

    Attributes:
        failed_task_count: Background tasks that an unexpected error ended.
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
        """Create an empty event log."""
        self.failed_task_count = 0
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
        """Record an event of one call; write it to the log if configured."""
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
        """Record a decision on a request and write it to the log.

        Args:
            kind: Kind of log line; each kind has its own rate limit.
            event: Name of the event.
            request_id: Identity of the request.
            fields: Inputs and outcome of the decision.
        """
        if self._recent.maxlen:
            self._append_recent(event, {'request_id': request_id, **fields})
        if self._allow_line(kind):
            self._write_to_log(event, {'request_id': request_id, **fields})

    def record_node_event(self, event: str, **fields: object) -> None:
        """Record an event of the node and write it to the log."""
        self._append_recent(event, fields)
        if self._allow_line('node'):
            self._write_to_log(event, fields)

    def record_task_failure(self, name: str, error: Exception) -> None:
        """Record an unexpected error that ended a background task."""
        self.failed_task_count += 1
        last_call = traceback.extract_tb(error.__traceback__)[-1]
        self.record_node_event(
            'task-failed',
            task=name,
            error=type(error).__name__,
            why=f'{error!s:.{_MAX_ERROR_LENGTH}}',
            at=f'{last_call.name}:{last_call.lineno}',
        )

    def recent(
        self,
        request_id: str,
        limit: int,
    ) -> tuple[TimelineEvent, ...]:
        """Return the latest events, oldest first.

        Args:
            request_id: Request to filter by; empty for all events.
            limit: Maximum number of events.
        """
        matching = [
            event
            for event in self._recent
            if not request_id or event.fields.get('request_id') == request_id
        ]
        return tuple(
            self._to_timeline_event(event) for event in matching[-limit:]
        )

    def _append_recent(self, event: str, fields: dict[str, Any]) -> None:
        self._recent.append(
            _RecordedEvent(self._clock.stamp(), event, _shorten_fields(fields))
        )

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
        eliot.log_message(
            event, stamp=stamp, vm=self._vm, **_shorten_fields(fields)
        )


def _shorten_fields(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: field[:_MAX_FIELD_LENGTH] if isinstance(field, str) else field
        for name, field in fields.items()
    }


def write_events_to_stderr() -> None:
    """Write events and log records to stderr in logfmt format."""
    stream = NonBlockingHandler(sys.stderr.fileno())
    stream.setFormatter(
        Logfmter(keys=['level'], mapping={'level': 'levelname'}),
    )
    root = logging.getLogger()
    root.addHandler(stream)
    root.setLevel(logging.INFO)
    for logger_name in ('websockets', 'aiohttp'):
        logging.getLogger(logger_name).setLevel(logging.WARNING)
    eliot.add_destinations(_write_line)


def _write_line(entry: dict[str, Any]) -> None:
    fields = {
        name: field
        for name, field in entry.items()
        if name not in _OMITTED_FIELDS
    }
    fields['event'] = fields.pop('message_type', 'event')
    _log.info(fields)
