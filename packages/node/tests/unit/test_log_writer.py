"""The log is bounded and does not wait for its reader."""

import asyncio
import json
import os

import eliot
import pytest
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.log_writer import LogWriter
from chivelead_protocol import HybridClock


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


async def test_lines_are_pairs_in_one_line_each(pipe):
    log = LogWriter(pipe[1])
    await log.start()
    eliot.log_message('seen', why='two words\nand "more"', count=3)
    await log.close()
    line = os.read(pipe[0], 10_000).decode()
    assert line.count('\n') == 1
    assert json.dumps('two words\nand "more"') in line
    assert line.startswith('time=')


async def test_served_requests_lose_their_lines_before_failed_ones(pipe):
    log = LogWriter(pipe[1])
    await log.start()
    events = EventLog(
        'vm',
        HybridClock(),
        10,
        log_calls=False,
        allow_line=log.allow_line,
    )
    for number in range(100):
        events.record_decision('served', 'request-ended', f's{number}')
        events.record_decision('failed', 'request-ended', f'f{number}')
    await log.close()
    text = os.read(pipe[0], 100_000).decode()
    assert text.count('request_id=f') == 100
    # The bound starts anew with each second, which may begin in between.
    assert text.count('request_id=s') in {40, 80}
    assert text.count('request_id=s') + log.dropped_lines == 100


async def test_a_reader_that_stops_holds_nothing_up(pipe):
    log = LogWriter(pipe[1])
    await log.start()
    async with asyncio.timeout(5):
        for _ in range(3000):
            eliot.log_message('seen', text='x' * 100)
        await asyncio.sleep(0.3)
    await log.close()
