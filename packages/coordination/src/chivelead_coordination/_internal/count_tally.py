"""Sum of request counters whose sources come and go.

A source reports how many requests it has counted since it started.  The tally
adds only the increments, so its own sums never decrease, whichever sources
join, restart or leave.  When a source falls silent, its counters are assumed to
have grown as before until that is noticed.  From then on, the users of the sums
have to allow for it, so what it counts meanwhile is never added.
"""

import collections
import dataclasses
import math

from chivelead_protocol import CountReport, RequestCounts, loop_ms

_MS_PER_S = 1000
# A source is silent after this time, which is longer than the longest interval
# between two reports.
SILENT_AFTER_MS = 1800.0
# Counters that changed within this time are included in each report, so that
# several reports may be lost.
_RECENT_MS = 3000.0
# Time constant of the averages of rates; two reports may follow at once.
_RATE_TIME_CONSTANT_MS = 1500.0


@dataclasses.dataclass
class _Counter:
    """Counter of one source.

    Attributes:
        requested: Last reported number of requests.
        admitted: Last reported number of admitted requests.
        requested_per_s: Average rate of requests.
        admitted_per_s: Average rate of admissions.
    """

    requested: int = 0
    admitted: int = 0
    requested_per_s: float = 0
    admitted_per_s: float = 0

    def rebase(self, counts: RequestCounts) -> None:
        """Continue from reported counts without adding the increments."""
        self.requested = counts.requested
        self.admitted = counts.admitted


@dataclasses.dataclass
class _Source:
    """One source of reports.

    Attributes:
        boot_id: Start of the process of the source.
        reported_ms: Time of its last report.
        is_silent: Whether its last report is too old.
    """

    boot_id: str
    reported_ms: float
    is_silent: bool = False
    counters: dict[str, _Counter] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class _Total:
    """Sum over one or all sources for one organisation."""

    requested: float = 0
    admitted: float = 0
    changed_ms: float = 0


class CountTally:
    """Monotonic sum of the counters of several sources."""

    def __init__(self) -> None:
        """Create a tally without sources."""
        self._sources: dict[str, _Source] = {}
        self._totals: dict[str, _Total] = {}
        # What was added for each source; kept when a source is forgotten, since
        # it stays in the totals.
        self._added: dict[str, dict[str, _Total]] = collections.defaultdict(
            dict
        )

    def apply(self, source: str, boot_id: str, report: CountReport) -> None:
        """Add the increments since the last report of a source.

        The first report of a source is only added if it says that it is
        complete: for others, the earlier counts are unknown.

        Args:
            source: Name of the source.
            boot_id: Start of its process; a new one resets its counters.
            report: Its counters.
        """
        known = self._sources.get(source)
        time_ms = loop_ms()
        if known is None or known.boot_id != boot_id:
            if report.is_full:
                self._add_source(source, boot_id, report)
            return
        elapsed_ms = max(1.0, time_ms - known.reported_ms)
        was_silent = known.is_silent
        known.reported_ms = time_ms
        known.is_silent = False
        for counts in report.counts:
            counter = known.counters.get(counts.organisation)
            if counter is None:
                counter = _Counter()
                known.counters[counts.organisation] = counter
            if was_silent:
                counter.rebase(counts)
            else:
                self._add_increment(source, counter, counts, elapsed_ms)

    def forget(self, source: str) -> None:
        """Remove a source; what it has added stays in the sums."""
        self._sources.pop(source, None)

    def is_known(self, source: str, boot_id: str) -> bool:
        """Return whether a source has reported since its start."""
        known = self._sources.get(source)
        return known is not None and known.boot_id == boot_id

    def note_silent_sources(self) -> None:
        """Add what silent sources are assumed to have counted until now."""
        time_ms = loop_ms()
        for source, known in self._sources.items():
            elapsed_ms = time_ms - known.reported_ms
            if known.is_silent or elapsed_ms < SILENT_AFTER_MS:
                continue
            known.is_silent = True
            elapsed_s = elapsed_ms / _MS_PER_S
            for organisation, counter in known.counters.items():
                self._add(
                    source,
                    organisation,
                    counter.requested_per_s * elapsed_s,
                    counter.admitted_per_s * elapsed_s,
                )

    def report(self, receiver: str = '', *, is_full: bool) -> CountReport:
        """Return the sums over all sources but the receiver.

        Args:
            receiver: Source whose own counters are left out.
            is_full: Whether to include counters without recent changes.
        """
        oldest_ms = loop_ms() - _RECENT_MS
        added = self._added.get(receiver, {})
        counts = []
        for organisation, total in self._totals.items():
            if not is_full and total.changed_ms < oldest_ms:
                continue
            requested, admitted = total.requested, total.admitted
            own = added.get(organisation)
            if own is not None:
                requested -= own.requested
                admitted -= own.admitted
            counts.append(
                RequestCounts(organisation, round(requested), round(admitted))
            )
        return CountReport(is_full, tuple(counts))

    def _add_source(
        self, source: str, boot_id: str, report: CountReport
    ) -> None:
        time_ms = loop_ms()
        added = _Source(boot_id, time_ms)
        added.counters = {
            counts.organisation: _Counter(counts.requested, counts.admitted)
            for counts in report.counts
        }
        self._sources[source] = added

    def _add_increment(
        self,
        source: str,
        counter: _Counter,
        counts: RequestCounts,
        elapsed_ms: float,
    ) -> None:
        requested = max(0, counts.requested - counter.requested)
        admitted = max(0, counts.admitted - counter.admitted)
        counter.rebase(counts)
        weight = 1 - math.exp(-elapsed_ms / _RATE_TIME_CONSTANT_MS)
        per_s = _MS_PER_S / elapsed_ms
        counter.requested_per_s += weight * (
            requested * per_s - counter.requested_per_s
        )
        counter.admitted_per_s += weight * (
            admitted * per_s - counter.admitted_per_s
        )
        self._add(source, counts.organisation, requested, admitted)

    def _add(
        self,
        source: str,
        organisation: str,
        requested: float,
        admitted: float,
    ) -> None:
        if requested <= 0 and admitted <= 0:
            return
        for totals in (self._totals, self._added[source]):
            total = totals.setdefault(organisation, _Total())
            total.requested += requested
            total.admitted += admitted
            total.changed_ms = loop_ms()
