"""Checks of what clients and targets saw in a soak of the request path.

The checks know nothing of nodes: a history holds what clients sent and got,
what targets ran, and who was disturbed when.
"""

import collections
import dataclasses

# Bounds of the platform.
CONFIG_S = 2.5
STABLE_S = 3.0
LOSS_SLACK_S = 0.2
# An instance that is at work in the last sixth of the grace period, on a
# request sent this long after the start of the stop at most, may be cut off.
STOP_S = 5.0
_LONG_SENT_S = 3.0
# An answer of a target reaches its caller within this time.
_REPLY_S = 1.0
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# What may be going on when a node has to answer as at any other time.
_PLANNED = ('stop', 'start', 'store')
# The process of a node ends with them.
_PROCESS_ENDS = ('stop', 'kill', 'memory')
# Never a reason for anything to go wrong.
_HARMLESS = frozenset(('hangup', 'edit'))
# Beside a new configuration, cuts count if they are so many times as frequent
# as at other times, and not after this share of their time.
_CUT_FACTOR = 3
_TIME_SHARE = 0.7
_DENIALS = frozenset((400, 401, 403, 404, 405, 411, 413, 414, 415, 431, 500))

# Nothing more can be read on a connection after such an answer of the node.
_LAST_STATUSES = _DENIALS | {408}

_checks = []


@dataclasses.dataclass
class Call:
    """A request as its client saw it.

    ``end`` is how it ended: ``answered``, ``cut`` (the connection ended before
    the whole answer), ``late`` (no answer long after the deadline) or ``left``
    (the client closed the connection).  ``habits`` tell how the client behaved.
    """

    request_id: str
    entry: int
    method: str
    path: str
    body_digest: str = ''
    note: bytes = b''
    encoding: str = ''
    organisation: str = 'mill'
    key: str = 'mill-key'
    caller_service: str = 'stock'
    safe: bool = False
    habits: str = ''
    closes_sending_half: bool = False
    is_read_at_once: bool = True
    # Longest time that bytes need between client and node.
    path_s: float = 0.0
    # Requests that the client sent before it without waiting for answers.
    behind: tuple[str, ...] = ()
    deadline_s: float = 5.0
    connected_s: float = 0.0
    sent_s: float = 0.0
    whole_s: float | None = None
    ended_s: float = 0.0
    end: str = 'open'
    status: int = 0
    stamp: str = ''
    answer_digest: str = ''
    answer_note: bytes = b''


@dataclasses.dataclass
class Run:
    """A request as a target saw it; an empty digest is a body not yet read."""

    request_id: str
    target: int
    method: str
    path: str
    body_digest: str = ''
    note: bytes = b''
    encoding: str = ''
    organisation: str = 'mill'
    caller_service: str = 'stock'
    key_shown: bool = False
    stamp: str = ''
    status: int = 200
    answer_digest: str = ''
    answer_note: bytes = b''
    broke_off: bool = False
    done_s: float | None = None


@dataclasses.dataclass
class Disturbance:
    """What was done to a node, or to all nodes if ``node`` is None."""

    kind: str
    node: int | None
    start_s: float
    end_s: float = float('inf')


@dataclasses.dataclass
class KeyLife:
    """When the operator added and withdrew a key."""

    added_s: float
    withdrawn_s: float = float('inf')


@dataclasses.dataclass
class History:
    """What was seen in a soak."""

    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    keys: dict[str, KeyLife] = dataclasses.field(default_factory=dict)
    # Node and time of each process that ended over the memory limit.
    memory_ends: list[tuple[int, float]] = dataclasses.field(
        default_factory=list
    )
    # Counts and log lines of nodes about ends without a cause.
    unlisted_ends: list[str] = dataclasses.field(default_factory=list)
    # Bytes that came on a connection without a request.
    stray_bytes: list[bytes] = dataclasses.field(default_factory=list)

    def runs_of(self, request_id):
        """Return the runs of a request."""
        return [run for run in self.runs if run.request_id == request_id]

    def is_disturbed(self, node, start_s, end_s, harmless=()):
        """Return whether a node was disturbed in a span of time."""
        return any(
            disturbance.kind not in _HARMLESS.union(harmless)
            and disturbance.node in {None, node}
            and disturbance.start_s <= end_s
            and disturbance.end_s >= start_s
            for disturbance in self.disturbances
        )

    def disturbances_of(self, kind, node):
        """Return the disturbances of a kind of a node."""
        return [
            disturbance
            for disturbance in self.disturbances
            if disturbance.kind == kind and disturbance.node == node
        ]

    def is_in_touch(self, node, now_s):
        """Return whether a node was in touch at a time."""
        return not self.is_disturbed(node, now_s - STABLE_S, now_s)


def find_violations(history):
    """Return a line for each violation of a rule."""
    return [line for check in _checks for line in check(history)]


def _check(function):
    _checks.append(function)
    return function


@_check
def _unasked(history):
    for run in history.runs:
        call = history.calls.get(run.request_id)
        if call is None:
            yield f'UNASKED: {run.request_id} was sent by no client'
            continue
        for field in (
            'method',
            'path',
            'note',
            'encoding',
            'organisation',
            'caller_service',
        ):
            if getattr(run, field) != getattr(call, field):
                yield (
                    f'UNASKED: {field} of {run.request_id} is '
                    f'{getattr(run, field)!r}, was {getattr(call, field)!r}'
                )
        if run.body_digest not in {'', call.body_digest}:
            yield (
                f'UNASKED: body of {run.request_id} changed '
                f'(encoding {call.encoding!r})'
            )
        if run.key_shown:
            yield f'UNASKED: the key of {run.request_id} was passed on'


@_check
def _twice(history):
    counts = collections.Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        call = history.calls.get(request_id)
        if count > 1 and call is not None and not call.safe:
            yield f'TWICE: {request_id} ran {count} times'


@_check
def _refused(history):
    ran = {run.request_id for run in history.runs}
    for call in history.calls.values():
        if (
            call.request_id in ran
            and not call.safe
            and not call.stamp
            and call.status in _NOT_RUN_STATUSES
        ):
            yield f'REFUSED: {call.request_id} got {call.status} and ran'


@_check
def _mixed(history):
    runs = {run.stamp: run for run in history.runs}
    for call in history.calls.values():
        if call.end != 'answered':
            continue
        run = runs.get(call.stamp)
        if run is None:
            if call.stamp or call.status < 300:
                yield f'MIXED: {call.request_id} got {call.status} of no target'
        elif (
            run.request_id,
            run.status,
            run.answer_digest,
            run.answer_note,
        ) != (
            call.request_id,
            call.status,
            call.answer_digest,
            call.answer_note,
        ):
            yield (
                f'MIXED: the answer to {call.request_id} changed: '
                f'{call.status} {call.answer_note!r}, was '
                f'{run.status} {run.answer_note!r}'
            )
    for raw in history.stray_bytes:
        yield f'MIXED: {raw[:80]!r} came without a request'


@_check
def _denied(history):
    for call in history.calls.values():
        life = history.keys.get(call.key)
        is_held = life is None or (
            life.added_s + CONFIG_S < call.sent_s
            and call.ended_s < life.withdrawn_s
            and history.is_in_touch(call.entry, call.sent_s)
        )
        if call.status in _DENIALS and not call.stamp and is_held:
            yield (
                f'DENIED: {call.request_id} {call.method} {call.path} got '
                f'{call.status} (encoding {call.encoding!r}, '
                f'note {call.note!r}{_age(call, life)})'
            )


def _age(call, life):
    if life is None:
        return ''
    return f', its key was added {call.sent_s - life.added_s:.2f} s before'


@_check
def _lost(history):
    for call in history.calls.values():
        if call.end != 'cut' or call.whole_s is None:
            continue
        runs = history.runs_of(call.request_id)
        if not runs and not _was_read_in_planned_work(history, call):
            continue
        if _is_cut_excused(history, call, runs):
            continue
        yield (
            f'LOST: {call.request_id} {call.method} {call.path} at node '
            f'{call.entry} was cut off {call.ended_s - call.sent_s:.2f} s '
            f'after it was sent at {call.sent_s:.2f} s; runs: {len(runs)}; '
            f'client: {call.habits}'
        )


def _was_read_in_planned_work(history, call):
    """Return whether a node read a call and passed it on nowhere."""
    # A connection ends after a request that could not be read or answered.
    for request_id in call.behind:
        earlier = history.calls[request_id]
        is_last = earlier.status in _LAST_STATUSES and not earlier.stamp
        if earlier.end == 'cut' or is_last:
            return False
    stops = history.disturbances_of('stop', call.entry)
    # A connection ends with the process that accepted it.
    ends_s = [
        ending.end_s
        for kind in _PROCESS_ENDS
        for ending in history.disturbances_of(kind, call.entry)
        if ending.end_s >= call.connected_s
    ]
    end_s = min(call.ended_s, *ends_s, float('inf'))
    is_planned = any(
        call.connected_s <= stop.end_s and stop.start_s <= end_s
        for stop in stops
    ) or any(
        call.sent_s - CONFIG_S <= hangup.start_s <= end_s
        for hangup in history.disturbances_of('hangup', call.entry)
    )
    if not is_planned and _is_beside_edit(history, call):
        is_planned = (
            call.ended_s - call.sent_s < _TIME_SHARE * call.deadline_s
            and _is_cut_more_beside_edits(history, call.entry)
        )
    return is_planned and end_s - call.whole_s - call.path_s > LOSS_SLACK_S


def _is_beside_edit(history, call):
    return any(
        edit.start_s <= call.ended_s <= edit.end_s
        for edit in history.disturbances_of('edit', None)
    )


def _is_cut_more_beside_edits(history, node):
    """Return whether a node cuts far more calls beside edits than else."""
    cuts = {True: 0, False: 0}
    counts = {True: 0, False: 0}
    for call in history.calls.values():
        if call.entry == node and not history.is_disturbed(
            node, call.sent_s - STABLE_S, call.ended_s
        ):
            is_beside = _is_beside_edit(history, call)
            counts[is_beside] += 1
            cuts[is_beside] += call.end == 'cut'
    # Shares of all calls, without a division.
    return cuts[True] * max(counts[False], 1) > (
        _CUT_FACTOR * cuts[False] * counts[True]
    )


def _is_cut_excused(history, call, runs):
    if call.ended_s >= call.sent_s + call.deadline_s:
        return True
    if any(_is_cut_by_end_of_stop(history, call, run) for run in runs):
        return True
    if history.is_disturbed(
        call.entry, call.sent_s - STABLE_S, call.ended_s, _PLANNED
    ):
        return True
    # The rest of an answer is lost with its target or the node beside that.
    return any(
        run.broke_off
        or history.is_disturbed(run.target, call.sent_s, call.ended_s, _PLANNED)
        for run in runs
    )


def _is_cut_by_end_of_stop(history, call, run):
    """Return whether the grace period ended before target or client did."""
    for stop in history.disturbances_of('stop', call.entry):
        late_s = stop.start_s + STOP_S
        is_answered = run.done_s is not None and run.done_s <= late_s
        if (
            late_s < call.ended_s <= stop.end_s + 1 + call.path_s
            and call.sent_s <= stop.start_s + _LONG_SENT_S
            and not (is_answered and call.is_read_at_once)
        ):
            return True
    return False


@_check
def _replaced(history):
    """Find answers of targets in whose place callers got another one."""
    for run in history.runs:
        call = history.calls.get(run.request_id)
        if call is None or run.done_s is None or call.end != 'answered':
            continue
        is_in_time = run.done_s < call.sent_s + call.deadline_s - _REPLY_S
        if call.stamp or not is_in_time:
            continue
        if not any(
            history.is_disturbed(
                node, call.sent_s - STABLE_S, call.ended_s, _PLANNED
            )
            for node in (call.entry, run.target)
        ):
            yield (
                f'LOST: {call.request_id} {call.method} {call.path} got '
                f'{call.status} after {call.ended_s - call.sent_s:.2f} s in '
                f'place of the answer of its target ({run.answer_note!r})'
            )


@_check
def _given_up(history):
    """Find targets at work in whose place a stopping node answered."""
    for call in history.calls.values():
        if (
            call.end != 'answered'
            or call.stamp
            or not any(
                stop.start_s <= call.ended_s <= stop.end_s + 1 + call.path_s
                for stop in history.disturbances_of('stop', call.entry)
            )
        ):
            continue
        runs = history.runs_of(call.request_id)
        is_at_work = any(
            run.done_s is None or run.done_s > call.ended_s for run in runs
        )
        if is_at_work and not _is_cut_excused(history, call, runs):
            yield (
                f'LOST: {call.request_id} {call.method} {call.path} got '
                f'{call.status} of stopping node {call.entry} after '
                f'{call.ended_s - call.sent_s:.2f} s while its target was at '
                f'work; client: {call.habits}'
            )


@_check
def _late(history):
    for call in history.calls.values():
        if call.end == 'late' and not any(
            disturbance.start_s <= call.ended_s
            and disturbance.end_s >= call.sent_s - STABLE_S
            for disturbance in history.disturbances
            if disturbance.kind not in _HARMLESS | {'store'}
        ):
            yield (
                f'CONFIG: {call.request_id} {call.method} {call.path} has no '
                f'answer {call.ended_s - call.sent_s:.2f} s after it was sent '
                f'(note {call.note!r}; client: {call.habits})'
            )


@_check
def _withdrawn(history):
    ran = {run.request_id for run in history.runs}
    for call in history.calls.values():
        life = history.keys.get(call.key)
        if (
            life is not None
            and call.request_id in ran
            and call.sent_s > life.withdrawn_s + CONFIG_S
            and history.is_in_touch(call.entry, call.sent_s)
        ):
            yield (
                f'CONFIG: {call.key} was accepted at node {call.entry} '
                f'{call.sent_s - life.withdrawn_s:.2f} s after it was withdrawn'
            )


@_check
def _memory(history):
    for node, ended_s in history.memory_ends:
        harmless = ('store', 'memory')
        if not history.is_disturbed(node, ended_s - 1, ended_s, harmless):
            yield f'Fault: node {node} ended over its memory at {ended_s:.2f} s'


@_check
def _unlisted(history):
    for line in history.unlisted_ends:
        yield f'Fault: a request ended for no listed cause: {line}'
