"""Overload carried back to entries: who is refused, and who is not."""

import random

import pytest
from chivelead_policy import (
    CallFactor,
    CallGraph,
    CallGraphLearner,
    EntryShedder,
    GateControl,
)
from lib.clocks import advance_clock

pytestmark = pytest.mark.looptime


async def test_calls_for_each_request_are_learned():
    learner = CallGraphLearner()
    chance = random.Random(1)
    for _ in range(40):
        uploads, lookups = chance.randrange(3, 8), chance.randrange(30, 60)
        for _ in range(uploads):
            learner.note_run('upload')
        for _ in range(lookups):
            learner.note_run('lookup')
            for _ in range(4):
                learner.note_call('levels')
        await advance_clock(1.1)
        learner.factors()
    found = {row.route: row.factor for row in learner.factors()}
    assert found['lookup'] == pytest.approx(4, abs=0.5)
    assert found.get('upload', 0) == pytest.approx(0, abs=1.5)


def test_chains_are_joined_over_nodes():
    graph = CallGraph()
    graph.learn('vm-1', [CallFactor('browse', 'ledger', 1)])
    graph.learn('vm-2', [CallFactor('browse', 'ledger', 1)])
    graph.learn('vm-3', [CallFactor('ledger', 'index', 1)])
    graph.learn('vm-4', [CallFactor('index', 'levels', 4)])
    assert graph.reach('browse') == {'ledger': 1, 'index': 1, 'levels': 4}
    graph.forget('vm-4')
    assert graph.reach('browse') == {'ledger': 1, 'index': 1}


def test_a_circle_of_calls_ends():
    graph = CallGraph()
    graph.learn('vm-1', [CallFactor('a', 'b', 1), CallFactor('b', 'a', 1)])
    assert graph.reach('a')['b'] > 1


async def offer(shedder, parts, count=3000):
    """Offer browse (7), check (8) and book (9); return what was refused."""
    kinds = {
        'browse': (7, {'catalogue': 1, 'stock': 4}, 160),
        'check': (8, {'stock': 1}, 55),
        'book': (9, {'orders': 1, 'stock': 4}, 62),
    }
    chance = random.Random(1)
    names = list(kinds)
    weights = [kinds[name][2] for name in names]
    asked = dict.fromkeys(names, 0)
    refused = dict.fromkeys(names, 0)
    for name in chance.choices(names, weights, k=count):
        await advance_clock(0.003)
        importance, reach, _ = kinds[name]
        asked[name] += 1
        refused[name] += bool(shedder.sheds(importance, reach, parts))
    return {name: refused[name] / asked[name] for name in names}


async def test_nothing_is_refused_without_overload():
    assert set((await offer(EntryShedder(1), {})).values()) == {0}


async def test_least_important_parents_go_first():
    refused = await offer(EntryShedder(1), {'stock': 0.3})
    # 30% of the calls at stock are 45% of what browse leads to there.
    assert refused['browse'] == pytest.approx(0.45, abs=0.1)
    assert refused['check'] == pytest.approx(0, abs=0.02)
    assert refused['book'] == pytest.approx(0, abs=0.02)


async def test_heavier_overload_reaches_the_next_class():
    refused = await offer(EntryShedder(1), {'stock': 0.7})
    assert refused['browse'] == pytest.approx(1, abs=0.05)
    # 70% of 943 calls, less the 640 of browse, are 20 of the 55 of check.
    assert refused['check'] == pytest.approx(0.36, abs=0.2)
    assert refused['book'] == pytest.approx(0, abs=0.05)


async def test_gate_raises_the_part_while_it_refuses_and_lets_go_after():
    control = GateControl()
    await advance_clock(1)
    for _ in range(6):
        for _ in range(60):
            control.note(refused=False)
        for _ in range(40):
            control.note(refused=True)
        await advance_clock(0.6)
        control.tend(1.0)
    # Six steps at 40% refused, each correcting 0.6 of that.
    assert control.shed_part == pytest.approx(0.81, abs=0.1)
    for _ in range(40):
        control.note(refused=False)
        await advance_clock(0.6)
        control.tend(0.5)
    assert control.shed_part == 0
