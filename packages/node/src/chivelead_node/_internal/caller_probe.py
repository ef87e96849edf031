"""Probes of clients that send nothing more on their connection.

A client that has closed its connection looks like one that has closed only its
sending half and waits for an answer.  The kernel of the former answers what is
sent to it with a reset.
"""

import asyncio
import itertools
from collections.abc import Callable

from aiohttp import HttpVersion11, web

# Must be allowed before any final response (RFC 9110, section 15.2).
_INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Most requests have their answer by the time of the first probe.  A reset is
# seen when the next one is written.
_FIRST_DELAYS_S = (0.25, 0.1)
_PROBE_PERIOD_S = 1.0


class CallerProbe:
    """Sends interim responses to a client that has closed its sending half.

    Args:
        send: Writes bytes to the client.
        find_request: Returns the request whose answer has not begun, or None.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        find_request: Callable[[], web.BaseRequest | None],
    ) -> None:
        """Create a probe that has not started."""
        self._send = send
        self._find_request = find_request
        self._delays_s = itertools.chain(
            _FIRST_DELAYS_S, itertools.repeat(_PROBE_PERIOD_S)
        )
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start probing."""
        self._probe_later()

    def close(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _probe_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            next(self._delays_s), self._probe
        )

    def _probe(self) -> None:
        request = self._find_request()
        if request is not None and request.version >= HttpVersion11:
            self._send(_INTERIM_RESPONSE)
        self._probe_later()
