"""Failure scenarios on a fleet of node processes, with their checks."""

import asyncio
import configparser
import dataclasses
import signal
from collections.abc import Awaitable, Callable

from chivelead_cli import (
    apply_edit,
    gather_timeline,
    read_documents,
    view_fleet,
    withdraw_key,
)
from chivelead_coordination import HttpStore
from chivelead_protocol import ChiveleadError, now_ms, stamp_ms

from chivelead_standins._internal import checkers
from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import Layout, plan_layout
from chivelead_standins._internal.load_generator import (
    LoadGenerator,
    RequestStream,
)
from chivelead_standins._internal.records import History
from chivelead_standins._internal.scenario_layouts import (
    chain_layout,
    small_layout,
)
from chivelead_standins._internal.store_server import StoreFaults

FLEET_SECRET = 'stand-in-secret'  # noqa: S105
_STORE_TIMEOUT_MS = 2000
_WITHDRAW_GRACE_MS = 5000
_DRAIN_GRACE_MS = 3000
_CONFIG_TIMEOUT_S = 9


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of checking one promise in one scenario.

    Attributes:
        promise: Name of the promise; see ``checkers``.
        checked: Number of records or decisions that were checked.
        violations: One line for each violation.
        figures: Other measurements, as ``name=value`` pairs.
    """

    promise: str
    checked: int
    violations: tuple[str, ...]
    figures: str = ''


Scenario = Callable[[Fleet, LoadGenerator, int], Awaitable[list[CheckResult]]]
_LayoutFactory = Callable[[], configparser.ConfigParser]


@dataclasses.dataclass(frozen=True)
class RegisteredScenario:
    """A scenario with its layout and the node settings of its baseline.

    The baseline is a run with the tested mechanism turned off, in which the
    checks are expected to find violations.
    """

    scenario: Scenario
    layout: _LayoutFactory
    baseline: dict[str, dict[str, str]]


SCENARIOS: dict[str, RegisteredScenario] = {}


def register_scenario(
    name: str,
    layout: _LayoutFactory = small_layout,
    **baseline: dict[str, str],
) -> Callable[[Scenario], Scenario]:
    """Register a scenario.

    Args:
        name: Name of the scenario.
        layout: Returns the layout of the fleet.
        baseline: Node settings by section that turn the tested mechanism off.
    """

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = RegisteredScenario(function, layout, dict(baseline))
        return function

    return register


def build_stream(
    layout: Layout,
    organisation: str,
    service_path: str,
    rate_per_s: float,
    **changes: object,
) -> RequestStream:
    """Return a stream to ``service/path`` that is sent to all nodes in turn."""
    service, _, path = service_path.partition('/')
    method = 'POST' if path == 'book' else 'GET'
    base = RequestStream(
        organisation=organisation,
        key=layout.organisation(organisation).key,
        service=service,
        method=method,
        path=f'/{path}',
        importance=2 if path == 'low' else 8,
        rate_per_s=rate_per_s,
        timeout_ms=1000,
        entry_urls=layout.entry_urls(),
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


def collect_history(fleet: Fleet, load_generator: LoadGenerator) -> History:
    """Return the records of all callers and targets."""
    executions = [
        execution
        for target in fleet.targets.values()
        for execution in target.executions
    ]
    return History(tuple(load_generator.records), tuple(executions))


def check_history(history: History) -> list[CheckResult]:
    """Run the registered checkers, which take only the history."""
    return [
        CheckResult(promise, len(history.calls), tuple(check(history)))
        for promise, check in checkers.CHECKERS.items()
    ]


@register_scenario('retries', chain_layout, policy={'retries': 'naive'})
async def run_retries(
    fleet: Fleet, load_generator: LoadGenerator, _: int
) -> list[CheckResult]:
    """The last service of a chain fails, so all do; callers retry as well."""
    for target in fleet.targets.values():
        target.profile.abort_on_failure = True
        if target.profile.service == 'five':
            target.profile.fail_all = True
    streams = [
        build_stream(fleet.layout, 'yard', 'one/low', 15, client_retries=2),
    ]
    await load_generator.run(streams, 6)
    await load_generator.close()
    history = collect_history(fleet, load_generator)
    attempts = len(
        [execution for execution in history.executions if execution.trace_id]
    )
    chain = ('one', 'two', 'three', 'four', 'five')
    violations = checkers.check_retries(history, chain, 3)
    figures = f'attempts_per_request={attempts / len(history.calls):.2f}'
    return [
        CheckResult(
            'retries-bounded', len(history.calls), tuple(violations), figures
        ),
    ]


@register_scenario('importance', policy={'queue': 'fifo'})
async def run_importance(
    fleet: Fleet,
    load_generator: LoadGenerator,
    _: int,
) -> list[CheckResult]:
    """Demand of two importance levels exceeds the capacity of stock."""
    streams = [
        build_stream(fleet.layout, 'yard', 'stock/low', 160, timeout_ms=400),
        build_stream(fleet.layout, 'yard', 'stock/high', 60, timeout_ms=400),
    ]
    for target in fleet.targets.values():
        target.profile.slowdown = 5
    await load_generator.run(streams, 6)
    await load_generator.close()
    history = collect_history(fleet, load_generator)
    decisions = await _read_decisions(fleet)
    violations = checkers.check_importance(decisions)
    rejected = sum(not decision.admitted for decision in decisions)
    return [
        CheckResult(
            'important-shed-last',
            len(decisions),
            tuple(violations),
            f'refused_at_targets={rejected}',
        ),
        *check_history(history),
    ]


@register_scenario('rates', policy={'rates': 'unlimited'})
async def run_rates(
    fleet: Fleet, load_generator: LoadGenerator, _: int
) -> list[CheckResult]:
    """An organisation sends at five times its rate limit during faults."""
    layout = fleet.layout
    traffic = asyncio.create_task(
        load_generator.run(
            [build_stream(layout, 'mill', 'orders/low', 300)], 16
        ),
    )
    await asyncio.sleep(3)
    paused_vm = layout.nodes[0].vm
    fleet.send_signal(paused_vm, signal.SIGSTOP)
    await asyncio.sleep(4)
    fleet.send_signal(paused_vm, signal.SIGCONT)
    await asyncio.sleep(1)
    fleet.store_server.faults = StoreFaults(down=True)
    await fleet.kill(layout.nodes[1].vm)
    await fleet.start_node(layout.nodes[1].vm)
    await asyncio.sleep(4)
    fleet.store_server.faults = StoreFaults()
    await traffic
    await load_generator.close()
    history = collect_history(fleet, load_generator)
    plan = layout.organisation('mill')
    limit = checkers.RateLimit(plan.rate_per_s, plan.burst_requests)
    violations = checkers.check_rate(history, 'mill', limit)
    excess = checkers.max_excess(history, 'mill', limit)
    served = sum(call.status == 200 for call in history.calls)
    return [
        CheckResult(
            'rate-and-burst',
            len(history.calls),
            tuple(violations),
            f'served={served} worst_excess={excess:.1f}',
        ),
        *check_history(history),
    ]


@register_scenario('keys')
async def run_keys(
    fleet: Fleet, load_generator: LoadGenerator, _: int
) -> list[CheckResult]:
    """A key in use is withdrawn while watches of the store report nothing."""
    fleet.store_server.faults = StoreFaults(silent_watches=True)
    traffic = asyncio.create_task(
        load_generator.run(
            [build_stream(fleet.layout, 'mill', 'orders/low', 30)], 12
        ),
    )
    await asyncio.sleep(3)
    store = await _open_store(fleet)
    base = await read_documents(store)
    document_text = withdraw_key(base.texts['organisation/mill'], 'first')
    await apply_edit(
        store, {'organisation/mill': document_text}, 'prover', '', base
    )
    withdrawn_ms = now_ms()
    await traffic
    await load_generator.close()
    await store.close()
    history = collect_history(fleet, load_generator)
    violations = checkers.check_withdrawn_key(
        history.calls,
        withdrawn_ms,
        _WITHDRAW_GRACE_MS,
    )
    last_ms = max(
        (call.sent_ms for call in history.calls if call.status == 200),
        default=0,
    )
    return [
        CheckResult(
            'withdrawn-key-stops',
            len(history.calls),
            tuple(violations),
            f'last_served_after_ms={last_ms - withdrawn_ms:.0f}',
        ),
        *check_history(history),
    ]


@register_scenario('bookings')
async def run_bookings(
    fleet: Fleet, load_generator: LoadGenerator, _: int
) -> list[CheckResult]:
    """Requests with idempotency keys are retried while nodes crash or pause."""
    layout = fleet.layout
    streams = [
        build_stream(
            layout,
            'yard',
            'orders/book',
            40,
            client_retries=4,
            use_idempotency_key=True,
            body=b'cue 7',
        ),
    ]
    traffic = asyncio.create_task(load_generator.run(streams, 18))
    first, second = (node.vm for node in layout.nodes[:2])
    await asyncio.sleep(3)
    await fleet.kill(first)
    await fleet.start_node(first)
    await asyncio.sleep(4)
    fleet.send_signal(second, signal.SIGSTOP)
    await asyncio.sleep(4)
    fleet.send_signal(second, signal.SIGCONT)
    fleet.store_server.faults = StoreFaults(down=True)
    await asyncio.sleep(2)
    await fleet.kill(layout.nodes[2].vm)
    await fleet.start_node(layout.nodes[2].vm)
    fleet.store_server.faults = StoreFaults()
    await traffic
    await load_generator.close()
    history = collect_history(fleet, load_generator)
    unknown = sum(call.outcome == 'unknown' for call in history.calls)
    unanswered = sum(call.status == 0 for call in history.calls)
    figures = f'unknown={unknown} no_answer={unanswered}'
    return [
        dataclasses.replace(result, figures=figures)
        for result in check_history(history)
    ]


@register_scenario('leaving')
async def run_leaving(
    fleet: Fleet, load_generator: LoadGenerator, _: int
) -> list[CheckResult]:
    """A target drains and its node restarts while the store is down.

    Later another node shuts down gracefully.
    """
    layout = fleet.layout
    streams = [
        build_stream(layout, 'yard', 'orders/low', 40),
        build_stream(layout, 'yard', 'stock/low', 20),
    ]
    traffic = asyncio.create_task(load_generator.run(streams, 14))
    await asyncio.sleep(2)
    fleet.store_server.faults = StoreFaults(down=True)
    leaving_target = fleet.targets['orders-1']
    drain_started_ms = now_ms()
    await leaving_target.drain()
    await asyncio.sleep(1)
    await fleet.kill('orders-1')
    await fleet.start_node('orders-1')
    await asyncio.sleep(4)
    fleet.store_server.faults = StoreFaults()
    calls_before = len(load_generator.records)
    status = await fleet.terminate('stock-1')
    await traffic
    await load_generator.close()
    history = collect_history(fleet, load_generator)
    violations = checkers.check_draining(
        history,
        'orders-1',
        drain_started_ms,
        _DRAIN_GRACE_MS,
    )
    interrupted = [
        call.trace_id
        for call in load_generator.records[calls_before:]
        if call.outcome == 'unknown'
    ]
    return [
        CheckResult(
            'leaving-target', len(history.executions), tuple(violations)
        ),
        CheckResult(
            'graceful-shutdown',
            len(load_generator.records) - calls_before,
            tuple(f'{trace_id} was interrupted' for trace_id in interrupted),
            f'exit_status={status}',
        ),
        *check_history(history),
    ]


@register_scenario('configuration')
async def run_configuration(
    fleet: Fleet,
    load_generator: LoadGenerator,
    _: int,
) -> list[CheckResult]:
    """Edits conflict, writes are not acknowledged, and a node restarts.

    The restarted node must load the latest documents while the store is down.
    """
    await load_generator.close()
    store = await _open_store(fleet)
    accepted: list[int] = []
    violations: list[str] = []
    for round_number in range(4):
        base = await read_documents(store)
        if round_number == 2:
            fleet.store_server.faults = StoreFaults(lose_writes=2)
        results = await asyncio.gather(
            *(
                apply_edit(
                    store,
                    {
                        'service/orders': _edit_service(
                            base.texts, round_number, operator
                        )
                    },
                    f'operator-{operator}',
                    '',
                    base,
                )
                for operator in range(3)
            ),
            return_exceptions=True,
        )
        accepted_edits = [
            edit for edit in results if not isinstance(edit, Exception)
        ]
        if len(accepted_edits) != 1:
            violations.append(
                f'{len(accepted_edits)} of 3 concurrent edits were accepted'
            )
        for edit in accepted_edits:
            accepted.append(edit.version)  # type: ignore[union-attr]
    started_ms = now_ms()
    await _wait_for_version(fleet, max(accepted))
    propagation_ms = now_ms() - started_ms
    fleet.store_server.faults = StoreFaults(down=True)
    await fleet.kill('orders-1')
    await fleet.start_node('orders-1')
    await asyncio.sleep(8)
    versions = await _read_versions(fleet)
    fleet.store_server.faults = StoreFaults()
    await store.close()
    if min(versions) < max(accepted):
        violations.append(f'versions in force after the restart: {versions}')
    return [
        CheckResult(
            'configuration',
            len(accepted),
            tuple(violations),
            f'in_force_everywhere_ms={propagation_ms:.0f}',
        ),
    ]


def _edit_service(texts: object, round_number: int, operator: int) -> str:
    """Return the document of service orders with a unique retry allowance."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(texts['service/orders'])  # type: ignore[index]
    parser['service']['retry_allowance'] = str(1 + round_number * 3 + operator)
    lines = []
    for name in parser.sections():
        lines.append(f'[{name}]')
        lines.extend(f'{key} = {text}' for key, text in parser[name].items())
    return '\n'.join(lines)


async def _wait_for_version(fleet: Fleet, version: int) -> None:
    async with asyncio.timeout(_CONFIG_TIMEOUT_S):
        while min(await _read_versions(fleet)) < version:
            await asyncio.sleep(0.05)


async def _read_versions(fleet: Fleet) -> list[int]:
    """Return the document version of each node; 0 if it did not respond."""
    view = await view_fleet(_peer_addresses(fleet), FLEET_SECRET)
    reported = [
        version for versions in view.versions().values() for version in versions
    ]
    missing = len(fleet.layout.nodes) - len(reported)
    return [*reported, *(0 for _ in range(missing))]


async def _read_decisions(fleet: Fleet) -> list[checkers.Decision]:
    """Return the admission decisions in the event logs of the nodes."""
    events = await gather_timeline(
        _peer_addresses(fleet), FLEET_SECRET, '', 100_000
    )
    decisions = []
    for event in events:
        fields = dict(event.fields)
        is_overload = fields.get('reason') == 'overload'
        if event.event == 'admitted' or (
            event.event == 'refused' and is_overload
        ):
            decisions.append(
                checkers.Decision(
                    vm=event.vm,
                    decided_ms=stamp_ms(event.stamp),
                    importance=int(fields['importance']),
                    admitted=event.event == 'admitted',
                    waited_ms=float(fields.get('waited_ms', 0)),
                ),
            )
    return decisions


def _peer_addresses(fleet: Fleet) -> list[tuple[str, int]]:
    return [('127.0.0.1', node.peer_port) for node in fleet.layout.nodes]


async def _open_store(fleet: Fleet) -> HttpStore:
    store = HttpStore(fleet.layout.store_url, _STORE_TIMEOUT_MS)
    await store.start()
    return store


async def run_scenario(
    name: str,
    seed: int,
    *,
    baseline: bool,
) -> list[CheckResult]:
    """Run one scenario on a new fleet.

    Args:
        name: Registered name.
        seed: Random seed of arrival and execution times.
        baseline: Turn the tested mechanism off.
    """
    registered = SCENARIOS[name]
    extra_settings = {'log': {'events_kept': '100000'}}
    if baseline:
        extra_settings.update(registered.baseline)
    fleet = Fleet(plan_layout(registered.layout()), extra_settings, seed)
    load_generator = LoadGenerator(seed)
    try:
        await fleet.start()
        await load_generator.start()
        return await registered.scenario(fleet, load_generator, seed)
    except (TimeoutError, ChiveleadError) as error:
        return [CheckResult(name, 0, (f'scenario was aborted: {error!r}',))]
    finally:
        await fleet.close()


def has_baseline(name: str) -> bool:
    """Return whether a scenario has a mechanism that can be turned off."""
    return bool(SCENARIOS[name].baseline)
