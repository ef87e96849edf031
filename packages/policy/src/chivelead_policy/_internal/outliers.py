"""Ejection of targets that fail, never of a majority."""

import dataclasses
from collections.abc import Sequence

from chivelead_protocol import loop_ms

_FAILURES_TO_EJECT = 3
_EJECT_MS = 1000
_EJECT_MOST_MS = 10_000


@dataclasses.dataclass
class _Record:
    failures: int = 0
    ejections: int = 0
    until_ms: float = 0


class OutlierDetector:
    """Count failures in a row and keep failing targets out for a time."""

    def __init__(self) -> None:
        """Start with no failures known."""
        self._records: dict[str, _Record] = {}

    def succeeded(self, vm: str) -> None:
        """Forget the failures of a target that answered."""
        self._records.pop(vm, None)

    def failed(self, vm: str) -> None:
        """Count a failure; several in a row eject the target."""
        record = self._records.setdefault(vm, _Record())
        record.failures += 1
        if record.failures >= _FAILURES_TO_EJECT:
            record.failures = _FAILURES_TO_EJECT - 1
            backoff_ms = _EJECT_MS * 2**record.ejections
            record.until_ms = loop_ms() + min(_EJECT_MOST_MS, backoff_ms)
            record.ejections += 1

    def keep(self, vms: Sequence[str]) -> list[str]:
        """Return the targets in use; at most half are left out."""
        time_ms = loop_ms()
        kept = [vm for vm in vms if self._until_ms(vm) <= time_ms]
        if len(kept) * 2 >= len(vms):
            return kept
        by_end = sorted(vms, key=self._until_ms)
        return by_end[: (len(vms) + 1) // 2]

    def _until_ms(self, vm: str) -> float:
        record = self._records.get(vm)
        return record.until_ms if record else 0
