"""HTTP interface for operators to list and to clear harmful requests."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from chivelead_node._internal.proxy.target_end_exchange import (
    TargetEndExchange,
)

_PATH = '/harmful-requests'
_OK = 200
_NOT_FOUND = 404

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class HarmfulRequestApi:
    """Serve the harmful requests on the port of the metrics.

    Args:
        target_ends: Ends of targets that this node knows.
        handle_other: Handles requests to all other paths.
    """

    def __init__(
        self, target_ends: TargetEndExchange, handle_other: RequestHandler
    ) -> None:
        """Create the interface."""
        self._target_ends = target_ends
        self._handle_other = handle_other

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """List all harmful requests, or clear one by its fingerprint."""
        path, _, fingerprint = request.path.rpartition('/')
        if (request.method, request.path) == ('GET', _PATH):
            return web.json_response(self._target_ends.describe())
        if (request.method, path) == ('DELETE', _PATH):
            is_known = self._target_ends.clear(fingerprint)
            return web.Response(status=_OK if is_known else _NOT_FOUND)
        return await self._handle_other(request)
