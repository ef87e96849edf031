"""Requests on a connection, each from its head to the end of its answer."""

import collections
from collections.abc import Sequence

from aiohttp.streams import StreamReader
from chivelead_protocol import loop_ms

from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.request_ends import RequestEnds

_MAX_EVENTS = 8
_NO_VMS: Sequence[str] = ()


class Exchange:
    """A request that was read, and the answer that is due to it.

    Args:
        request_id: ID of the request; empty if it has none.
        body: Body of the request.

    Attributes:
        request_id: See the arguments.
        vms: VMs that the request was passed on to so far.
        is_answering: Whether its answer is being written.
        is_recorded: Whether its end without an answer has been recorded.
    """

    __slots__ = (
        '_body',
        'is_answering',
        'is_recorded',
        'request_id',
        'started_ms',
        'vms',
    )

    def __init__(self, request_id: str, body: StreamReader) -> None:
        """Create an exchange whose head was read."""
        self.request_id = request_id
        self.vms = _NO_VMS
        self.is_answering = False
        self.is_recorded = False
        self.started_ms = loop_ms()
        self._body = body

    @property
    def is_whole(self) -> bool:
        """Return whether all of the request has been read."""
        return self._body.is_eof()

    @property
    def stage(self) -> str:
        """Return how far the exchange has come."""
        if self.is_answering:
            return 'answering'
        if self.vms:
            return 'passed-on'
        return 'read' if self.is_whole else 'reading'


class ExchangeQueue:
    """The exchanges of a connection that have not ended, oldest first.

    The oldest one is being handled.  Each ends with ``finish``, when its answer
    is with the kernel, or with a cause.

    Args:
        ends: Records the ends without an answer.
    """

    def __init__(self, ends: RequestEnds) -> None:
        """Create a queue without exchanges."""
        self._ends = ends
        self._open: collections.deque[Exchange] = collections.deque()
        # The end of a connection is explained by what happened before it.
        self._events: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._last_request_id = ''

    def __len__(self) -> int:
        """Return the number of requests that are not answered."""
        return len(self._open)

    @property
    def has_whole_request(self) -> bool:
        """Return whether a request is complete and not answered."""
        return any(exchange.is_whole for exchange in self._open)

    @property
    def last_request_id(self) -> str:
        """Return the ID of the request that was answered last."""
        return self._last_request_id

    @property
    def is_answering(self) -> bool:
        """Return whether the answer to the oldest request is being written."""
        return bool(self._open) and self._open[0].is_answering

    def note(self, event: str) -> None:
        """Keep an event of the connection for the log."""
        self._events.append((loop_ms(), event))

    def begin(self, request_id: str, body: StreamReader) -> None:
        """Add a request whose head was read."""
        self.note('read')
        self._open.append(Exchange(request_id, body))

    def pass_on(self, vms: Sequence[str]) -> None:
        """Note that the oldest request is passed on.

        Args:
            vms: VMs that it is sent to; the caller adds to them.
        """
        if self._open:
            self._open[0].vms = vms

    def begin_answer(self) -> None:
        """Note that the answer to the oldest request is being written."""
        if self._open:
            self._open[0].is_answering = True
            self._last_request_id = self._open[0].request_id

    def finish(self) -> None:
        """End the oldest request: the kernel has its answer."""
        self.note('answered')
        if self._open:
            self._open.popleft()

    def end_last(self, cause: EndCause) -> None:
        """End the request that was read last without an answer."""
        if self._open:
            self._record(self._open.pop(), cause)

    def end_all(self, cause: EndCause, **inputs: object) -> None:
        """End all requests without an answer.

        Args:
            cause: Why they end.
            inputs: What is known of the connection, for the log.
        """
        self.record_all(cause, **inputs)
        self._open.clear()

    def record_all(self, cause: EndCause, **inputs: object) -> None:
        """Record that all requests will end without an answer.

        Args:
            cause: Why they will end.
            inputs: What is known of the connection, for the log.
        """
        for exchange in self._open:
            self._record(exchange, cause, **inputs)

    def record_failure(self, cause: EndCause, **inputs: object) -> None:
        """Record that the oldest request gets an answer of the node's own."""
        if self._open:
            self._record(self._open[0], cause, **inputs)

    def record_cut_answer(self, cause: EndCause, **inputs: object) -> None:
        """Record that the last answer does not reach its reader whole."""
        self._ends.record_cut(
            self._last_request_id,
            cause,
            stage='answered',
            events=self._describe_events(),
            **inputs,
        )

    def _record(
        self, exchange: Exchange, cause: EndCause, **inputs: object
    ) -> None:
        if exchange.is_recorded:
            return
        exchange.is_recorded = True
        self._ends.record_cut(
            exchange.request_id,
            cause,
            stage=exchange.stage,
            vms=','.join(exchange.vms),
            age_ms=round(loop_ms() - exchange.started_ms),
            events=self._describe_events(),
            **inputs,
        )

    def _describe_events(self) -> str:
        now_ms = loop_ms()
        return ','.join(
            f'{event}:{round(event_ms - now_ms)}'
            for event_ms, event in self._events
        )
