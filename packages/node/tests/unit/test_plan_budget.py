"""Parts of the time in which a new plan must take effect."""

import pytest
from chivelead_coordination._internal.store_connections import MAX_IDLE_MS
from chivelead_node._internal.proxy import fleet_reporter
from chivelead_node._internal.proxy.plan_budget import PlanBudget

# A call to the store and two between nodes.
CALLS_MS = 150


# Guards against parts that grow one by one until a plan takes effect too late.
@pytest.mark.parametrize('bound_ms', [2500, 4000, 9000])
def test_parts_fit_into_the_bound_with_a_silent_connection(bound_ms):
    budget = PlanBudget(bound_ms)
    report_ms = fleet_reporter._REPORT_PERIOD_S * 1000
    report_ms *= 1 + fleet_reporter._MAX_JITTER
    # A sound connection may be followed by one that has been silent and idle.
    found_ms = MAX_IDLE_MS + budget.watch_ms + budget.response_ms
    assert found_ms + CALLS_MS + report_ms <= bound_ms
    assert report_ms + CALLS_MS <= budget.spread_ms
