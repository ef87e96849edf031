"""Temporary ejection of failing targets, at most half of them."""

import dataclasses
from collections.abc import Sequence

from chivelead_protocol import loop_ms

_FAILURES_BEFORE_EJECTION = 3
_BASE_EJECTION_MS = 1000
_MAX_EJECTION_MS = 10_000


@dataclasses.dataclass
class _TargetRecord:
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0


class OutlierDetector:
    """Eject targets after consecutive failures, with exponential backoff."""

    def __init__(self) -> None:
        """Start without any recorded failure."""
        self._records: dict[str, _TargetRecord] = {}

    def record_success(self, vm: str) -> None:
        """Reset the failure count and the backoff of a target."""
        self._records.pop(vm, None)

    def record_failure(self, vm: str) -> None:
        """Count a failure and eject the target after several in a row."""
        record = self._records.setdefault(vm, _TargetRecord())
        record.consecutive_failures += 1
        if record.consecutive_failures >= _FAILURES_BEFORE_EJECTION:
            # After the ejection, a single failure ejects the target again.
            record.consecutive_failures = _FAILURES_BEFORE_EJECTION - 1
            backoff_ms = _BASE_EJECTION_MS * 2**record.ejections
            record.ejected_until_ms = loop_ms() + min(
                _MAX_EJECTION_MS, backoff_ms
            )
            record.ejections += 1

    def without_ejected(self, vms: Sequence[str]) -> list[str]:
        """Return the targets that are not ejected, but at least half of them.

        If more than half are ejected, those whose ejection ends first are
        returned.
        """
        current_ms = loop_ms()
        available = [
            vm for vm in vms if self._ejected_until_ms(vm) <= current_ms
        ]
        if len(available) * 2 >= len(vms):
            return available
        by_ejection_end = sorted(vms, key=self._ejected_until_ms)
        return by_ejection_end[: (len(vms) + 1) // 2]

    def _ejected_until_ms(self, vm: str) -> float:
        record = self._records.get(vm)
        return record.ejected_until_ms if record else 0
