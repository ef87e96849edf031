"""When a failed attempt may be followed by another one."""

import abc
import dataclasses

from chivelead_policy._internal.registry import Registry

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
    """

    service: str
    retries_done: int
    allowance: int
    may_repeat: bool
    left_ms: float


class RetryPolicy(abc.ABC):
    """Decide on retries and on what is lent to the calls below."""

    @abc.abstractmethod
    def allows(self, attempt: FailedAttempt) -> bool:
        """Tell whether to retry, and count the retry if so."""

    @abc.abstractmethod
    def lend(self, allowance: int) -> int:
        """Return the part of the allowance that goes along with a call."""

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
