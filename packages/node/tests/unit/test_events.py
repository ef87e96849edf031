"""Tests of the event log: the length of what it keeps and writes."""

import eliot
import pytest
from chivelead_node._internal.events import EventLog
from chivelead_protocol import HybridClock


@pytest.fixture
def lines():
    """Collect the lines that are written to the log."""
    written = []
    eliot.add_destinations(written.append)
    yield written
    eliot.remove_destination(written.append)


# Guards against log lines and events that hold all that a client has sent.
async def test_fields_are_cut_off_where_they_get_long(lines):
    events = EventLog('vm-1', HybridClock(), 10, log_calls=False)
    events.record_decision('failed', 'refused', 'x' * 9000, why='y' * 9000)
    assert len(lines[0]['request_id']) <= 1000
    assert len(lines[0]['why']) <= 1000
    (kept,) = events.recent('', 10)
    assert all(len(field) <= 1000 for _, field in kept.fields)
