"""Tests of the checks of the request soak, on small histories."""

import dataclasses
from types import MappingProxyType

import pytest
from lib.request_soak_check import (
    Call,
    Disturbance,
    History,
    KeyLife,
    Run,
    find_violations,
)

_CALL = Call(
    'id-1',
    0,
    'POST',
    '/book/x',
    body_digest='body',
    note=b'caf\xe9',
    encoding='gzip',
    sent_s=10.0,
    whole_s=10.1,
    ended_s=10.5,
    end='answered',
    status=200,
    stamp='stamp',
    answer_digest='answer',
)
_RUN = Run(
    'id-1',
    1,
    'POST',
    '/book/x',
    body_digest='body',
    note=b'caf\xe9',
    encoding='gzip',
    stamp='stamp',
    answer_digest='answer',
)
# Ends of a call without a whole answer.
_NO_ANSWER = MappingProxyType({'status': 0, 'stamp': '', 'answer_digest': ''})
_CUT = MappingProxyType({**_NO_ANSWER, 'end': 'cut'})
_REFUSED = MappingProxyType({**_NO_ANSWER, 'status': 503})


def make_history(call_fields=None, run_fields=None, **fields):
    """Return a history of one call and its run, with fields replaced."""
    call = dataclasses.replace(_CALL, **(call_fields or {}))
    run = dataclasses.replace(_RUN, **(run_fields or {}))
    return History({call.request_id: call}, [run], **fields)


def rules(history):
    """Return the rules that a history violates."""
    return [line.partition(':')[0] for line in find_violations(history)]


# Guards against checks that report requests which were handled well.
def test_unchanged_request_and_answer_pass():
    assert not rules(make_history())


# Guards against changed requests that are not noticed.
@pytest.mark.parametrize(
    'run_fields',
    [
        {'method': 'GET'},
        {'path': '/book/y'},
        {'body_digest': 'other'},
        {'note': b'caf\xc3\xa9'},
        {'encoding': ''},
        {'organisation': 'guest'},
        {'caller_service': 'orders'},
        {'key_shown': True},
    ],
)
def test_changed_request_is_unasked(run_fields):
    assert rules(make_history(run_fields=run_fields)) == ['UNASKED']


# Guards against requests of nobody that are not noticed.
def test_request_that_no_client_sent_is_unasked():
    history = make_history()
    history.runs.append(dataclasses.replace(_RUN, request_id='x', stamp='s'))
    assert rules(history) == ['UNASKED']


# Guards against second runs that are not noticed.
@pytest.mark.parametrize(('safe', 'found'), [(False, ['TWICE']), (True, [])])
def test_second_run_counts_if_it_may_not_be_repeated(safe, found):
    history = make_history({'safe': safe})
    history.runs.append(dataclasses.replace(_RUN, stamp='second'))
    assert rules(history) == found


# Guards against refusals of requests that ran.
@pytest.mark.parametrize(('safe', 'found'), [(False, ['REFUSED']), (True, [])])
def test_refused_request_has_not_run(safe, found):
    assert rules(make_history({**_REFUSED, 'safe': safe})) == found


# Guards against changed answers that are not noticed.
@pytest.mark.parametrize(
    'call_fields',
    [
        {'status': 201},
        {'stamp': ''},
        {'answer_digest': 'other'},
        {'answer_note': b'other'},
    ],
)
def test_changed_answer_is_mixed(call_fields):
    assert rules(make_history(call_fields)) == ['MIXED']


# Guards against answers to nothing that are not noticed.
def test_stray_bytes_are_mixed():
    assert rules(make_history(stray_bytes=[b'HTTP/1.1 200'])) == ['MIXED']


# Guards against refusals of proper requests that are not noticed.
@pytest.mark.parametrize('status', [400, 401, 413, 500])
def test_failure_of_the_node_itself_is_a_denial(status):
    assert rules(make_history({**_NO_ANSWER, 'status': status})) == ['DENIED']


# Guards against cut-off answers that are not noticed.
@pytest.mark.parametrize(
    'disturbances',
    [
        [],
        [Disturbance('stop', 0, 9.0, 12.0)],
        [Disturbance('store', None, 9.0, 12.0)],
        [Disturbance('kill', 2, 9.0, 12.0)],
        [Disturbance('kill', 0, 1.0, 6.0)],
    ],
)
def test_answer_that_is_cut_off_is_lost(disturbances):
    assert rules(make_history(_CUT, disturbances=disturbances)) == ['LOST']


# Guards against cuts counted though the platform allows them.
@pytest.mark.parametrize(
    ('call_fields', 'run_fields', 'disturbances'),
    [
        ({}, {'broke_off': True}, []),
        ({'whole_s': None}, {}, []),
        ({'ended_s': 15.1}, {}, []),
        ({}, {}, [Disturbance('kill', 0, 9.0, 9.1)]),
        ({}, {}, [Disturbance('kill', 1, 10.2, 10.3)]),
        ({'ended_s': 14.5}, {}, [Disturbance('stop', 0, 9.0, 14.5)]),
        ({'ended_s': 14.5}, {'done_s': 14.1}, [Disturbance('stop', 0, 9, 14)]),
        (
            {'ended_s': 14.5, 'is_read_at_once': False},
            {'done_s': 11.0},
            [Disturbance('stop', 0, 9.0, 14.5)],
        ),
    ],
)
def test_cut_is_excused(call_fields, run_fields, disturbances):
    history = make_history(
        {**_CUT, **call_fields}, run_fields, disturbances=disturbances
    )
    assert not rules(history)


# Guards against cuts at the end of a grace period that were not allowed: the
# target was not at work, or the request came too late to be taken.
@pytest.mark.parametrize(
    ('call_fields', 'run_fields', 'stop_s'),
    [
        ({'ended_s': 14.5}, {'done_s': 13.9}, 9.0),
        ({'ended_s': 12.5}, {}, 6.9),
        ({'ended_s': 13.9}, {}, 9.0),
    ],
)
def test_cut_at_the_end_of_a_stop_is_lost(call_fields, run_fields, stop_s):
    history = make_history(
        {**_CUT, **call_fields},
        run_fields,
        disturbances=[Disturbance('stop', 0, stop_s, stop_s + 5.5)],
    )
    assert rules(history) == ['LOST']


# Guards against answers of targets that callers never see.
@pytest.mark.parametrize(
    ('done_s', 'disturbances', 'found'),
    [
        (13.9, [], ['LOST']),
        (14.1, [], []),
        (None, [], []),
        (13.9, [Disturbance('stop', 0, 9.0, 15.0)], ['LOST']),
        (13.9, [Disturbance('target', 1, 9.0, 9.5)], []),
    ],
)
def test_answer_of_a_target_is_not_replaced(done_s, disturbances, found):
    fields = {**_NO_ANSWER, 'status': 504, 'ended_s': 15.0}
    run_fields = {'done_s': done_s}
    history = make_history(fields, run_fields, disturbances=disturbances)
    assert rules(history) == found


# Guards against answers of a stopping node in the place of a target at work.
@pytest.mark.parametrize(
    ('call_fields', 'run_fields', 'stop_s', 'found'),
    [
        ({}, {}, 9.0, ['LOST']),
        ({}, {'done_s': 14.8}, 9.0, ['LOST']),
        ({}, {'broke_off': True}, 9.0, []),
        ({}, {}, 10.6, []),
        ({'ended_s': 15.1}, {}, 10.0, []),
        ({'ended_s': 14.6}, {}, 9.0, []),
        ({'ended_s': 14.6, 'sent_s': 12.1}, {}, 9.0, ['LOST']),
    ],
)
def test_target_at_work_is_not_replaced(call_fields, run_fields, stop_s, found):
    fields = {**_NO_ANSWER, 'status': 504, **call_fields}
    stop = Disturbance('stop', 0, stop_s, stop_s + 5.6)
    assert rules(make_history(fields, run_fields, disturbances=[stop])) == found


# Guards against cuts blamed on a configuration that are as frequent without.
def test_cuts_as_frequent_as_at_other_times_are_not_counted():
    history = make_history({'ended_s': 10.9})
    history.runs.clear()
    history.calls['id-1'].stamp = ''
    history.calls['id-1'].status = 503
    history.disturbances.append(Disturbance('edit', None, 10.0, 10.6))
    for request_id, ended_s in (('id-2', 10.4), ('id-3', 10.8)):
        history.calls[request_id] = dataclasses.replace(
            _CALL, **_CUT, request_id=request_id, ended_s=ended_s
        )
    assert not rules(history)


# Guards against half-closing callers whose requests are given up.
@pytest.mark.parametrize('safe', [False, True])
def test_answer_to_a_half_closing_caller(safe):
    fields = {**_NO_ANSWER, 'status': 504, 'closes_sending_half': True}
    history = make_history({**fields, 'safe': safe}, {'done_s': 10.4})
    assert rules(history) == ['LOST']


# Guards against requests that a node reads in planned work and never passes on.
@pytest.mark.parametrize(
    ('call_fields', 'disturbance', 'found'),
    [
        ({}, Disturbance('stop', 0, 9.0, 12.0), ['LOST']),
        ({}, Disturbance('stop', 0, 10.35, 12.0), ['LOST']),
        ({}, Disturbance('stop', 0, 9.0, 10.31), ['LOST']),
        ({}, Disturbance('stop', 0, 4.0, 10.4), ['LOST']),
        ({}, Disturbance('stop', 1, 9.0, 12.0), []),
        ({}, Disturbance('store', None, 9.0, 12.0), []),
        # The last bytes come shortly before the end, or when all is over.
        ({'ended_s': 10.2}, Disturbance('stop', 0, 9.0, 12.0), []),
        ({}, Disturbance('stop', 0, 9.0, 10.29), []),
        ({'ended_s': 14.0}, Disturbance('stop', 0, 4.0, 10.0), []),
        ({'path_s': 0.15}, Disturbance('stop', 0, 9.0, 12.0), []),
        ({'path_s': 0.05}, Disturbance('stop', 0, 9.0, 12.0), ['LOST']),
        # A request that is sent soon after SIGHUP and cut after it.
        ({}, Disturbance('hangup', 0, 7.6, 7.6), ['LOST']),
        ({}, Disturbance('hangup', 0, 10.35, 10.35), ['LOST']),
        ({}, Disturbance('hangup', 0, 7.4, 7.4), []),
        ({}, Disturbance('hangup', 0, 10.45, 10.45), []),
        ({}, Disturbance('hangup', 1, 9.0, 9.0), []),
        # A request that is cut beside a new configuration.
        ({}, Disturbance('edit', None, 9.0, 12.5), ['LOST']),
        ({}, Disturbance('edit', None, 10.45, 14.0), []),
        ({'ended_s': 13.6}, Disturbance('edit', None, 13.0, 16.5), []),
    ],
)
def test_request_that_was_read_in_planned_work_is_answered(
    call_fields, disturbance, found
):
    history = make_history(disturbances=[disturbance])
    fields = {**_CUT, 'ended_s': 10.4, **call_fields}
    history.calls['id-2'] = dataclasses.replace(
        _CALL, **fields, request_id='id-2'
    )
    assert rules(history) == found


# Guards against requests blamed on a later process than that which accepted
# their connection, or excused by the end of an earlier one.
@pytest.mark.parametrize(
    ('connected_s', 'found'), [(9.0, []), (10.06, ['LOST'])]
)
def test_connection_ends_with_the_process_that_accepted_it(connected_s, found):
    history = make_history(
        disturbances=[
            Disturbance('stop', 0, 5.0, 10.05),
            Disturbance('stop', 0, 10.3, 10.4),
        ]
    )
    history.calls['id-2'] = dataclasses.replace(
        _CALL, **_CUT, request_id='id-2', connected_s=connected_s
    )
    assert rules(history) == found


# Guards against requests blamed on planned work that were sent to a process
# after it was killed.
@pytest.mark.parametrize('kind', ['kill', 'memory'])
@pytest.mark.parametrize(('connected_s', 'found'), [(5.0, []), (6.1, ['LOST'])])
def test_connection_ends_with_a_killed_process(kind, connected_s, found):
    history = make_history(
        disturbances=[
            Disturbance(kind, 0, 6.0, 6.05),
            Disturbance('stop', 0, 10.3, 10.4),
        ]
    )
    history.calls['id-2'] = dataclasses.replace(
        _CALL, **_CUT, request_id='id-2', connected_s=connected_s
    )
    assert rules(history) == found


# Guards against requests that nobody misses because of those before them: only
# after some answers can nothing more be read.
@pytest.mark.parametrize(
    ('earlier', 'found'),
    [
        ({}, ['LOST']),
        (_REFUSED, ['LOST']),
        ({**_NO_ANSWER, 'status': 504}, ['LOST']),
        (_CUT, []),
        ({**_NO_ANSWER, 'status': 408}, []),
    ],
)
def test_request_behind_another_is_answered(earlier, found):
    history = make_history(earlier, {'broke_off': True})
    if earlier.get('status') in {408, 503}:
        history.runs.clear()
    history.disturbances.append(Disturbance('stop', 0, 9.0, 12.0))
    history.calls['id-2'] = dataclasses.replace(
        _CALL, **_CUT, request_id='id-2', ended_s=10.4, behind=('id-1',)
    )
    assert rules(history) == found


# Guards against a signal to read settings that excuses what it must not.
@pytest.mark.parametrize(
    ('fields', 'found'),
    [
        (_CUT, ['LOST']),
        ({**_NO_ANSWER, 'end': 'late', 'ended_s': 16.5}, ['CONFIG']),
    ],
)
def test_hangup_excuses_nothing(fields, found):
    hangup = Disturbance('hangup', 0, 9.5, 9.5)
    assert rules(make_history(fields, disturbances=[hangup])) == found


# Guards against clients left waiting.
@pytest.mark.parametrize(
    ('disturbances', 'found'),
    [([], ['CONFIG']), ([Disturbance('freeze', 1, 9.0, 11.0)], [])],
)
def test_missing_answer_is_late_unless_nodes_were_disturbed(
    disturbances, found
):
    fields = {**_NO_ANSWER, 'end': 'late', 'ended_s': 16.5}
    assert rules(make_history(fields, disturbances=disturbances)) == found


# Guards against withdrawn keys that are accepted beyond the bound.
@pytest.mark.parametrize(
    ('withdrawn_s', 'disturbances', 'found'),
    [
        (7.4, [], ['CONFIG']),
        (7.6, [], []),
        (7.4, [Disturbance('store', None, 6.9, 6.9)], ['CONFIG']),
        (7.4, [Disturbance('store', None, 7.1, 7.1)], []),
        (7.4, [Disturbance('freeze', 0, 6.0, 7.1)], []),
        (7.4, [Disturbance('freeze', 1, 6.0, 7.1)], ['CONFIG']),
    ],
)
def test_withdrawn_key_is_accepted_no_longer(withdrawn_s, disturbances, found):
    history = make_history(
        {'key': 'guest-key'},
        disturbances=disturbances,
        keys={'guest-key': KeyLife(1.0, withdrawn_s)},
    )
    assert rules(history) == found


# Guards against keys in force that are not accepted, or too soon expected.
@pytest.mark.parametrize(
    ('life', 'found'),
    [
        (KeyLife(7.4), ['DENIED']),
        (KeyLife(7.6), []),
        (KeyLife(1.0, 10.4), []),
    ],
)
def test_key_in_force_is_accepted(life, found):
    fields = {**_NO_ANSWER, 'key': 'guest-key', 'status': 401}
    assert rules(make_history(fields, keys={'guest-key': life})) == found


# Guards against memory over the limit that is not noticed.
@pytest.mark.parametrize(
    ('disturbances', 'found'),
    [
        ([], ['Fault']),
        ([Disturbance('memory', 0, 10.0, 11.0)], ['Fault']),
        ([Disturbance('freeze', 0, 9.5, 9.9)], []),
    ],
)
def test_process_over_its_memory_is_a_fault(disturbances, found):
    history = make_history(memory_ends=[(0, 10.0)], disturbances=disturbances)
    assert rules(history) == found


# Guards against ends of requests that no cause of the node explains.
def test_end_without_a_listed_cause_is_a_fault():
    assert rules(make_history(unlisted_ends=['why=unlisted'])) == ['Fault']
