"""Command ``demo``: a fleet under overload and during a store outage."""

import asyncio
import collections
import pathlib
import sys

import uvloop
from chivelead_protocol import now_ms

from chivelead_standins._internal import checkers
from chivelead_standins._internal.commands.experiment import (
    organisation_streams,
)
from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import Layout, load_layout
from chivelead_standins._internal.load_generator import (
    LoadGenerator,
    RequestStream,
)
from chivelead_standins._internal.measures import recovery_ms
from chivelead_standins._internal.records import CallRecord, History
from chivelead_standins._internal.store_server import StoreFaults

_LAYOUT_PATH = pathlib.Path('examples/layouts/association.ini')
_WARMUP_S = 3
_PHASE_S = 5
_SURGE_FACTOR = 3
_SLOWDOWN_FACTOR = 5
_OK = 200
_MS_PER_S = 1000


def demo(
    *,
    layout: pathlib.Path = _LAYOUT_PATH,
    rate_per_s: float = 60,
    seed: int = 5,
) -> None:
    """Run a fleet under changing load and print a report.

    Traffic is normal at first, then three times as high while the service
    with the fewest slots is slow, then normal again, and finally the store
    is down.

    Args:
        layout: Layout file.
        rate_per_s: Normal request rate of all organisations together.
        seed: Random seed of arrival and execution times.
    """
    uvloop.run(_run(load_layout(layout), rate_per_s, seed))


async def _run(layout: Layout, rate_per_s: float, seed: int) -> None:
    fleet = Fleet(layout, seed=seed)
    load_generator = LoadGenerator(seed)
    _print_line(
        f'starting {len(layout.nodes)} nodes, store, targets and callers'
    )
    try:
        await fleet.start()
        await load_generator.start()
        started_ms = now_ms()
        await _generate_load(fleet, load_generator, rate_per_s)
        executions = tuple(
            execution
            for target in fleet.targets.values()
            for execution in target.executions
        )
        _report(
            layout,
            History(tuple(load_generator.records), executions),
            started_ms,
        )
    finally:
        await fleet.close()


async def _generate_load(
    fleet: Fleet, load_generator: LoadGenerator, rate_per_s: float
) -> None:
    _print_line('ready; sending normal traffic')
    streams = organisation_streams(fleet.layout, rate_per_s)
    traffic = asyncio.create_task(
        load_generator.run(streams, _WARMUP_S + 3 * _PHASE_S, _rate_factor),
    )
    await asyncio.sleep(_WARMUP_S)
    bottleneck = min(
        fleet.layout.target_profiles.values(), key=lambda profile: profile.slots
    )
    _print_line(
        f'overload: {_SURGE_FACTOR} times the traffic for {_PHASE_S} s, '
        f'{bottleneck.service} is {_SLOWDOWN_FACTOR} times slower',
    )
    _slow_down(fleet, bottleneck.service, _SLOWDOWN_FACTOR)
    await asyncio.sleep(_PHASE_S)
    _print_line('normal traffic again')
    _slow_down(fleet, bottleneck.service, 1)
    await asyncio.sleep(_PHASE_S)
    _print_line('the store is down from now on')
    fleet.store_server.faults = StoreFaults(down=True)
    await traffic
    await load_generator.close()


def _slow_down(fleet: Fleet, service: str, factor: float) -> None:
    for target in fleet.targets.values():
        if target.profile.service == service:
            target.profile.slowdown = factor


def _rate_factor(_: RequestStream, due_s: float) -> float:
    return _SURGE_FACTOR if _WARMUP_S <= due_s < _WARMUP_S + _PHASE_S else 1


def _report(layout: Layout, history: History, started_ms: float) -> None:
    by_organisation = collections.defaultdict(list)
    for call in history.calls:
        by_organisation[call.organisation].append(call)
    _print_line('organisation   sent served valid refused_rate overload other')
    served_ratios = {
        name: _report_organisation(name, calls)
        for name, calls in sorted(by_organisation.items())
    }
    worst = min(served_ratios, key=lambda name: served_ratios[name])
    span_s = (history.calls[-1].ended_ms - started_ms) / _MS_PER_S
    goodput = sum(call.valid for call in history.calls) / span_s
    surge_end_ms = started_ms + (_WARMUP_S + _PHASE_S) * _MS_PER_S
    refused = sum(call.reason == 'rate' for call in history.calls)
    _print_line(
        f'goodput_per_s={goodput:.1f} '
        f'recovery_ms={recovery_ms(history.calls, surge_end_ms):.0f} '
        f'worst_organisation={worst} worst_served={served_ratios[worst]:.3f} '
        f'refused_by_rate={refused} '
        f'duplicates={len(checkers.check_idempotency(history))} '
        f'over_admission={_over_admission(layout, history)}',
    )


def _report_organisation(name: str, calls: list[CallRecord]) -> float:
    """Print the results of an organisation; return the ratio served."""
    served = sum(call.status == _OK for call in calls)
    valid = sum(call.valid for call in calls)
    rate = sum(call.reason == 'rate' for call in calls)
    overload = sum(call.reason == 'overload' for call in calls)
    other = len(calls) - served - rate - overload
    _print_line(
        f'{name:12} {len(calls):6} {served:6} {valid:5} '
        f'{rate:12} {overload:8} {other:5}',
    )
    return served / len(calls)


def _over_admission(layout: Layout, history: History) -> int:
    """Return the number of time windows that exceed rate and burst."""
    return sum(
        len(
            checkers.check_rate(
                history,
                plan.name,
                checkers.RateLimit(plan.rate_per_s, plan.burst_requests),
            ),
        )
        for plan in layout.organisations
    )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
