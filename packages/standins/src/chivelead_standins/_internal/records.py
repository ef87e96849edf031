"""Records of what callers and targets saw, for the checkers."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """One request as its caller saw it.

    Attributes:
        trace: Unique name that the caller gave the request.
        status: HTTP status; zero when there was no answer.
        outcome: Outcome header of the answer.
        reason: Code of a refusal.
        whole: The answer was complete and belonged to the request.
    """

    trace_id: str
    organisation: str
    service: str
    importance: int
    entry_url: str
    sent_ms: float
    ended_ms: float
    status: int
    outcome: str
    reason: str
    valid: bool
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True)
class ExecutionRecord:
    """One run of a request at a target.

    Attributes:
        ended_ms: Zero while it runs.
        finished: Whether it ran to its end.
    """

    trace_id: str
    request_id: str
    organisation: str
    service: str
    vm: str
    started_ms: float
    ended_ms: float
    finished: bool
    received_key: bool
    draining: bool
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True)
class History:
    """All records of one run."""

    calls: tuple[CallRecord, ...]
    executions: tuple[ExecutionRecord, ...]
