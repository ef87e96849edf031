"""Tests of node processes: the causes of ends that operators see."""

import asyncio
import sys

import pytest
from lib.node_process import METRICS_PORT, running_processes
from lib.platform_fleet import wait_until

_WORK_S = 0.6


@pytest.fixture
async def fleet():
    """Run three nodes, one beside each target."""
    async with running_processes('stock', 'stock', 'orders') as running:
        running.targets[2].response_delay_s = _WORK_S
        yield running


async def reset_at_work(fleet):
    """Reset a connection at the first node while its request is at work."""
    client = await fleet.connect(0)
    request_id = await client.send_request('POST', '/book/x')
    await asyncio.sleep(_WORK_S / 2)
    client.close(reset=True)
    return request_id


async def print_status(node):
    """Return what the operators' command prints for a fleet."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from chivelead_cli._internal.main import main; main()',
        'status',
        f'{node.ip}:{node.peer_port}',
        '--no-secret',
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return output.decode()


# Guards against ends of requests that only the log of one process knows, which
# may be lost: the counts outlive a planned stop.
async def test_causes_are_shown_for_the_fleet_also_after_a_stop(fleet):
    request_id = await reset_at_work(fleet)
    await wait_until(lambda: fleet.nodes[0].log_lines('answer-cut'))
    line = fleet.nodes[0].log_lines('answer-cut')[0]
    for field in (request_id, 'stage=passed-on', 'vms=vm-2', 'caller-reset'):
        assert field in line
    metrics = await fleet.get_text(fleet.nodes[0], METRICS_PORT, '/metrics')
    assert 'chivelead_unanswered_total{cause="caller-reset"} 1.0' in metrics
    assert 'chivelead_unanswered_total{cause="unlisted"} 0.0' in metrics
    status = await print_status(fleet.nodes[1])
    assert status.count('vm=') == len(fleet.nodes)
    assert 'fleet unanswered=caller-reset:1\n' in status
    assert await fleet.nodes[0].terminate() == 0
    status = await print_status(fleet.nodes[1])
    assert status.count('vm=') == len(fleet.nodes) - 1
    assert 'fleet unanswered=caller-reset:1\n' in status
