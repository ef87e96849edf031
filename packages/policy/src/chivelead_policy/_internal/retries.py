"""When a failed attempt may be followed by another one."""

import abc
import collections
import dataclasses
from collections.abc import Callable

from chivelead_protocol import loop_ms

from chivelead_policy._internal.registry import Registry

# Calls below a repeated call are repeats as well, at services that this node
# does not see; half of the budget is left for them.
_LOCAL_BUDGET_FRACTION = 0.5
_BUCKETS_PER_WINDOW = 20
# Nodes that are asked after the first one has refused; more would only add
# load where all are full.
_MAX_RETRIES_NOT_ARRIVED = 2

RETRIES: Registry['RetryPolicy'] = Registry('retries')

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0
_INITIAL_TOKENS = 5.0
_MAX_NAIVE_RETRIES = 3


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """What is known when an attempt has failed.

    Attributes:
        retries_done: Retries already made for this call at this node.
        allowance: What is left of the chain-wide allowance.
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
    """Decide on retries and on what is lent to the calls below."""

    @abc.abstractmethod
    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Tell whether to retry, and count the retry if so."""

    @abc.abstractmethod
    def forwarded_allowance(self, allowance: int) -> int:
        """Return the part of the allowance that goes along with a call."""

    def retry_cost(self, attempt: FailedAttempt) -> int:
        """Return what a retry takes from the allowance."""
        return 1

    def record_request(self, service: str) -> None:
        """Note a call before its first attempt."""

    def record_success(self, service: str) -> None:
        """Note a call that was answered."""


@RETRIES.register('none')
class NoRetries(RetryPolicy):
    """Never retry."""

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Refuse."""
        return False

    def forwarded_allowance(self, allowance: int) -> int:
        """Lend nothing."""
        return 0


@RETRIES.register('naive')
class NaiveRetries(RetryPolicy):
    """Three retries at each hop, with no bound over the chain; a baseline."""

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Allow three."""
        can_retry = attempt.left_ms > 0 and attempt.safe_to_retry
        return can_retry and attempt.retries_done < _MAX_NAIVE_RETRIES

    def forwarded_allowance(self, allowance: int) -> int:
        """Lend all; it is never counted."""
        return allowance


@RETRIES.register('allowance')
class AllowanceRetries(RetryPolicy):
    """Stay inside the chain-wide allowance and a ratio for each service.

    Each answered call earns a part of a retry for its service, so that
    retries fall away when everything fails.
    """

    def __init__(self) -> None:
        """Start with a few retries for each service."""
        self._tokens: dict[str, float] = {}

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Spend a token of the service if all conditions hold."""
        if not attempt.safe_to_retry or attempt.left_ms <= 0:
            return False
        tokens = self._tokens.get(attempt.service, _INITIAL_TOKENS)
        if attempt.allowance < 1 or tokens < 1:
            return False
        self._tokens[attempt.service] = tokens - 1
        return True

    def forwarded_allowance(self, allowance: int) -> int:
        """Keep one for the loss of the link, lend the rest."""
        return max(0, allowance - 1)

    def record_success(self, service: str) -> None:
        """Earn a part of a retry."""
        tokens = self._tokens.get(service, _INITIAL_TOKENS)
        self._tokens[service] = min(_MAX_TOKENS, tokens + _TOKENS_PER_SUCCESS)


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Bound on repeats of a service over the whole fleet.

    Attributes:
        ratio: Part of the requests of a window that may be repeats.
        window_ms: Length of a window.
        slack: Repeats allowed in a window besides the ratio.
    """

    ratio: float
    window_ms: float
    slack: float


class FleetBudgetRetries(RetryPolicy):
    """Share one budget for each service among all nodes.

    Each node spends a part of what its own requests earn, and its part of the
    slack, so the sum stays below the bound without any agreement.  A refusal
    by a peer's admission never reached a target and is free.

    Args:
        budget: Bound over the whole fleet.
        count_nodes: Returns the number of nodes that share the slack.
    """

    def __init__(
        self,
        budget: RetryBudget,
        count_nodes: Callable[[], int],
    ) -> None:
        """Start with nothing spent."""
        self._budget = budget
        self._count_nodes = count_nodes
        self._requests: dict[str, _SlidingWindowCounter] = {}
        self._retries: dict[str, _SlidingWindowCounter] = {}

    def try_acquire(self, attempt: FailedAttempt) -> bool:
        """Spend from the budget if the attempt arrived at a target."""
        if not attempt.safe_to_retry or attempt.left_ms <= 0:
            return False
        if not attempt.arrived:
            return attempt.retries_done < _MAX_RETRIES_NOT_ARRIVED
        if attempt.allowance < 1:
            return False
        retries = self._counter_for(self._retries, attempt.service)
        requests = self._counter_for(self._requests, attempt.service).total()
        slack = self._budget.slack / max(1, self._count_nodes())
        earned_retries = requests * self._budget.ratio
        if retries.total() + 1 > _LOCAL_BUDGET_FRACTION * (
            earned_retries + slack
        ):
            return False
        retries.add()
        return True

    def forwarded_allowance(self, allowance: int) -> int:
        """Lend nothing: targets' own calls have their own budgets."""
        return 0

    def retry_cost(self, attempt: FailedAttempt) -> int:
        """Charge an attempt that arrived at a target."""
        return int(attempt.arrived)

    def record_request(self, service: str) -> None:
        """Earn a part of a repeat."""
        self._counter_for(self._requests, service).add()

    def _counter_for(
        self,
        counts: dict[str, '_SlidingWindowCounter'],
        service: str,
    ) -> '_SlidingWindowCounter':
        return counts.setdefault(
            service,
            _SlidingWindowCounter(self._budget.window_ms),
        )


class _SlidingWindowCounter:
    """Events of the last window, in steps of a part of it."""

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
