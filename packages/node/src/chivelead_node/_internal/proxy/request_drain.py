"""The wait of a node that stops, until its answers are with their readers."""

import asyncio

from chivelead_protocol import PeerServer, now_ms

from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.proxy.ingress import ProxyIngress
from chivelead_node._internal.proxy.request_timeouts import RequestTimeouts

# The platform sends callers to another VM after two failed readiness probes,
# one per second; until then, requests still arrive here.
_CALLER_FAILOVER_MS = 2500.0
# Of the time for requests in a short grace period, the part in which new ones
# are taken; the rest is for those to end.
_MAX_FAILOVER_FRACTION = 0.5
# End of the grace period before SIGKILL that is reserved for closing the
# components, and its largest part.
_SHUTDOWN_RESERVE_MS = 800.0
_MAX_SHUTDOWN_RESERVE_FRACTION = 0.15
# Time to write the responses of requests that did not end by themselves.
_LAST_RESPONSES_MS = 100.0
_POLL_PERIOD_S = 0.05
# Time for what arrived while the node left.
_LAST_LOOK_MS = 40.0
_LAST_LOOK_PERIOD_S = 0.005
# Time for what is read while the node has nothing else to do.
_LAST_REFUSALS_MS = 20.0


class RequestDrain:
    """Takes requests for a while at a stop, then waits for the last answers.

    Callers keep their connections until the process has gone.  An answer that
    asks a caller to close would cross what it has sent since, and a caller that
    closes after it (RFC 9112, section 9.6) reads no answer to that.

    An answer is with its reader once the reader's kernel has acknowledged its
    last byte.

    Args:
        grace_ms: Time from the start of the stop until the process is killed.
        ingress: Requests of callers and of the own target.
        timeouts: Timeouts of these requests.
        inbound: Calls to the own target.
        callers: Connections on which requests arrive.
        controllers: Connections on which the own target reports its state.
        peers: Links of the nodes that call the own target.
    """

    def __init__(  # noqa: WPS211
        self,
        grace_ms: float,
        ingress: ProxyIngress,
        timeouts: RequestTimeouts,
        inbound: InboundCalls,
        callers: ServerConnections,
        controllers: ServerConnections,
        peers: PeerServer,
    ) -> None:
        """Create a drain that has not started."""
        self._grace_ms = grace_ms
        self._ingress = ingress
        self._timeouts = timeouts
        self._inbound = inbound
        self._callers = callers
        self._controllers = controllers
        self._peers = peers

    async def wait(self, started_ms: float) -> None:
        """Return when all answers are with their readers, or time is up.

        Args:
            started_ms: Time at which the stop began, by ``now_ms``.
        """
        time_for_requests_ms = self._grace_ms - min(
            _SHUTDOWN_RESERVE_MS,
            self._grace_ms * _MAX_SHUTDOWN_RESERVE_FRACTION,
        )
        refusing_from_ms = started_ms + min(
            _CALLER_FAILOVER_MS, time_for_requests_ms * _MAX_FAILOVER_FRACTION
        )
        end_ms = started_ms + time_for_requests_ms
        self._timeouts.limit(end_ms)
        while now_ms() < end_ms + _LAST_RESPONSES_MS:
            await asyncio.sleep(_POLL_PERIOD_S)
            if now_ms() < refusing_from_ms:
                continue
            self._ingress.refusing = True
            # Requests at the target fail without the calls that it makes.
            self._ingress.refusing_target_calls = not self._inbound.in_flight
            if not self._is_answer_due():
                break
        self._ingress.refusing = True
        self._ingress.refusing_target_calls = True

    async def look_again(self) -> None:
        """Wait a short time for the answers that became due since ``wait``."""
        end_ms = now_ms() + _LAST_LOOK_MS
        while self._is_answer_due() and now_ms() < end_ms:
            await asyncio.sleep(_LAST_LOOK_PERIOD_S)

    async def refuse_rest(self) -> None:
        """Answer what has been read; the process can exit right after it."""
        end_ms = now_ms() + _LAST_REFUSALS_MS
        # What has arrived by now is read first.
        await asyncio.sleep(0)
        while self._callers.count_unanswered() and now_ms() < end_ms:
            await asyncio.sleep(0)

    def _is_answer_due(self) -> bool:
        unanswered = (
            self._inbound.in_flight
            + self._callers.count_unanswered()
            + self._controllers.count_unanswered()
        )
        return bool(
            unanswered
            or self._callers.undelivered_bytes()
            or self._peers.count_due_replies()
        )
