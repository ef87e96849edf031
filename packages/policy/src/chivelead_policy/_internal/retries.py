"""When a failed attempt may be followed by another one."""

import abc
import collections
import dataclasses
from collections.abc import Callable

from chivelead_protocol import loop_ms

from chivelead_policy._internal.registry import Registry

# Calls below a repeated call are repeats as well, at services that this node
# does not see; half of the budget is left for them.
_BUDGET_PART = 0.5
_WINDOW_STEPS = 20
# Nodes that are asked after the first one has refused; more would only add
# load where all are full.
_OTHERS_ASKED_MOST = 2

RETRIES: Registry['RetryPolicy'] = Registry('retries')

_RATIO = 0.1
_TOKENS_MOST = 20.0
_TOKENS_FIRST = 5.0
_NAIVE_RETRIES = 3


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """What is known when an attempt has failed.

    Attributes:
        retries_done: Retries already made for this call at this node.
        allowance: What is left of the chain-wide allowance.
        may_repeat: The attempt did not run, or the call is idempotent.
        left_ms: Time left until the deadline.
        arrived: The attempt reached the target, which may have refused it.
    """

    service: str
    retries_done: int
    allowance: int
    may_repeat: bool
    left_ms: float
    arrived: bool = True


class RetryPolicy(abc.ABC):
    """Decide on retries and on what is lent to the calls below."""

    @abc.abstractmethod
    def allows(self, attempt: FailedAttempt) -> bool:
        """Tell whether to retry, and count the retry if so."""

    @abc.abstractmethod
    def lend(self, allowance: int) -> int:
        """Return the part of the allowance that goes along with a call."""

    def cost(self, attempt: FailedAttempt) -> int:
        """Return what a retry takes from the allowance."""
        return 1

    def requested(self, service: str) -> None:
        """Note a call before its first attempt."""

    def succeeded(self, service: str) -> None:
        """Note a call that was answered."""


@RETRIES.register('none')
class NoRetries(RetryPolicy):
    """Never retry."""

    def allows(self, attempt: FailedAttempt) -> bool:
        """Refuse."""
        return False

    def lend(self, allowance: int) -> int:
        """Lend nothing."""
        return 0


@RETRIES.register('naive')
class NaiveRetries(RetryPolicy):
    """Three retries at each hop, with no bound over the chain; a baseline."""

    def allows(self, attempt: FailedAttempt) -> bool:
        """Allow three."""
        in_time = attempt.left_ms > 0 and attempt.may_repeat
        return in_time and attempt.retries_done < _NAIVE_RETRIES

    def lend(self, allowance: int) -> int:
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

    def allows(self, attempt: FailedAttempt) -> bool:
        """Spend a token of the service if all conditions hold."""
        if not attempt.may_repeat or attempt.left_ms <= 0:
            return False
        tokens = self._tokens.get(attempt.service, _TOKENS_FIRST)
        if attempt.allowance < 1 or tokens < 1:
            return False
        self._tokens[attempt.service] = tokens - 1
        return True

    def lend(self, allowance: int) -> int:
        """Keep one for the loss of the link, lend the rest."""
        return max(0, allowance - 1)

    def succeeded(self, service: str) -> None:
        """Earn a part of a retry."""
        tokens = self._tokens.get(service, _TOKENS_FIRST)
        self._tokens[service] = min(_TOKENS_MOST, tokens + _RATIO)


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
        self._asked: dict[str, _WindowCount] = {}
        self._spent: dict[str, _WindowCount] = {}

    def allows(self, attempt: FailedAttempt) -> bool:
        """Spend from the budget if the attempt arrived at a target."""
        if not attempt.may_repeat or attempt.left_ms <= 0:
            return False
        if not attempt.arrived:
            return attempt.retries_done < _OTHERS_ASKED_MOST
        if attempt.allowance < 1:
            return False
        spent = self._count(self._spent, attempt.service)
        asked = self._count(self._asked, attempt.service).total()
        slack = self._budget.slack / max(1, self._count_nodes())
        earned = asked * self._budget.ratio
        if spent.total() + 1 > _BUDGET_PART * (earned + slack):
            return False
        spent.add()
        return True

    def lend(self, allowance: int) -> int:
        """Lend nothing: targets' own calls have their own budgets."""
        return 0

    def cost(self, attempt: FailedAttempt) -> int:
        """Charge an attempt that arrived at a target."""
        return int(attempt.arrived)

    def requested(self, service: str) -> None:
        """Earn a part of a repeat."""
        self._count(self._asked, service).add()

    def _count(
        self,
        counts: dict[str, '_WindowCount'],
        service: str,
    ) -> '_WindowCount':
        return counts.setdefault(
            service,
            _WindowCount(self._budget.window_ms),
        )


class _WindowCount:
    """Events of the last window, in steps of a part of it."""

    def __init__(self, window_ms: float) -> None:
        self._step_ms = window_ms / _WINDOW_STEPS
        self._steps: collections.deque[list[float]] = collections.deque()
        self._sum = 0

    def add(self) -> None:
        number = loop_ms() // self._step_ms
        if not self._steps or self._steps[-1][0] < number:
            self._steps.append([number, 0])
        self._steps[-1][1] += 1
        self._sum += 1

    def total(self) -> int:
        oldest = loop_ms() // self._step_ms - _WINDOW_STEPS
        while self._steps and self._steps[0][0] < oldest:
            self._sum -= int(self._steps.popleft()[1])
        return self._sum
