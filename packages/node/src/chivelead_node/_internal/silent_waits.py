"""Waits for replies of nodes that are silent."""

from collections.abc import Callable

from chivelead_node._internal.calls import Call

# Takes the time in which requests to a node were in flight and nothing came
# from it, in milliseconds; returns whether to fail a request.
GiveUp = Callable[[float], bool]

# A node that is held up for longer is taken for lost.
_MAX_SILENCE_MS = 2400.0


class SilentWait:
    """Decides whether an attempt is given up while its node is silent.

    The node may only be held up.  So its reply is waited for until the request
    can be sent elsewhere, or the node is taken for lost.

    Args:
        acquire_retry: Takes a call and the number of its retries; takes one
            more from the budget if there is another target, and returns whether
            it has.
        call: Call that the attempt belongs to.
        retries_done: Retries before the attempt.

    Attributes:
        has_retry: Whether a retry was taken for the request.
    """

    def __init__(
        self,
        acquire_retry: Callable[[Call, int], bool],
        call: Call,
        retries_done: int,
    ) -> None:
        """Create a wait for an attempt that has not begun."""
        self.has_retry = False
        self._acquire_retry = acquire_retry
        self._call = call
        self._retries_done = retries_done

    def give_up(self, silent_ms: float) -> bool:
        """Return whether to fail the attempt.

        Args:
            silent_ms: Time in which requests were in flight and nothing came
                from the node.
        """
        self.has_retry = self._acquire_retry(self._call, self._retries_done)
        return self.has_retry or silent_ms > _MAX_SILENCE_MS


def never_give_up(silent_ms: float) -> bool:
    """Wait for the reply, however long the node is silent."""
    return False
