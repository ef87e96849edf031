"""Types shared by a node's platform adapter and its request path.

An adapter connects the node to the store and the conventions of a platform.
"""

import dataclasses
import enum

from chivelead_protocol import TargetState


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the HTTP headers exchanged with callers and targets.

    Attributes:
        request_id: ID of one attempt of a caller; targets echo it.
        time_left_ms: Time for which the sender still waits for a response.
        organisation: Organisation that sent the request, for the target.
        origin_service: Service of the VM at which the request
            entered the fleet.
        expected_target: ID of the only target that may run the request.
        target_id: ID of the target that responds.
        target_load: Running requests, waiting requests and slots of a
            target, separated by commas.
        target_rate_limit: Requests a second that a target takes from all nodes
            together.
        target_leaving: Present if the target is about to shut down.
        not_run: Present if the target has not run the request.
        response_stamp: Present if the target itself produced the response.
        key_scheme: Authorization header scheme for keys.
    """

    request_id: str
    time_left_ms: str
    organisation: str
    origin_service: str
    expected_target: str
    target_id: str
    target_load: str
    target_rate_limit: str
    target_leaving: str
    not_run: str
    response_stamp: str
    key_scheme: str


@dataclasses.dataclass(frozen=True)
class TargetAnnouncement:
    """State that a target announces to its node.

    Attributes:
        target_id: ID of the target; may stay the same over a restart.
        started_ms: Unix time at which the target started; orders restarts.
        sequence: Increases with each announcement since the start.
        slots: Number of requests that the target can run at once.
        warmup_left_ms: Time until the target has warmed up after its start.
        version: Version of its software; empty if unknown.
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
    version: str = ''


class NodeRequestKind(enum.StrEnum):
    """Kind of a request from the platform or the target to its node."""

    readiness = 'readiness'
    announcement = 'announcement'
    departure = 'departure'
    unknown = 'unknown'
