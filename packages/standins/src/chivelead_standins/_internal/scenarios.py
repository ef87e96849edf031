"""Scenarios of failure on separate processes, each with its checkers."""

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
from chivelead_standins._internal.caller import Callers, Stream
from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import Layout, plan_layout
from chivelead_standins._internal.records import History
from chivelead_standins._internal.scenario_layouts import (
    chain_layout,
    small_layout,
)
from chivelead_standins._internal.store_server import StoreFaults

SECRET = 'stand-in-secret'  # noqa: S105
_TIMEOUT_MS = 2000
_WITHDRAW_GRACE_MS = 5000
_LEAVE_GRACE_MS = 3000
_CONFIG_GRACE_S = 9


@dataclasses.dataclass(frozen=True)
class Proof:
    """Result of one scenario for one promise.

    Attributes:
        figures: What else was counted.
    """

    promise: str
    runs: int
    violations: tuple[str, ...]
    figures: str = ''


Scenario = Callable[[Fleet, Callers, int], Awaitable[list[Proof]]]
_Maker = Callable[[], configparser.ConfigParser]


@dataclasses.dataclass(frozen=True)
class Registered:
    """A scenario with its layout and the settings of its baseline."""

    scenario: Scenario
    layout: _Maker
    baseline: dict[str, dict[str, str]]


SCENARIOS: dict[str, Registered] = {}


def scenario(
    name: str,
    layout: _Maker = small_layout,
    **baseline: dict[str, str],
) -> Callable[[Scenario], Scenario]:
    """Register a scenario; ``baseline`` turns its mechanism off."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = Registered(function, layout, dict(baseline))
        return function

    return register


def stream(
    layout: Layout,
    organisation: str,
    place: str,
    rate_per_s: float,
    **changes: object,
) -> Stream:
    """Return a stream to ``service/path`` that enters everywhere."""
    service, _, path = place.partition('/')
    method = 'POST' if path == 'book' else 'GET'
    built = Stream(
        organisation=organisation,
        key=layout.organisation(organisation).key,
        service=service,
        method=method,
        path=f'/{path}',
        importance=2 if path == 'low' else 8,
        rate_per_s=rate_per_s,
        timeout_ms=1000,
        entries=layout.entries(),
    )
    return dataclasses.replace(built, **changes)  # type: ignore[arg-type]


def history_of(fleet: Fleet, callers: Callers) -> History:
    """Return all records of a run."""
    runs = [run for target in fleet.targets.values() for run in target.runs]
    return History(tuple(callers.records), tuple(runs))


def common_proofs(history: History) -> list[Proof]:
    """Run every checker that needs nothing but the history."""
    return [
        Proof(promise, len(history.calls), tuple(check(history)))
        for promise, check in checkers.CHECKERS.items()
    ]


@scenario('retries', chain_layout, policy={'retries': 'naive'})
async def run_retries(fleet: Fleet, callers: Callers, _: int) -> list[Proof]:
    """Every level of a chain of five fails; clients retry besides."""
    for target in fleet.targets.values():
        target.profile.break_on_failure = True
        if target.profile.service == 'five':
            target.profile.fail_all = True
    streams = [
        stream(fleet.layout, 'yard', 'one/low', 15, client_retries=2),
    ]
    await callers.run(streams, 6)
    await callers.close()
    history = history_of(fleet, callers)
    attempts = len([run for run in history.runs if run.trace])
    chain = ('one', 'two', 'three', 'four', 'five')
    violations = checkers.check_retries(history, chain, 3)
    figures = f'attempts_per_request={attempts / len(history.calls):.2f}'
    return [
        Proof(
            'retries-bounded', len(history.calls), tuple(violations), figures
        ),
    ]


@scenario('importance', policy={'queue': 'fifo'})
async def run_importance(
    fleet: Fleet,
    callers: Callers,
    _: int,
) -> list[Proof]:
    """Demand is three times what stock can serve; a third is important."""
    streams = [
        stream(fleet.layout, 'yard', 'stock/low', 160, timeout_ms=400),
        stream(fleet.layout, 'yard', 'stock/high', 60, timeout_ms=400),
    ]
    for target in fleet.targets.values():
        target.profile.slowdown = 5
    await callers.run(streams, 6)
    await callers.close()
    history = history_of(fleet, callers)
    decisions = await _decisions(fleet)
    violations = checkers.check_importance(decisions)
    refused = sum(not decision.admitted for decision in decisions)
    return [
        Proof(
            'important-shed-last',
            len(decisions),
            tuple(violations),
            f'refused_at_targets={refused}',
        ),
        *common_proofs(history),
    ]


@scenario('rates', policy={'rates': 'unlimited'})
async def run_rates(fleet: Fleet, callers: Callers, _: int) -> list[Proof]:
    """An organisation sends five times its rate through every fault."""
    layout = fleet.layout
    sending = asyncio.create_task(
        callers.run([stream(layout, 'mill', 'orders/low', 300)], 16),
    )
    await asyncio.sleep(3)
    owner = layout.nodes[0].vm
    fleet.signal(owner, signal.SIGSTOP)
    await asyncio.sleep(4)
    fleet.signal(owner, signal.SIGCONT)
    await asyncio.sleep(1)
    fleet.store_server.faults = StoreFaults(down=True)
    await fleet.kill(layout.nodes[1].vm)
    await fleet.start_node(layout.nodes[1].vm)
    await asyncio.sleep(4)
    fleet.store_server.faults = StoreFaults()
    await sending
    await callers.close()
    history = history_of(fleet, callers)
    plan = layout.organisation('mill')
    limit = checkers.Limit(plan.rate_per_s, plan.burst_requests)
    violations = checkers.check_rate(history, 'mill', limit)
    excess = checkers.worst_window(history, 'mill', limit)
    served = sum(call.status == 200 for call in history.calls)
    return [
        Proof(
            'rate-and-burst',
            len(history.calls),
            tuple(violations),
            f'served={served} worst_excess={excess:.1f}',
        ),
        *common_proofs(history),
    ]


@scenario('keys')
async def run_keys(fleet: Fleet, callers: Callers, _: int) -> list[Proof]:
    """A key is withdrawn on open connections while watches are silent."""
    fleet.store_server.faults = StoreFaults(silent_watches=True)
    sending = asyncio.create_task(
        callers.run([stream(fleet.layout, 'mill', 'orders/low', 30)], 12),
    )
    await asyncio.sleep(3)
    store = await _open_store(fleet)
    base = await read_documents(store)
    text = withdraw_key(base.texts['organisation/mill'], 'first')
    await apply_edit(store, {'organisation/mill': text}, 'prover', '', base)
    withdrawn_ms = now_ms()
    await sending
    await callers.close()
    await store.close()
    history = history_of(fleet, callers)
    violations = checkers.check_withdrawn(
        history.calls,
        withdrawn_ms,
        _WITHDRAW_GRACE_MS,
    )
    last_ms = max(
        (call.sent_ms for call in history.calls if call.status == 200),
        default=0,
    )
    return [
        Proof(
            'withdrawn-key-stops',
            len(history.calls),
            tuple(violations),
            f'last_served_after_ms={last_ms - withdrawn_ms:.0f}',
        ),
        *common_proofs(history),
    ]


@scenario('bookings')
async def run_bookings(fleet: Fleet, callers: Callers, _: int) -> list[Proof]:
    """Bookings are sent again elsewhere while nodes die and freeze."""
    layout = fleet.layout
    streams = [
        stream(
            layout,
            'yard',
            'orders/book',
            40,
            client_retries=4,
            keyed=True,
            body=b'cue 7',
        ),
    ]
    sending = asyncio.create_task(callers.run(streams, 18))
    first, second = (node.vm for node in layout.nodes[:2])
    await asyncio.sleep(3)
    await fleet.kill(first)
    await fleet.start_node(first)
    await asyncio.sleep(4)
    fleet.signal(second, signal.SIGSTOP)
    await asyncio.sleep(4)
    fleet.signal(second, signal.SIGCONT)
    fleet.store_server.faults = StoreFaults(down=True)
    await asyncio.sleep(2)
    await fleet.kill(layout.nodes[2].vm)
    await fleet.start_node(layout.nodes[2].vm)
    fleet.store_server.faults = StoreFaults()
    await sending
    await callers.close()
    history = history_of(fleet, callers)
    unknown = sum(call.outcome == 'unknown' for call in history.calls)
    lost = sum(call.status == 0 for call in history.calls)
    figures = f'unknown={unknown} no_answer={lost}'
    return [
        dataclasses.replace(proof, figures=figures)
        for proof in common_proofs(history)
    ]


@scenario('leaving')
async def run_leaving(fleet: Fleet, callers: Callers, _: int) -> list[Proof]:
    """A target and a node leave while the store is down."""
    layout = fleet.layout
    streams = [
        stream(layout, 'yard', 'orders/low', 40),
        stream(layout, 'yard', 'stock/low', 20),
    ]
    sending = asyncio.create_task(callers.run(streams, 14))
    await asyncio.sleep(2)
    fleet.store_server.faults = StoreFaults(down=True)
    leaving = fleet.targets['orders-1']
    left_ms = now_ms()
    await leaving.drain()
    await asyncio.sleep(1)
    await fleet.kill('orders-1')
    await fleet.start_node('orders-1')
    await asyncio.sleep(4)
    fleet.store_server.faults = StoreFaults()
    before = len(callers.records)
    status = await fleet.terminate('stock-1')
    await sending
    await callers.close()
    history = history_of(fleet, callers)
    violations = checkers.check_leaving(
        history,
        'orders-1',
        left_ms,
        _LEAVE_GRACE_MS,
    )
    cut = [
        call.trace
        for call in callers.records[before:]
        if call.outcome == 'unknown'
    ]
    return [
        Proof('leaving-target', len(history.runs), tuple(violations)),
        Proof(
            'graceful-shutdown',
            len(callers.records) - before,
            tuple(f'{trace} was cut off' for trace in cut),
            f'exit_status={status}',
        ),
        *common_proofs(history),
    ]


@scenario('configuration')
async def run_configuration(
    fleet: Fleet,
    callers: Callers,
    _: int,
) -> list[Proof]:
    """Operators race, answers are lost, a node restarts without the store."""
    await callers.close()
    store = await _open_store(fleet)
    accepted: list[int] = []
    violations: list[str] = []
    for turn in range(4):
        base = await read_documents(store)
        if turn == 2:
            fleet.store_server.faults = StoreFaults(lose_writes=2)
        results = await asyncio.gather(
            *(
                apply_edit(
                    store,
                    {'service/orders': _edited(base.texts, turn, racer)},
                    f'operator-{racer}',
                    '',
                    base,
                )
                for racer in range(3)
            ),
            return_exceptions=True,
        )
        won = [edit for edit in results if not isinstance(edit, Exception)]
        if len(won) != 1:
            violations.append(f'{len(won)} of 3 racing edits were accepted')
        for edit in won:
            accepted.append(edit.version)  # type: ignore[union-attr]
    started_ms = now_ms()
    await _wait_for_version(fleet, max(accepted))
    spread_ms = now_ms() - started_ms
    fleet.store_server.faults = StoreFaults(down=True)
    await fleet.kill('orders-1')
    await fleet.start_node('orders-1')
    await asyncio.sleep(8)
    versions = await _versions(fleet)
    fleet.store_server.faults = StoreFaults()
    await store.close()
    if min(versions) < max(accepted):
        violations.append(f'versions {versions} after the restart')
    return [
        Proof(
            'configuration',
            len(accepted),
            tuple(violations),
            f'in_force_everywhere_ms={spread_ms:.0f}',
        ),
    ]


def _edited(texts: object, turn: int, racer: int) -> str:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(texts['service/orders'])  # type: ignore[index]
    parser['service']['retry_allowance'] = str(1 + turn * 3 + racer)
    lines = []
    for name in parser.sections():
        lines.append(f'[{name}]')
        lines.extend(f'{key} = {text}' for key, text in parser[name].items())
    return '\n'.join(lines)


async def _wait_for_version(fleet: Fleet, version: int) -> None:
    async with asyncio.timeout(_CONFIG_GRACE_S):
        while min(await _versions(fleet)) < version:
            await asyncio.sleep(0.05)


async def _versions(fleet: Fleet) -> list[int]:
    view = await view_fleet(_addresses(fleet), SECRET)
    found = [
        version for versions in view.versions().values() for version in versions
    ]
    missing = len(fleet.layout.nodes) - len(found)
    return [*found, *(0 for _ in range(missing))]


async def _decisions(fleet: Fleet) -> list[checkers.Decision]:
    """Return the decisions of admission that nodes stamped."""
    events = await gather_timeline(_addresses(fleet), SECRET, '', 100_000)
    decisions = []
    for event in events:
        fields = dict(event.fields)
        overload = fields.get('reason') == 'overload'
        if event.event == 'admitted' or (event.event == 'refused' and overload):
            decisions.append(
                checkers.Decision(
                    vm=event.vm,
                    at_ms=stamp_ms(event.stamp),
                    importance=int(fields['importance']),
                    admitted=event.event == 'admitted',
                    waited_ms=float(fields.get('waited_ms', 0)),
                ),
            )
    return decisions


def _addresses(fleet: Fleet) -> list[tuple[str, int]]:
    return [('127.0.0.1', node.peer_port) for node in fleet.layout.nodes]


async def _open_store(fleet: Fleet) -> HttpStore:
    store = HttpStore(fleet.layout.store_url, _TIMEOUT_MS)
    await store.start()
    return store


async def run_scenario(
    name: str,
    seed: int,
    *,
    baseline: bool,
) -> list[Proof]:
    """Run one scenario on a fleet of its own.

    Args:
        name: Registered name.
        seed: Seed of arrivals and service times.
        baseline: Turn the mechanism off.
    """
    registered = SCENARIOS[name]
    extra = {'log': {'events_kept': '100000'}}
    if baseline:
        extra.update(registered.baseline)
    fleet = Fleet(plan_layout(registered.layout()), extra, seed)
    callers = Callers(seed)
    try:
        await fleet.start()
        await callers.start()
        return await registered.scenario(fleet, callers, seed)
    except (TimeoutError, ChiveleadError) as error:
        return [Proof(name, 0, (f'not run to its end: {error!r}',))]
    finally:
        await fleet.close()


def has_baseline(name: str) -> bool:
    """Tell whether a scenario has a mechanism that can be turned off."""
    return bool(SCENARIOS[name].baseline)
