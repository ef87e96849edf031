"""Command ``experiment``: compare policies under overload."""

import asyncio
import collections
import dataclasses
import pathlib
import sys
from collections.abc import Mapping, Sequence

import uvloop
from chivelead_protocol import now_ms

from chivelead_standins._internal import measures
from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import Layout, load_layout
from chivelead_standins._internal.load_generator import (
    LoadGenerator,
    RequestStream,
)
from chivelead_standins._internal.plots import Curve, plot_goodput
from chivelead_standins._internal.records import History

_LAYOUT_PATH = pathlib.Path('examples/layouts/association.ini')
_WARMUP_S = 4
_TRIGGER_S = 8
_RECOVERY_S = 8
_MS_PER_S = 1000
_HIGH_IMPORTANCE = 8

# Fields of section [policy] in the settings of all nodes, by policy name.
POLICIES: Mapping[str, Mapping[str, str]] = {
    'no-control': {
        'admission': 'none',
        'queue': 'fifo',
        'routing': 'round-robin',
        'retries': 'naive',
        'rates': 'unlimited',
    },
    'static-split': {'rates': 'static'},
    'chivelead': {},
}


@dataclasses.dataclass(frozen=True)
class Trigger:
    """Cause of a temporary overload.

    Attributes:
        demand: Factor on the demand of all organisations.
        slowdown: Factor on the execution time of the bottleneck, the service
            with the fewest slots.
        noisy_factor: Factor on the demand of the first organisation.
        client_retries: Maximum number of retries by the callers themselves.
    """

    demand: float = 1
    slowdown: float = 1
    noisy_factor: float = 1
    client_retries: int = 0


# Triggers by scenario name.
TRIGGERS: Mapping[str, Trigger] = {
    'demand': Trigger(demand=3),
    'slow': Trigger(slowdown=5),
    'slow-retrying': Trigger(slowdown=5, client_retries=3),
    'slow-demand': Trigger(slowdown=5, demand=3),
    'loud': Trigger(noisy_factor=5),
}


def experiment(
    *scenarios: str,
    layout: pathlib.Path = _LAYOUT_PATH,
    policies: Sequence[str] = (),
    rate_per_s: float = 80,
    seed: int = 21,
    plot: pathlib.Path | None = None,
) -> None:
    """Run scenarios under several policies with the same random seed.

    Example: ``chivelead-standins experiment slow --plot slow.svg``

    Args:
        scenarios: Names such as slow or demand; all by default.
        layout: Layout file.
        policies: Names of the policies; all by default.
        rate_per_s: Normal request rate of all organisations together.
        seed: Random seed of arrival and execution times.
        plot: Plot the goodput over time of the last scenario to an SVG or
            PNG file.
    """
    for scenario in scenarios or tuple(TRIGGERS):
        curves = []
        for policy in policies or tuple(POLICIES):
            run = _ExperimentRun(
                load_layout(layout), TRIGGERS[scenario], rate_per_s
            )
            history, started_ms = uvloop.run(run.execute(policy, seed))
            _print_result(run, f'scenario={scenario} policy={policy}', history)
            curves.append(Curve(policy, history, started_ms))
        if plot is not None:
            phase = (_WARMUP_S, _WARMUP_S + _TRIGGER_S)
            plot_goodput(plot, scenario, curves, phase)


class _ExperimentRun:
    """One scenario under one policy."""

    def __init__(
        self,
        layout: Layout,
        trigger: Trigger,
        rate_per_s: float,
    ) -> None:
        self.layout = layout
        self.trigger = trigger
        self.bottleneck = min(
            layout.target_profiles.values(), key=lambda profile: profile.slots
        )
        self.phase = measures.Phase(0, 0)
        self._rate_per_s = rate_per_s

    async def execute(self, policy: str, seed: int) -> tuple[History, float]:
        """Run the scenario; return the history and the start time in ms."""
        fleet = Fleet(self.layout, {'policy': POLICIES[policy]}, seed)
        load_generator = LoadGenerator(seed)
        try:
            await fleet.start()
            await load_generator.start()
            started_ms = now_ms()
            await self._generate_load(fleet, load_generator)
        finally:
            await fleet.close()
        trigger_ms = started_ms + _WARMUP_S * _MS_PER_S
        self.phase = measures.Phase(
            trigger_ms,
            trigger_ms + _TRIGGER_S * _MS_PER_S,
        )
        executions = [
            execution
            for target in fleet.targets.values()
            for execution in target.executions
        ]
        return History(
            tuple(load_generator.records), tuple(executions)
        ), started_ms

    def achievable_per_s(self) -> float:
        """Return the achievable goodput: the lower of demand and capacity."""
        profile = self.bottleneck
        instances = sum(
            node.service == profile.service for node in self.layout.nodes
        )
        time_s = profile.service_ms * self.trigger.slowdown / _MS_PER_S
        capacity_per_s = profile.slots * instances / time_s
        noisy_organisation = self.layout.organisations[0]
        total_rate_per_s = sum(
            plan.rate_per_s for plan in self.layout.organisations
        )
        noisy_excess = (
            (self.trigger.noisy_factor - 1)
            * noisy_organisation.rate_per_s
            / total_rate_per_s
        )
        demand_per_s = (
            self._rate_per_s * self.trigger.demand * (1 + noisy_excess)
        )
        return min(capacity_per_s, demand_per_s)

    async def _generate_load(
        self, fleet: Fleet, load_generator: LoadGenerator
    ) -> None:
        total_s = _WARMUP_S + _TRIGGER_S + _RECOVERY_S
        traffic = asyncio.create_task(
            load_generator.run(self._streams(), total_s, self._rate_factor),
        )
        await asyncio.sleep(_WARMUP_S)
        self._slow_down(fleet, self.trigger.slowdown)
        await asyncio.sleep(_TRIGGER_S)
        self._slow_down(fleet, 1)
        await traffic
        await load_generator.close()

    def _slow_down(self, fleet: Fleet, factor: float) -> None:
        for target in fleet.targets.values():
            if target.profile.service == self.bottleneck.service:
                target.profile.slowdown = factor

    def _rate_factor(self, stream: RequestStream, due_s: float) -> float:
        if not _WARMUP_S <= due_s < _WARMUP_S + _TRIGGER_S:
            return 1
        noisy_organisation = self.layout.organisations[0].name
        noisy_factor = (
            self.trigger.noisy_factor
            if stream.organisation == noisy_organisation
            else 1
        )
        return self.trigger.demand * noisy_factor

    def _streams(self) -> list[RequestStream]:
        return organisation_streams(
            self.layout,
            self._rate_per_s,
            self.trigger.client_retries,
        )


def organisation_streams(
    layout: Layout,
    rate_per_s: float,
    client_retries: int = 0,
) -> list[RequestStream]:
    """Return streams of lookups and bookings of all organisations.

    The request rates of organisations are in proportion to their rate limits.
    """
    total_rate_per_s = sum(plan.rate_per_s for plan in layout.organisations)
    streams: list[RequestStream] = []
    for plan in layout.organisations:
        organisation_rate_per_s = (
            rate_per_s * plan.rate_per_s / total_rate_per_s
        )
        streams.extend(
            RequestStream(
                organisation=plan.name,
                key=plan.key,
                service='orders',
                method=method,
                path=path,
                importance=importance,
                rate_per_s=organisation_rate_per_s * weight,
                timeout_ms=1000,
                entry_urls=layout.entry_urls(),
                client_retries=client_retries,
                use_idempotency_key=method == 'POST',
            )
            for method, path, importance, weight in (
                ('GET', '/lookup', 3, 0.8),
                ('POST', '/confirm', _HIGH_IMPORTANCE, 0.2),
            )
        )
    return streams


def _print_result(run: _ExperimentRun, labels: str, history: History) -> None:
    calls = run.phase.calls(history)
    goodput = measures.goodput_per_s(history, run.phase)
    ratios = measures.success_ratios(calls)
    worst = min(ratios, key=lambda name: ratios[name])
    recovery = measures.recovery_ms(history.calls, run.phase.end_ms)
    reasons = collections.Counter(call.reason for call in calls if call.reason)
    sys.stdout.write(
        f'{labels} goodput_per_s={goodput:.1f} '
        f'of_due={goodput / run.achievable_per_s():.2f} '
        f'recovery_ms={recovery:.0f} '
        'important='
        f'{measures.importance_success_ratio(calls, _HIGH_IMPORTANCE):.3f} '
        f'worst={worst}:{ratios[worst]:.2f} '
        f'wasted={measures.wasted_time_ratio(history):.2f} '
        'deep_runs='
        f'{measures.executions_per_call(history, run.bottleneck.service):.2f} '
        f'refused_by_rate={reasons["rate"]}\n',
    )
    sys.stdout.flush()
