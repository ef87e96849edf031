"""Pacing of requests to a target that takes only a certain rate."""

from chivelead_protocol import loop_ms

# Requests that may follow each other without a pause, as a time at the rate.
_BURST_MS = 500.0
# A target that takes nothing still gets a request now and then, because only
# its response can say that it takes more.
_MIN_RATE_PER_S = 0.25
_MS_PER_S = 1000


class RequestPacer:
    """Token bucket for the rate that a target takes; unlimited at first.

    The bucket is empty when the rate is first set: until then, the target got
    more requests than it takes.
    """

    def __init__(self) -> None:
        """Create a pacer without a rate."""
        self._rate_per_s: float | None = None
        self._tokens = 0.0
        self._updated_ms = 0.0

    @property
    def rate_per_s(self) -> float | None:
        """Return the rate in force; None if there is none."""
        return self._rate_per_s

    def update_rate(self, rate_per_s: float | None) -> None:
        """Replace the rate; None removes it."""
        self._refill()
        if rate_per_s is None:
            self._rate_per_s = None
            return
        if self._rate_per_s is None:
            self._tokens = 0
        self._rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
        self._tokens = min(self._tokens, self._capacity())

    def has_token(self) -> bool:
        """Return whether a request may be sent now."""
        self._refill()
        return self._rate_per_s is None or self._tokens >= 1

    def take(self) -> None:
        """Count a request that is sent."""
        if self._rate_per_s is not None:
            self._tokens -= 1

    def give_back(self) -> None:
        """Take back a request that was counted but is not sent."""
        if self._rate_per_s is not None:
            self._tokens = min(self._capacity(), self._tokens + 1)

    def wait_ms(self, ahead: int = 0) -> float:
        """Return the time until a request may be sent.

        Args:
            ahead: Number of requests that are sent before it.
        """
        self._refill()
        if self._rate_per_s is None:
            return 0
        missing = max(0.0, ahead + 1 - self._tokens)
        return missing / self._rate_per_s * _MS_PER_S

    def load(self) -> float:
        """Return the used fraction of the burst; zero without a rate."""
        self._refill()
        if self._rate_per_s is None:
            return 0
        return 1 - self._tokens / self._capacity()

    def _capacity(self) -> float:
        return max(1.0, (self._rate_per_s or 0) * _BURST_MS / _MS_PER_S)

    def _refill(self) -> None:
        time_ms = loop_ms()
        if self._rate_per_s is not None:
            elapsed_s = (time_ms - self._updated_ms) / _MS_PER_S
            self._tokens = min(
                self._capacity(), self._tokens + elapsed_s * self._rate_per_s
            )
        self._updated_ms = time_ms
