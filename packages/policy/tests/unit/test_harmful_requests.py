"""Detection of harmful requests over random histories, with times passed in.

Pattern: targets that run many requests at once, end under some of them and
start again, while reports of the ends arrive late, twice, in any order or not
at all.
"""

from chivelead_policy import (
    ENDS_UNTIL_HARMFUL,
    MAX_ENDS,
    MAX_REQUESTS_PER_END,
    TargetEnd,
    TargetEndLedger,
    select_fingerprints,
)
from hypothesis import given, settings
from hypothesis import strategies as st

_HOUR_MS = 3_600_000.0
_NAMES = 'abcdefgh'
_fingerprints = st.sampled_from(_NAMES)
_ends = st.builds(
    TargetEnd,
    end_id=st.integers(0, 30).map(str),
    version=st.sampled_from(('v1', 'v2', '')),
    ended_ms=st.integers(1, 1000).map(float),
    fingerprints=st.frozensets(_fingerprints),
)
_answers = st.tuples(_fingerprints, st.integers(1, 1000).map(float))
_entries = st.lists(st.one_of(_ends, _answers), max_size=40)


def _end(number, *fingerprints, version='v1', ended_ms=None):
    if ended_ms is None:
        ended_ms = float(number)
    return TargetEnd(str(number), version, ended_ms, frozenset(fingerprints))


def _ledger_of(entries, time_ms=1000.0):
    ledger = TargetEndLedger()
    for entry in entries:
        if isinstance(entry, TargetEnd):
            ledger.add_end(entry, time_ms)
        else:
            ledger.add_answer(*entry)
    return ledger


def _harmful_names(ledger):
    return {harmful.fingerprint for harmful in ledger.harmful}


def _unique_ends(entries):
    """Keep the first end under each ID; a real end is always the same."""
    seen = set()
    kept = []
    for entry in entries:
        if isinstance(entry, TargetEnd):
            if entry.end_id in seen:
                continue
            seen.add(entry.end_id)
        kept.append(entry)
    return kept


# Guards against nodes that disagree because reports came in another order.
@settings(derandomize=True, deadline=None)
@given(_entries.map(_unique_ends), st.randoms(use_true_random=False))
def test_order_and_repetition_of_reports_change_nothing(entries, random):
    shuffled = entries + random.sample(entries, len(entries) // 2)
    random.shuffle(shuffled)
    ledger, other = _ledger_of(entries), _ledger_of(shuffled)
    assert set(ledger.harmful) == set(other.harmful)
    assert ledger.ends == other.ends


# Guards against condemning a request that targets answer.
@settings(derandomize=True, deadline=None)
@given(_entries.map(_unique_ends))
def test_answered_request_needs_new_ends(entries):
    ledger = _ledger_of(entries)
    answered_ms = dict(ledger.answers)
    for harmful in ledger.harmful:
        assert len(harmful.ends) >= ENDS_UNTIL_HARMFUL
        for end in harmful.ends:
            assert harmful.fingerprint in end.fingerprints
            assert end.ended_ms > answered_ms.get(harmful.fingerprint, 0)


# Guards against harmful requests that hide behind each other: what is left
# unexplained is never enough to judge by.
@settings(derandomize=True, deadline=None)
@given(st.lists(_ends, max_size=30).map(_unique_ends))
def test_every_request_with_enough_unexplained_ends_is_harmful(ends):
    ledger = _ledger_of(ends)
    harmful_names = _harmful_names(ledger)
    unexplained = [end for end in ends if not end.fingerprints & harmful_names]
    for name in _NAMES:
        count = sum(name in end.fingerprints for end in unexplained)
        assert count < ENDS_UNTIL_HARMFUL


# Guards against condemning what only ran beside several harmful requests,
# each of which ends a target whenever it runs, with lost reports.
@settings(derandomize=True, deadline=None)
@given(st.data())
def test_bystanders_are_told_from_several_harmful_requests(data):
    deadly = data.draw(st.sets(_fingerprints, min_size=1, max_size=3))
    ledger = TargetEndLedger()
    time_ms = 0.0
    for number in range(40):
        time_ms += 100.0
        bystanders = [f'{number}.{index}' for index in range(20)]
        allowed = [
            name
            for name in sorted(deadly)
            if ledger.find_held(name, 'v1', time_ms) is None
        ]
        if not allowed:
            break
        killer = data.draw(st.sampled_from(allowed))
        if data.draw(st.booleans()):
            ledger.add_end(
                _end(number, killer, *bystanders, ended_ms=time_ms), time_ms
            )
    assert _harmful_names(ledger) <= deadly


def test_request_beside_a_harmful_one_is_not_harmful():
    ledger = _ledger_of(
        [_end(1, 'x', 'y'), _end(2, 'x', 'y'), _end(3, 'x'), _end(4, 'x', 'y')]
    )
    assert _harmful_names(ledger) == {'x'}


def test_ends_for_other_causes_condemn_no_popular_request():
    ledger = TargetEndLedger()
    for number in range(10):
        ledger.add_end(_end(number, 'home', f'rare-{number}'), 10.0)
        ledger.add_answer('home', number + 0.5)
    assert not ledger.harmful


def test_answer_that_is_reported_before_an_earlier_end_still_counts():
    ledger = _ledger_of([('x', 2.5), _end(1, 'x'), _end(2, 'x'), _end(3, 'x')])
    assert not ledger.harmful
    assert ledger.count_ends('x') == 1


def test_harmful_request_gets_one_trial_after_the_hold():
    ledger = _ledger_of([_end(number, 'x') for number in range(1, 4)])
    assert ledger.find_held('x', 'v1', 1000.0) is not None
    later_ms = 400_000.0
    assert ledger.find_held('x', 'v1', later_ms) is None
    ledger.add_end(_end(4, 'x', ended_ms=later_ms), later_ms)
    assert ledger.find_held('x', 'v1', later_ms + 1) is not None


# Guards against a bystander of all ends that stays condemned for long.
def test_requests_with_the_same_ends_are_told_apart_by_the_next():
    ledger = _ledger_of([_end(number, 'x', 'y') for number in range(1, 4)])
    assert ledger.find_held('y', 'v1', 1000.0) is not None
    later_ms = 40_000.0
    assert ledger.find_held('x', 'v1', later_ms) is None
    ledger.add_end(_end(4, 'x', ended_ms=later_ms), later_ms)
    assert _harmful_names(ledger) == {'x'}
    assert ledger.find_held('x', 'v1', later_ms + 100_000.0) is not None


def test_suspect_is_confined_for_a_short_time_and_on_trial():
    ledger = _ledger_of([_end(1, 'x', 'y')])
    assert not ledger.is_confined('x', 10.0)
    ledger.add_end(_end(2, 'x'), 10.0)
    assert ledger.is_confined('x', 10.0)
    assert not ledger.is_confined('y', 10.0)
    assert not ledger.is_confined('x', 5000.0)
    ledger.add_end(_end(3, 'x'), 10.0)
    assert ledger.is_confined('x', 500_000.0)


def test_new_version_gets_one_trial():
    ledger = _ledger_of([_end(number, 'x') for number in range(1, 4)])
    assert ledger.find_held('x', 'v2', 10.0) is None
    ledger.add_end(_end(4, 'x', version='v2'), 10.0)
    assert ledger.find_held('x', 'v2', 10.0) is not None
    assert ledger.find_held('x', '', 10.0) is not None


def test_old_ends_are_forgotten():
    ledger = _ledger_of([_end(number, 'x') for number in range(1, 4)])
    ledger.add_answer('z', 1.0)
    ledger.add_end(_end(4, 'y', ended_ms=_HOUR_MS), _HOUR_MS)
    ledger.expire(_HOUR_MS)
    assert not ledger.answers
    assert [end.end_id for end in ledger.ends] == ['4']
    assert not ledger.is_suspected('x')
    assert not ledger.add_end(_end(5, 'x', ended_ms=1.0), _HOUR_MS)
    ledger.expire(3 * _HOUR_MS)
    assert ledger.is_empty
    assert not ledger.is_confined('x', 3 * _HOUR_MS)


# Guards against memory that grows with the ends and the requests.
def test_memory_is_bounded():
    ledger = TargetEndLedger()
    for number in range(2 * MAX_ENDS):
        ledger.add_end(_end(number, f'x{number}'), 1000.0)
        ledger.add_answer(f'y{number}', 1.0)
    assert len(ledger.ends) == MAX_ENDS
    assert ledger.ends[-1].end_id == str(2 * MAX_ENDS - 1)
    for number in range(10_000):
        ledger.add_answer(f'z{number}', 1.0)
    assert len(ledger.answers) < 10_000


def test_end_names_suspected_requests_first_and_then_the_latest():
    ledger = _ledger_of([_end(1, 'suspect')])
    running = ['suspect', *(f'x{number}' for number in range(200))]
    selected = select_fingerprints(running, ledger)
    assert len(selected) == MAX_REQUESTS_PER_END
    assert 'suspect' in selected
    assert 'x199' in selected
