"""What adapters tell the request path of callers and targets."""

import dataclasses
import enum

from chivelead_protocol import TargetState


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of HTTP headers at the edges of the fleet.

    Attributes:
        request_id: Identity of one attempt of a caller; targets echo it.
        time_left_ms: How long the sender still waits.
        organisation: Who sent the request, as told to targets.
        origin_service: Service of the VM where the request began.
        expected_target: Identity of the only target that may run it.
        target_load: Running, waiting and slots of a target, by commas.
        not_run: Its presence says that a target has not run the request.
        response_stamp: Proves that an answer is a target's own.
        key_scheme: Scheme of the Authorization header with a key.
    """

    request_id: str
    time_left_ms: str
    organisation: str
    origin_service: str
    expected_target: str
    target_id: str
    target_load: str
    not_run: str
    response_stamp: str
    key_scheme: str


@dataclasses.dataclass(frozen=True)
class TargetAnnouncement:
    """One announcement of a target.

    Attributes:
        target_id: Identity of the target; a restart may keep it.
        started_ms: Unix time of the start; orders starts.
        sequence: Grows with each announcement of one start.
        warmup_left_ms: How much longer the target is slow after its start.
    """

    target_id: str
    started_ms: int
    sequence: int
    service: str
    host: str
    port: int
    slots: int
    state: TargetState
    warmup_left_ms: float


class NodeRequestKind(enum.StrEnum):
    """What the platform or a target wants of a node."""

    readiness = 'readiness'
    announcement = 'announcement'
    departure = 'departure'
    unknown = 'unknown'
