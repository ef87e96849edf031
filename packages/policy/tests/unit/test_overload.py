"""Tests of the call graph and of load shedding at ingress nodes."""

import random

import pytest
from chivelead_policy import (
    CallFanOut,
    CallGraph,
    CallGraphLearner,
    IngressShedder,
    ShedController,
)
from lib.clocks import advance_clock

pytestmark = pytest.mark.looptime


async def test_calls_for_each_request_are_learned():
    learner = CallGraphLearner()
    generator = random.Random(1)
    for _ in range(40):
        uploads, lookups = (
            generator.randrange(3, 8),
            generator.randrange(30, 60),
        )
        for _ in range(uploads):
            learner.record_request('upload')
        for _ in range(lookups):
            learner.record_request('lookup')
            for _ in range(4):
                learner.record_call('levels')
        await advance_clock(1.1)
        learner.fan_outs()
    learned = {
        fan_out.route: fan_out.calls_per_request
        for fan_out in learner.fan_outs()
    }
    assert learned['lookup'] == pytest.approx(4, abs=0.5)
    assert learned.get('upload', 0) == pytest.approx(0, abs=1.5)


def test_call_chains_span_nodes():
    graph = CallGraph()
    graph.update_node('vm-1', [CallFanOut('browse', 'ledger', 1)])
    graph.update_node('vm-2', [CallFanOut('browse', 'ledger', 1)])
    graph.update_node('vm-3', [CallFanOut('ledger', 'index', 1)])
    graph.update_node('vm-4', [CallFanOut('index', 'levels', 4)])
    assert graph.downstream_calls('browse') == {
        'ledger': 1,
        'index': 1,
        'levels': 4,
    }
    graph.remove_node('vm-4')
    assert graph.downstream_calls('browse') == {'ledger': 1, 'index': 1}


def test_cyclic_calls_terminate():
    graph = CallGraph()
    graph.update_node(
        'vm-1', [CallFanOut('a', 'b', 1), CallFanOut('b', 'a', 1)]
    )
    assert graph.downstream_calls('a')['b'] > 1


async def refused_fractions(shedder, shed_fractions, total=3000):
    """Return the fraction refused of each of three request types."""
    # Importance, calls by service and relative frequency of each type.
    request_types = {
        'browse': (7, {'catalogue': 1, 'stock': 4}, 160),
        'check': (8, {'stock': 1}, 55),
        'book': (9, {'orders': 1, 'stock': 4}, 62),
    }
    generator = random.Random(1)
    names = list(request_types)
    weights = [request_types[name][2] for name in names]
    offered = dict.fromkeys(names, 0)
    refused = dict.fromkeys(names, 0)
    for name in generator.choices(names, weights, k=total):
        await advance_clock(0.003)
        importance, downstream_calls, _ = request_types[name]
        offered[name] += 1
        refused[name] += bool(
            shedder.find_overloaded_service(
                importance, downstream_calls, shed_fractions
            )
        )
    return {name: refused[name] / offered[name] for name in names}


async def test_no_request_is_refused_without_overload():
    assert set((await refused_fractions(IngressShedder(1), {})).values()) == {0}


async def test_least_important_callers_are_shed_first():
    refused = await refused_fractions(IngressShedder(1), {'stock': 0.3})
    # 30% of all calls to stock are 45% of the calls to stock by browse.
    assert refused['browse'] == pytest.approx(0.45, abs=0.1)
    assert refused['check'] == pytest.approx(0, abs=0.02)
    assert refused['book'] == pytest.approx(0, abs=0.02)


async def test_heavier_overload_sheds_the_next_importance_too():
    refused = await refused_fractions(IngressShedder(1), {'stock': 0.7})
    assert refused['browse'] == pytest.approx(1, abs=0.05)
    # 70% of 943 calls, less the 640 by browse, are 20 of the 55 by check.
    assert refused['check'] == pytest.approx(0.36, abs=0.2)
    assert refused['book'] == pytest.approx(0, abs=0.05)


async def test_shed_part_rises_during_refusals_and_falls_after():
    controller = ShedController()
    await advance_clock(1)
    for _ in range(6):
        for _ in range(60):
            controller.record(refused=False)
        for _ in range(40):
            controller.record(refused=True)
        await advance_clock(0.6)
        controller.update(1.0)
    # Six updates at 40% refused, each correcting 0.6 of that.
    assert controller.shed_part == pytest.approx(0.81, abs=0.1)
    for _ in range(40):
        controller.record(refused=False)
        await advance_clock(0.6)
        controller.update(0.5)
    assert controller.shed_part == 0
