"""Tests of the fixture that runs nodes as processes."""

import random

import pytest
from lib.node_process import ProcessFleet, running_processes


# Guards against fleets of two runs of the tests on the same addresses: a test
# seeds the generator, and those after it get the same numbers in both runs.
def test_addresses_do_not_depend_on_the_seed_of_a_test():
    state = random.getstate()
    addresses = []
    for _ in range(2):
        random.seed(41)
        fleet = ProcessFleet('stock', 'stock', 'orders')
        addresses.append([node.ip for node in fleet.nodes])
    random.setstate(state)
    assert addresses[0] != addresses[1]


# Guards against a node that has ended and is taken for one that runs, since
# another process serves metrics at its address.
async def test_node_that_ended_is_reported():
    async with running_processes('stock') as other:
        fleet = ProcessFleet('stock')
        fleet.nodes[0].ip = other.nodes[0].ip
        fleet.nodes[0]._fields['ip'] = other.nodes[0].ip
        try:
            with pytest.raises(ChildProcessError, match='in use'):
                await fleet.start()
        finally:
            await fleet.close()
