"""Probes of clients that send nothing more on their connection.

A client that has closed its connection looks like one that has closed only its
sending half and waits for an answer.  The kernel of the former answers what is
sent to it with a reset.
"""

import asyncio
import itertools
from collections.abc import Callable

# Most requests have their answer by the time of the first probe.  A reset is
# seen when the next one is written.
_FIRST_DELAYS_S = (0.25, 0.1)
_PROBE_PERIOD_S = 1.0


class CallerProbe:
    """Probes a client that has closed its sending half.

    Args:
        send_probe: Sends something to the client; returns whether there is more
            to send.
    """

    def __init__(self, send_probe: Callable[[], bool]) -> None:
        """Create a probe that has not started."""
        self._send_probe = send_probe
        self._delays_s = itertools.chain(
            _FIRST_DELAYS_S, itertools.repeat(_PROBE_PERIOD_S)
        )
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start probing."""
        self._timer = asyncio.get_running_loop().call_later(
            next(self._delays_s), self._probe
        )

    def close(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _probe(self) -> None:
        if self._send_probe():
            self.start()
