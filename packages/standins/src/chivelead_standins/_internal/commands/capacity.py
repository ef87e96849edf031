"""Command ``capacity``: resource usage of idle nodes by fleet size."""

import asyncio
import configparser
import dataclasses
import statistics
import sys
from collections.abc import Sequence

import uvloop
from chivelead_cli import view_fleet

from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import plan_layout
from chivelead_standins._internal.scenarios import FLEET_SECRET
from chivelead_standins._internal.usage import (
    clock_ticks_per_s,
    cpu_ticks,
    resident_mb,
)

_DOMAIN_COUNT = 7
_SERVICE_COUNT = 4
_PROJECTED_NODES = 580
_READY_TIMEOUT_S = 240


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage per node in one fleet.

    Attributes:
        nodes: Size of the fleet.
        cpu_percent: Mean CPU usage, in percent of one core.
        cpu_most_percent: Largest CPU usage, in percent of one core.
        resident_mb: Largest resident memory in MiB.
        sent_bytes_per_s: Mean traffic sent to other nodes.
        sent_most_bytes_per_s: Largest traffic sent to other nodes.
        store_calls_per_s: Store requests of the whole fleet.
    """

    nodes: int
    cpu_percent: float
    cpu_most_percent: float
    resident_mb: float
    sent_bytes_per_s: float
    sent_most_bytes_per_s: float
    store_calls_per_s: float


def capacity(
    *,
    sizes: Sequence[int] = (14, 28, 56),
    settle_s: float = 15,
    measure_s: float = 20,
) -> None:
    """Measure idle fleets of several sizes, and extrapolate linearly.

    Args:
        sizes: Fleet sizes; every node is a process on this machine.
        settle_s: Wait between the start of all nodes and the measurement.
        measure_s: Duration of the measurement.
    """
    usages = []
    for node_count in sizes:
        usage = uvloop.run(_measure(node_count, settle_s, measure_s))
        usages.append(usage)
        _print_usage(usage)
    if len(usages) > 1:
        _print_slopes(usages)


async def _measure(node_count: int, settle_s: float, measure_s: float) -> Usage:
    fleet = Fleet(plan_layout(_build_layout(node_count)), start_targets=True)
    try:
        await fleet.start(_READY_TIMEOUT_S)
        await asyncio.sleep(settle_s)
        before = await _sample(fleet)
        calls_before = sum(fleet.store_server.call_counts.values())
        await asyncio.sleep(measure_s)
        after = await _sample(fleet)
        calls = sum(fleet.store_server.call_counts.values()) - calls_before
    finally:
        await fleet.close()
    cpu_percents = [
        (after[vm][0] - before[vm][0]) / clock_ticks_per_s() / measure_s * 100
        for vm in after
    ]
    sent_rates = [(after[vm][2] - before[vm][2]) / measure_s for vm in after]
    return Usage(
        nodes=node_count,
        cpu_percent=statistics.mean(cpu_percents),
        cpu_most_percent=max(cpu_percents),
        resident_mb=max(sample[1] for sample in after.values()),
        sent_bytes_per_s=statistics.mean(sent_rates),
        sent_most_bytes_per_s=max(sent_rates),
        store_calls_per_s=calls / measure_s,
    )


async def _sample(fleet: Fleet) -> dict[str, tuple[int, float, int]]:
    """Return CPU ticks, resident MiB and bytes sent, by VM."""
    addresses = [('127.0.0.1', fleet.layout.nodes[0].peer_port)]
    view = await view_fleet(addresses, FLEET_SECRET)
    samples = {}
    for report in view.reports:
        pid = fleet.processes[report.vm].pid
        samples[report.vm] = (
            cpu_ticks(pid),
            resident_mb(pid),
            int(dict(report.fields)['bytes_sent']),
        )
    return samples


def _build_layout(node_count: int) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    for number in range(_DOMAIN_COUNT):
        region = 'north' if number % 2 else 'south'
        parser[f'failure_domain d{number}'] = {'region': region}
    for number in range(_SERVICE_COUNT):
        name = f's{number}'
        parser[f'service {name}'] = {
            'instances': str(node_count // _SERVICE_COUNT),
            'slots': '50',
            'connections': '200',
            'service_ms': '5',
        }
        parser[f'route:{name} ready'] = {
            'method': 'GET',
            'path': '/ready',
            'importance': '5',
            'idempotent': 'yes',
            'timeout_ms': '2000',
        }
    parser['organisation all'] = {'rate_per_s': '1000', 'burst_requests': '500'}
    return parser


def _print_usage(usage: Usage) -> None:
    sys.stdout.write(
        f'nodes={usage.nodes} cpu_percent={usage.cpu_percent:.2f} '
        f'cpu_most_percent={usage.cpu_most_percent:.2f} '
        f'resident_mb={usage.resident_mb:.0f} '
        f'sent_bytes_per_s={usage.sent_bytes_per_s:.0f} '
        f'sent_most_bytes_per_s={usage.sent_most_bytes_per_s:.0f} '
        f'store_calls_per_s={usage.store_calls_per_s:.1f}\n',
    )
    sys.stdout.flush()


def _print_slopes(usages: list[Usage]) -> None:
    """Print linear fits over fleet size, and extrapolate them."""
    sizes = [usage.nodes for usage in usages]
    for name in (
        'cpu_percent',
        'resident_mb',
        'sent_bytes_per_s',
        'sent_most_bytes_per_s',
        'store_calls_per_s',
    ):
        line = statistics.linear_regression(
            sizes,
            [getattr(usage, name) for usage in usages],
        )
        projected = line.intercept + line.slope * _PROJECTED_NODES
        sys.stdout.write(
            f'figure={name} per_node={line.slope:.4f} '
            f'base={line.intercept:.2f} '
            f'at_{_PROJECTED_NODES}={projected:.1f}\n',
        )
