"""Calls of an ingress, which end with their time or with their callers."""

from typing import cast

from aiohttp.web_protocol import RequestHandler
from chivelead_protocol import CallReply, Outcome

from chivelead_node._internal import calls
from chivelead_node._internal.connection_set import TrackedConnection
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.proxy.request_timeouts import RequestTimeouts

_GATEWAY_TIMEOUT = 504


class CallRunner:
    """Runs calls, each for a connection of a caller.

    Args:
        outbound: Sends the calls.

    Attributes:
        timeouts: Timeouts of the calls and of other steps of requests.
    """

    def __init__(self, outbound: OutboundCalls) -> None:
        """Create a runner without calls."""
        self.timeouts = RequestTimeouts()
        self._outbound = outbound

    async def run(
        self, call: calls.Call, protocol: RequestHandler
    ) -> CallReply:
        """Run a call for a connection and return the reply."""
        cast('TrackedConnection', protocol).pass_on(call.attempted_vms)
        try:
            return await self.timeouts.run(
                self._outbound.run(call), call.deadline_ms
            )
        except TimeoutError:
            return calls.refusal_reply(
                calls.Refusal(
                    _GATEWAY_TIMEOUT,
                    'timeout',
                    Outcome.unknown,
                    'no answer came in time',
                ),
            )
