"""Command ``latency``: latency that nodes add, measured against a baseline."""

import asyncio
import configparser
import dataclasses
import itertools
import statistics
import sys
from collections.abc import Sequence

import uvloop

from chivelead_standins._internal.fleet import Fleet
from chivelead_standins._internal.layout import (
    NodePlan,
    free_ports,
    plan_layout,
)
from chivelead_standins._internal.load_generator import (
    LoadGenerator,
    RequestStream,
)
from chivelead_standins._internal.usage import clock_ticks_per_s, cpu_ticks

_LAYOUT = """
[failure_domain here]
region = here

[service front]
instances = 1
slots = 75
connections = 550
service_ms = 2

[route:front any]
method = GET
path = /
importance = 5
idempotent = yes
timeout_ms = 2000

[service back]
instances = 1
slots = 75
connections = 550
service_ms = 2

[route:back any]
method = GET
path = /
importance = 5
idempotent = yes
timeout_ms = 2000

[organisation all]
rate_per_s = 100000
burst_requests = 100000
"""
_PERCENT = 100
_MS_PER_S = 1000
_RELAY_STARTUP_S = 6


@dataclasses.dataclass(frozen=True)
class _RelayPorts:
    """Ports of the two processes of the bare relay; see command ``relay``."""

    front: int
    back: int


@dataclasses.dataclass(frozen=True)
class Load:
    """Load on each path."""

    rate_per_s: int
    duration_s: float
    seed: int


def latency(
    *,
    rates_per_s: Sequence[int] = (50, 200),
    duration_s: float = 10,
    seed: int = 7,
) -> None:
    """Measure the latency that nodes add to direct calls.

    At each rate, calls are sent concurrently on four paths: directly to the
    target, through a relay that uses the same libraries but makes no
    admission or routing decisions, through the node of the target, and
    through another node as well.

    Args:
        rates_per_s: Rates of each of the four streams.
        duration_s: Duration at each rate.
        seed: Random seed of the arrival times.
    """
    uvloop.run(_measure(rates_per_s, duration_s, seed))


async def _measure(
    rates_per_s: Sequence[int],
    duration_s: float,
    seed: int,
) -> None:
    parser = configparser.ConfigParser()
    parser.read_string(_LAYOUT)
    layout = plan_layout(parser)
    fleet = Fleet(layout, start_targets=False)
    relay = _RelayPorts(*itertools.islice(free_ports(), 2))
    processes: list[asyncio.subprocess.Process] = []
    try:
        for node in layout.nodes:
            processes.append(await _start_target(node))
        processes.extend(await _start_relay(relay, layout.nodes[-1]))
        await fleet.start()
        for rate_per_s in rates_per_s:
            await _measure_rate(
                fleet,
                relay,
                Load(rate_per_s, duration_s, seed),
            )
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        await fleet.close()


async def _start_command(*arguments: object) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'chivelead_standins',
        *map(str, arguments),
    )


async def _start_target(node: NodePlan) -> asyncio.subprocess.Process:
    return await _start_command(
        'target',
        '--service',
        node.service,
        '--port',
        node.target_port,
        '--local-port',
        node.local_port,
    )


async def _start_relay(
    relay: _RelayPorts,
    node: NodePlan,
) -> tuple[asyncio.subprocess.Process, ...]:
    """Start the two processes of the bare relay to a node's target."""
    arguments = ('relay', '--back-port', relay.back)
    back = await _start_command(*arguments, '--target-port', node.target_port)
    # The front process does not retry its connection to the back process.
    await asyncio.sleep(_RELAY_STARTUP_S)
    front = await _start_command(*arguments, '--front-port', relay.front)
    return back, front


async def _measure_rate(
    fleet: Fleet,
    relay: _RelayPorts,
    load: Load,
) -> None:
    layout = fleet.layout
    front, back = layout.nodes
    organisation = layout.organisations[0]
    entry_url_by_path = {
        'direct': f'http://127.0.0.1:{back.target_port}',
        'bare-relay': f'http://127.0.0.1:{relay.front}',
        'one-node': f'http://127.0.0.1:{back.caller_port}',
        'two-nodes': f'http://127.0.0.1:{front.caller_port}',
    }
    streams = [
        RequestStream(
            organisation=name,
            key=organisation.key,
            service='back',
            method='GET',
            path='/any',
            importance=5,
            rate_per_s=load.rate_per_s,
            timeout_ms=2000,
            entry_urls=(entry_url,),
        )
        for name, entry_url in entry_url_by_path.items()
    ]
    load_generator = LoadGenerator(load.seed)
    await load_generator.start()
    await load_generator.run(streams, 2)
    load_generator.records.clear()
    before = _cpu_ms(fleet)
    await load_generator.run(streams, load.duration_s)
    await load_generator.close()
    used_ms = {
        vm: time_ms - before[vm] for vm, time_ms in _cpu_ms(fleet).items()
    }
    latencies_ms = {
        name: sorted(
            record.ended_ms - record.sent_ms
            for record in load_generator.records
            if record.organisation == name and record.valid
        )
        for name in entry_url_by_path
    }
    _report(load.rate_per_s, latencies_ms)
    # Calls on path two-nodes pass both nodes, those on one-node only back.
    front_ms = used_ms[front.vm] / len(latencies_ms['two-nodes'])
    back_calls = len(latencies_ms['two-nodes']) + len(latencies_ms['one-node'])
    sys.stdout.write(
        f'rate_per_s={load.rate_per_s} front_cpu_ms_per_call={front_ms:.2f} '
        f'back_cpu_ms_per_call={used_ms[back.vm] / back_calls:.2f}\n',
    )


def _cpu_ms(fleet: Fleet) -> dict[str, float]:
    """Return the CPU time of each node in ms, by VM."""
    return {
        vm: cpu_ticks(process.pid) * _MS_PER_S / clock_ticks_per_s()
        for vm, process in fleet.processes.items()
    }


def _report(rate_per_s: int, latencies_ms: dict[str, list[float]]) -> None:
    direct = {
        'p50': statistics.median(latencies_ms['direct']),
        'p99': _percentile(latencies_ms['direct'], 99),
    }
    for name, sample in latencies_ms.items():
        p50 = statistics.median(sample)
        p99 = _percentile(sample, 99)
        sys.stdout.write(
            f'rate_per_s={rate_per_s} path={name} calls={len(sample)} '
            f'p50_ms={p50:.2f} p99_ms={p99:.2f} '
            f'added_p50_ms={p50 - direct["p50"]:.2f} '
            f'added_p99_ms={p99 - direct["p99"]:.2f}\n',
        )


def _percentile(sample: list[float], percent: int) -> float:
    index = min(len(sample) - 1, len(sample) * percent // _PERCENT)
    return sample[index]
