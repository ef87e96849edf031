"""Checkers report violations in small histories, and no false positives."""

import dataclasses

from chivelead_standins import CallRecord, ExecutionRecord, History
from chivelead_standins._internal import checkers

CALL = CallRecord(
    trace_id='t1',
    organisation='mill',
    service='stock',
    importance=5,
    entry_url='here',
    sent_ms=100,
    ended_ms=130,
    status=200,
    outcome='done',
    reason='',
    valid=True,
)
EXECUTION = ExecutionRecord(
    trace_id='t1',
    request_id='r1',
    organisation='mill',
    service='stock',
    vm='stock-1',
    started_ms=110,
    ended_ms=120,
    finished=True,
    received_key=False,
    draining=False,
)


def with_call(**changes):
    """Return a history of one execution and one modified call."""
    return History((dataclasses.replace(CALL, **changes),), (EXECUTION,))


def with_executions(*changes):
    """Return a history of one call and modified executions."""
    executions = tuple(
        dataclasses.replace(EXECUTION, **change) for change in changes
    )
    return History((CALL,), executions)


def test_good_history_has_no_violation():
    history = History((CALL,), (EXECUTION,))
    for check in checkers.CHECKERS.values():
        assert not check(history)


def test_key_at_a_target_is_found():
    assert checkers.check_key_exposure(with_executions({'received_key': True}))


def test_execution_for_another_organisation_is_found():
    assert checkers.check_organisation(
        with_executions({'organisation': 'yard'})
    )


def test_partial_answer_is_found():
    assert checkers.check_responses(with_call(valid=False))


def test_false_not_run_is_found():
    assert checkers.check_not_run(with_call(outcome='not-run', status=503))


def test_second_execution_of_a_key_is_found():
    with_key = {'idempotency_key': 'k1'}
    assert not checkers.check_idempotency(with_executions(with_key))
    assert checkers.check_idempotency(with_executions(with_key, with_key))


def test_rate_counts_only_calls_entirely_within_a_window():
    calls = tuple(
        dataclasses.replace(CALL, trace_id=f't{number}', sent_ms=100 + number)
        for number in range(6)
    )
    executions = tuple(
        dataclasses.replace(
            EXECUTION, trace_id=call.trace_id, started_ms=call.sent_ms + 5
        )
        for call in calls
    )
    history = History(calls, executions)
    assert not checkers.check_rate(history, 'mill', checkers.RateLimit(1, 6))
    assert checkers.check_rate(history, 'mill', checkers.RateLimit(1, 5))


def test_retries_are_counted_over_the_chain():
    first = {'service': 'one'}
    second = {'service': 'two'}
    chain = ('one', 'two')
    one_retry = with_executions(first, first, second, second)
    assert not checkers.check_retries(one_retry, chain, 1)
    two_retries = with_executions(first, first, second, second, second)
    assert checkers.check_retries(two_retries, chain, 1)


def test_less_important_request_admitted_instead_is_found():
    rejected = checkers.Decision('a', 200, 8, admitted=False, waited_ms=50)
    admitted_while_queued = checkers.Decision(
        'a', 170, 2, admitted=True, waited_ms=0
    )
    admitted_before_arrival = checkers.Decision(
        'a', 140, 2, admitted=True, waited_ms=0
    )
    admitted_later = checkers.Decision('a', 240, 2, admitted=True, waited_ms=90)
    assert not checkers.check_importance([rejected, admitted_before_arrival])
    assert checkers.check_importance([rejected, admitted_while_queued])
    assert checkers.check_importance([rejected, admitted_later])


def test_execution_after_draining_is_found():
    history = History((CALL,), (EXECUTION,))
    assert not checkers.check_draining(history, 'stock-1', 90, 30)
    assert checkers.check_draining(history, 'stock-1', 70, 30)


def test_use_of_a_withdrawn_key_is_found():
    assert not checkers.check_withdrawn_key([CALL], 90, 20)
    assert checkers.check_withdrawn_key([CALL], 70, 20)
