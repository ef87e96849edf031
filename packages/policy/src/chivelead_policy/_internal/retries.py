"""Retry policies, which decide whether to retry a failed attempt."""

import abc
import collections
import dataclasses
from collections.abc import Callable

from chivelead_protocol import loop_ms

from chivelead_policy._internal.registry import Registry

# A retried request repeats its own calls as well.  They count as retries at
# services that this node does not observe, which get the rest of the budget.
_LOCAL_BUDGET_FRACTION = 0.5
_BUCKETS_PER_WINDOW = 20
# Other nodes to try after the first one has refused; more would only add load
# when all are full.
_MAX_RETRIES_NOT_ARRIVED = 2

RETRIES: Registry['RetryPolicy'] = Registry('retries')

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0
_INITIAL_TOKENS = 5.0
_MAX_NAIVE_RETRIES = 3


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """A failed attempt of a call.

    Attributes:
        retries_done: Retries already made for this call at this node.
        allowance: Retries left for the whole call chain of the root request,
            which is the request that entered the fleet.
        safe_to_retry: The attempt did not run, or the call is idempotent.
        left_ms: Time left until the deadline.
        arrived: The attempt reached the target, which may have refused it.
    """

    service: str
    retries_done: int
    allowance: int
    safe_to_retry: bool
    left_ms: float
    arrived: bool = True


class RetryPolicy(abc.ABC):
    """Decide on retries and on the allowance passed on to downstream calls."""

    @abc.abstractmethod
    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Tell whether to retry, and count the retry if so."""

    @abc.abstractmethod
    def forwarded_allowance(self, allowance: int) -> int:
        """Return the part of the allowance that is passed on with a call."""

    def retry_cost(self, attempt: FailedAttempt) -> int:
        """Return how much of the allowance a retry uses."""
        return 1

    def record_request(self, service: str) -> None:
        """Count a call before its first attempt."""

    def record_success(self, service: str) -> None:
        """Count a call that received a response."""


@RETRIES.register('none')
class NoRetries(RetryPolicy):
    """Never retry."""

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Deny the retry."""
        return False

    def forwarded_allowance(self, allowance: int) -> int:
        """Pass on no retries."""
        return 0


@RETRIES.register('naive')
class NaiveRetries(RetryPolicy):
    """Up to three retries at each hop, not limited over the call chain.

    Serves as a baseline.
    """

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Allow up to three retries before the deadline."""
        can_retry = attempt.left_ms > 0 and attempt.safe_to_retry
        return can_retry and attempt.retries_done < _MAX_NAIVE_RETRIES

    def forwarded_allowance(self, allowance: int) -> int:
        """Pass on the whole allowance; this policy ignores it."""
        return allowance


@RETRIES.register('allowance')
class AllowanceRetries(RetryPolicy):
    """Limit retries by the allowance of the call chain and by service.

    Each service has a token bucket for retries.  Only calls that receive a
    response add tokens, so retries stop when all calls fail.
    """

    def __init__(self) -> None:
        """Start with a few tokens for each service."""
        self._tokens: dict[str, float] = {}

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Allow the retry and take a token if all conditions hold."""
        if not attempt.safe_to_retry or attempt.left_ms <= 0:
            return False
        tokens = self._tokens.get(attempt.service, _INITIAL_TOKENS)
        if attempt.allowance < 1 or tokens < 1:
            return False
        self._tokens[attempt.service] = tokens - 1
        return True

    def forwarded_allowance(self, allowance: int) -> int:
        """Pass on all but one, kept in case the link to the peer is lost."""
        return max(0, allowance - 1)

    def record_success(self, service: str) -> None:
        """Add a fraction of a token."""
        tokens = self._tokens.get(service, _INITIAL_TOKENS)
        self._tokens[service] = min(_MAX_TOKENS, tokens + _TOKENS_PER_SUCCESS)


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Limit on the retries of a service over the whole fleet.

    Attributes:
        ratio: Retries allowed per request within a window.
        window_ms: Length of the window.
        slack: Retries allowed per window in addition to the ratio.
    """

    ratio: float
    window_ms: float
    slack: float


class FleetBudgetRetries(RetryPolicy):
    """Enforce a retry budget per service over the whole fleet.

    Each node uses only a fraction of the retries that its own requests earn
    and of its part of the slack.  The total thus stays within the budget
    without any coordination.  Attempts that a peer's admission control refused
    never reached a target and are not counted.

    Args:
        budget: Budget of the whole fleet.
        count_nodes: Returns the number of nodes that share the slack.
    """

    def __init__(
        self,
        budget: RetryBudget,
        count_nodes: Callable[[], int],
    ) -> None:
        """Start without any recorded request or retry."""
        self._budget = budget
        self._count_nodes = count_nodes
        self._request_counters: dict[str, _SlidingWindowCounter] = {}
        self._retry_counters: dict[str, _SlidingWindowCounter] = {}

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Check the retry; count it if the attempt arrived at a target."""
        if not attempt.safe_to_retry or attempt.left_ms <= 0:
            return False
        if not attempt.arrived:
            return attempt.retries_done < _MAX_RETRIES_NOT_ARRIVED
        if attempt.allowance < 1:
            return False
        retry_counter = self._counter_for(self._retry_counters, attempt.service)
        requests = self._counter_for(
            self._request_counters, attempt.service
        ).total()
        slack = self._budget.slack / max(1, self._count_nodes())
        earned_retries = requests * self._budget.ratio
        if retry_counter.total() + 1 > _LOCAL_BUDGET_FRACTION * (
            earned_retries + slack
        ):
            return False
        retry_counter.add()
        return True

    def forwarded_allowance(self, allowance: int) -> int:
        """Pass on no retries: calls by targets have their own budgets."""
        return 0

    def retry_cost(self, attempt: FailedAttempt) -> int:
        """Return 1 if the attempt arrived at a target, else 0."""
        return int(attempt.arrived)

    def record_request(self, service: str) -> None:
        """Count a request, which earns a fraction of a retry."""
        self._counter_for(self._request_counters, service).add()

    def _counter_for(
        self,
        counters: dict[str, '_SlidingWindowCounter'],
        service: str,
    ) -> '_SlidingWindowCounter':
        return counters.setdefault(
            service,
            _SlidingWindowCounter(self._budget.window_ms),
        )


class _SlidingWindowCounter:
    """Number of events within a sliding window, counted in buckets."""

    def __init__(self, window_ms: float) -> None:
        self._bucket_ms = window_ms / _BUCKETS_PER_WINDOW
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._total = 0

    def add(self) -> None:
        bucket_number = loop_ms() // self._bucket_ms
        if not self._buckets or self._buckets[-1][0] < bucket_number:
            self._buckets.append([bucket_number, 0])
        self._buckets[-1][1] += 1
        self._total += 1

    def total(self) -> int:
        oldest_bucket = loop_ms() // self._bucket_ms - _BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < oldest_bucket:
            self._total -= int(self._buckets.popleft()[1])
        return self._total
