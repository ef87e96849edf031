"""Detection of ends of the target on this VM, and refusal of their causes."""

import asyncio
import dataclasses
from collections.abc import Sequence

from chivelead_policy import (
    TargetEnd,
    TargetEndLedger,
    select_fingerprints,
)
from chivelead_protocol import CallRequest, TargetState, loop_ms
from chivelead_protocol.bounds import edges

from chivelead_node._internal import calls
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.metrics import CallMetrics
from chivelead_node._internal.proxy.registration import (
    TargetIdentity,
    TargetRegistration,
)
from chivelead_node._internal.proxy.target_end_exchange import (
    TargetEndExchange,
)
from chivelead_node._internal.request_guard import (
    HARMFUL_REQUEST,
    SUSPECTED_REQUEST,
    RequestGuard,
    fingerprint,
)

# The target is on the same VM.
_CONNECT_TIMEOUT_S = 0.2
# A target that starts again within this time has ended, even if its address
# accepted a connection meanwhile.
_RESTART_MS = 5000.0
# After this many ends, a request is not sent to another target by this fleet,
# even if it is not known as harmful yet.
_ENDS_UNTIL_FINAL = 2
_MAX_LOGGED_REQUESTS = 32
_MAX_LOGGED_ENDS = 8


class _RunningRequest:
    """A request that runs, and its fingerprint after its end.

    Args:
        request: Request that was started.

    Attributes:
        request_id: ID of the request.
        is_suspect: Whether the target broke off some request meanwhile.
    """

    def __init__(self, request: CallRequest) -> None:
        """Add a request; its fingerprint is found when it is needed."""
        self.request_id = request.request_id
        self.is_suspect = False
        self._request: CallRequest | None = request
        self._fingerprint = ''

    def find_fingerprint(self) -> str:
        """Return the fingerprint of a request that runs or is suspect."""
        if self._request is not None and not self._fingerprint:
            self._fingerprint = fingerprint(self._request)
        return self._fingerprint

    def release(self) -> None:
        """Drop the request, whose body is no longer counted."""
        if self.is_suspect:
            self.find_fingerprint()
        self._request = None


@dataclasses.dataclass(frozen=True)
class _BrokenRequests:
    """Requests that were running when the target broke one of them off."""

    identity: TargetIdentity
    version: str
    requests: tuple[_RunningRequest, ...]
    broken_ms: float


class HarmfulRequestGuard(RequestGuard):
    """Notice when the target ends, and refuse requests that end targets.

    A target that breaks off a request and then refuses connections has ended,
    unless it was leaving.  A reset of some connections, or a target that is
    frozen, is no end.

    Args:
        ledger: Ends of the targets of the service.
        exchange: Tells other nodes of ends.
        registration: Identity and state of the target.
        events: Event log.
        metrics: Counters.
    """

    def __init__(
        self,
        ledger: TargetEndLedger,
        exchange: TargetEndExchange,
        registration: TargetRegistration,
        events: EventLog,
        metrics: CallMetrics,
    ) -> None:
        """Create a guard of a target without requests."""
        self._ledger = ledger
        self._exchange = exchange
        self._registration = registration
        self._events = events
        self._metrics = metrics
        self._running: dict[str, _RunningRequest] = {}
        self._check: asyncio.Task[None] | None = None
        self._last_broken: _BrokenRequests | None = None
        registration.listen(self._check_restart)

    def find_refusal(self, request: CallRequest) -> calls.Refusal | None:
        """Return why the target must not run a request, or None if it may."""
        if self._ledger.is_empty:
            return None
        digest = fingerprint(request)
        held = self._ledger.find_held(digest, self._version(), loop_ms())
        if held is not None:
            self._record_refusal(request, HARMFUL_REQUEST, held.ends)
            return HARMFUL_REQUEST
        if not self._ledger.is_confined(
            digest, loop_ms()
        ) or self._exchange.is_trial_vm(request.service, digest):
            return None
        self._record_refusal(request, SUSPECTED_REQUEST, ())
        return SUSPECTED_REQUEST

    def started(self, request: CallRequest) -> None:
        """Add a running request."""
        self._running[request.attempt_id] = _RunningRequest(request)

    def answered(self, request: CallRequest) -> None:
        """Clear an answered request of earlier ends."""
        if self._ledger.is_empty:
            return
        digest = fingerprint(request)
        if self._ledger.is_suspected(digest):
            self._ledger.add_answer(digest, loop_ms())

    def ended(self, request: CallRequest) -> None:
        """Remove a running request."""
        running = self._running.pop(request.attempt_id, None)
        if running is not None:
            running.release()

    async def is_final_failure(self, request: CallRequest) -> bool:
        """Check the target; return whether it ended under a suspect."""
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._check_target())
        # Several requests wait for the same check.
        await asyncio.shield(self._check)
        running = self._running[request.attempt_id]
        ends = self._ledger.count_ends(running.find_fingerprint())
        return ends >= _ENDS_UNTIL_FINAL

    async def _check_target(self) -> None:
        announcement = self._registration.latest_announcement
        if (
            announcement is None
            or self._registration.state == TargetState.draining
        ):
            return
        for running in self._running.values():
            running.is_suspect = True
        broken = _BrokenRequests(
            self._registration.identity,
            announcement.version,
            tuple(self._running.values()),
            loop_ms(),
        )
        self._last_broken = broken
        if await _accepts_connections(announcement.host, announcement.port):
            return
        self._record_end(broken)
        if broken.identity.matches(self._registration.identity):
            # Peers use other targets until it is announced or answers a probe.
            self._registration.unresponsive = True

    def _check_restart(self) -> None:
        """Record the end of a target that has started again meanwhile."""
        broken = self._last_broken
        identity = self._registration.identity
        if broken is None or broken.identity.matches(identity):
            return
        self._last_broken = None
        self._registration.unresponsive = False
        has_left = broken.identity.target_id in self._registration.departures
        if not has_left and loop_ms() - broken.broken_ms < _RESTART_MS:
            self._record_end(broken)

    def _record_end(self, broken: _BrokenRequests) -> None:
        request_ids = {
            running.find_fingerprint(): running.request_id
            for running in broken.requests
        }
        end = TargetEnd(
            self._exchange.make_end_id(
                broken.identity.target_id, broken.identity.started_ms
            ),
            broken.version,
            broken.broken_ms,
            select_fingerprints(tuple(request_ids), self._ledger),
        )
        if not self._exchange.add_own_end(end):
            return
        self._metrics.count('target.ended')
        counts = {
            digest: self._ledger.count_ends(digest)
            for digest in end.fingerprints
        }
        most_ends_first = sorted(counts, key=counts.__getitem__, reverse=True)
        self._events.record_node_event(
            'target-ended',
            target=broken.identity.target_id,
            end=end.end_id,
            version=end.version,
            running=len(broken.requests),
            # Request ID, fingerprint and ends of each.
            requests=','.join(
                f'{request_ids[digest]}/{digest}/{counts[digest]}'
                for digest in most_ends_first[:_MAX_LOGGED_REQUESTS]
            ),
        )

    def _record_refusal(
        self,
        request: CallRequest,
        refusal: calls.Refusal,
        ends: Sequence[TargetEnd],
    ) -> None:
        digest = fingerprint(request)
        self._metrics.count(f'refused.{refusal.reason}')
        self._events.record_decision(
            'failed',
            'suspect-refused',
            request.request_id,
            reason=refusal.reason,
            fingerprint=digest,
            ends=self._ledger.count_ends(digest),
            latest=','.join(end.end_id for end in ends[-_MAX_LOGGED_ENDS:]),
        )

    def _version(self) -> str:
        announcement = self._registration.latest_announcement
        return announcement.version if announcement else ''


async def _accepts_connections(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await edges.HEALTH.connect(
                _EmptyConnection, host, port
            )
    except ConnectionRefusedError:
        return False
    except OSError:
        # Including a timeout: the target may be frozen.
        return True
    connection.close()
    return True


class _EmptyConnection(asyncio.Protocol):
    """A connection on which nothing is sent or read."""

    def __init__(self) -> None:
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
