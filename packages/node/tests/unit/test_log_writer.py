"""The log output is rate limited and does not block on a slow reader."""

import asyncio
import json
import logging
import os

import eliot
import pytest
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.nonblocking_output import NonBlockingHandler
from chivelead_protocol import HybridClock


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


async def test_each_event_is_one_line_of_pairs(pipe):
    writer = LogWriter(pipe[1])
    await writer.start()
    eliot.log_message('seen', why='two words\nand "more"', count=3)
    await writer.close()
    line = os.read(pipe[0], 10_000).decode()
    assert line.count('\n') == 1
    assert json.dumps('two words\nand "more"') in line
    assert line.startswith('time=')


async def test_lines_of_served_requests_are_dropped_before_failed_ones(pipe):
    writer = LogWriter(pipe[1])
    await writer.start()
    events = EventLog(
        'vm',
        HybridClock(),
        10,
        log_calls=False,
        allow_line=writer.allow_line,
    )
    for number in range(100):
        events.record_decision('served', 'request-ended', f's{number}')
        events.record_decision('failed', 'request-ended', f'f{number}')
    await writer.close()
    text = os.read(pipe[0], 100_000).decode()
    assert text.count('request_id=f') == 100
    # The limit resets each second, which may happen during the loop.
    assert text.count('request_id=s') in {40, 80}
    assert text.count('request_id=s') + writer.dropped_lines == 100


async def test_stalled_reader_does_not_block_the_writer(pipe):
    writer = LogWriter(pipe[1])
    await writer.start()
    async with asyncio.timeout(5):
        for _ in range(3000):
            eliot.log_message('seen', text='x' * 100)
        await asyncio.sleep(0.3)
    await writer.close()


# Guards against a process that waits for the reader of its warnings.
async def test_stalled_reader_does_not_block_log_records(pipe):
    handler = NonBlockingHandler(pipe[1])
    async with asyncio.timeout(5):
        for number in range(10_000):
            handler.handle(
                logging.makeLogRecord({'msg': f'{number} {"x" * 100}'})
            )
    text = os.read(pipe[0], 200_000).decode()
    assert text.startswith('0 x')
