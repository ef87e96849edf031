"""Calls of an ingress: their ends by time, or because their callers left."""

import asyncio
from typing import cast

from aiohttp.web_protocol import RequestHandler
from chivelead_protocol import CallReply, Outcome, loop_ms

from chivelead_node._internal import calls
from chivelead_node._internal.connection_set import (
    INPUT_END_GRACE_MS,
    TrackedConnection,
)
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.proxy.request_timeouts import RequestTimeouts

_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000


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
        # Calls that go on when their callers send nothing more.
        self._lasting_calls: dict[TrackedConnection, calls.Call] = {}
        self._withdrawals: set[asyncio.Future[None]] = set()

    def handle_input_end(self, connection: TrackedConnection) -> None:
        """End a call soon if that is possible, as its caller may have gone.

        One that must run once is only withdrawn while it waits for a slot.
        """
        self.timeouts.limit_step(connection, loop_ms() + INPUT_END_GRACE_MS)
        call = self._lasting_calls.get(connection)
        if call is not None:
            self._withdraw_later(call)

    async def run(
        self, call: calls.Call, protocol: RequestHandler
    ) -> CallReply:
        """Run a call for a connection and return the reply."""
        connection = cast('TrackedConnection', protocol)
        connection.pass_on(call.attempted_vms)
        try:
            if call.idempotent:
                return await self._run_cancellable(call, connection)
            return await self._run_lasting(call, connection)
        except TimeoutError:
            return calls.refusal_reply(
                calls.Refusal(
                    _GATEWAY_TIMEOUT,
                    'caller-gone' if connection.input_ended else 'timeout',
                    Outcome.unknown,
                    'no answer came in time',
                ),
            )

    async def _run_cancellable(
        self, call: calls.Call, connection: TrackedConnection
    ) -> CallReply:
        end_ms = call.deadline_ms
        if connection.input_ended:
            end_ms = min(end_ms, loop_ms() + INPUT_END_GRACE_MS)
        return await self.timeouts.run(
            self._outbound.run(call), end_ms, connection
        )

    async def _run_lasting(
        self, call: calls.Call, connection: TrackedConnection
    ) -> CallReply:
        if connection.input_ended:
            self._withdraw_later(call)
        self._lasting_calls[connection] = call
        try:
            return await self.timeouts.run(
                self._outbound.run(call), call.deadline_ms
            )
        finally:
            self._lasting_calls.pop(connection)

    def _withdraw_later(self, call: calls.Call) -> None:
        asyncio.get_running_loop().call_later(
            INPUT_END_GRACE_MS / _MS_PER_S, self._withdraw, call
        )

    def _withdraw(self, call: calls.Call) -> None:
        task = asyncio.ensure_future(self._outbound.withdraw(call))
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)
