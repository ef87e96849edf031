"""Records of requests by callers and of executions by targets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """One request, as observed by its caller.

    Attributes:
        trace_id: Unique ID that the caller assigned to the request.
        entry_url: Base URL of the node that the request was sent to.
        status: HTTP status; 0 if there was no response.
        outcome: Value of the ``Chivelead-Outcome`` response header.
        reason: Code of a rejection, such as ``overload``.
        valid: Whether the response was successful, complete and for a
            request with the same body.
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
    """One execution of a request by a target.

    Attributes:
        ended_ms: 0 while the request is executed.
        finished: Whether the execution was completed, not cancelled.
        received_key: Whether the request contained an API key.
        draining: Whether the target was draining when the execution began.
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
    """All records of one test run."""

    calls: tuple[CallRecord, ...]
    executions: tuple[ExecutionRecord, ...]
