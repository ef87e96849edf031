"""A soak of the request path: node processes, and disturbances at random."""

import asyncio
import collections
import contextlib
import functools
import json
import random
import signal
import time
from concurrent import futures

from lib.fake_platform import make_plan_text
from lib.loopback_proxy import LoopbackProxy, cancel_all
from lib.node_process import ProcessFleet
from lib.request_soak_builds import new_build_clients
from lib.request_soak_check import (
    CONFIG_S,
    STABLE_S,
    Disturbance,
    History,
    KeyLife,
)
from lib.request_soak_clients import new_client
from lib.request_soak_crossing import HABITS, new_crossing_client
from lib.request_soak_logs import keep_logs, read_unlisted_ends
from lib.request_soak_targets import RawTarget, happens

_SOAK_S = 14.0
_SETTLING_S = 3.0
_CLOSING_S = 0.2
_CLIENTS_PER_NODE = 6
_MEMORY_LIMIT_MB = 300
_MEMORY_PERIOD_S = 0.02
_PROBE_PERIOD_S = 0.08
_MAX_BODY_BYTES = 67_108_864
_UPLOAD_SIZES = (2_000_000, 10_000_000, 40_000_000, 40_000_000)
# Clients get no new work of a node that has not been ready twice.
_UNREADY_S = 2.0
_ROUTES = (
    ('/read/', 'stock', 'safe', {'timeout_ms': 5000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 5000}),
    ('/put/', 'orders', 'upload', {'timeout_ms': 5000}),
)
# Routes that targets call.
_CALLEES = (
    ('/item/', 'stock', 'safe', {'timeout_ms': 5000, 'allow_anonymous': True}),
    (
        '/hold/',
        'orders',
        'unsafe',
        {'timeout_ms': 5000, 'allow_anonymous': True},
    ),
)
# Of a fleet of the size that users run.
_FLEET_SERVICES = ('stock', 'orders', 'bales', 'members') * 4
_FLEET_ROUTES = (
    ('/bales/', 'bales', 'safe', {'timeout_ms': 5000}),
    ('/members/', 'members', 'unsafe', {'timeout_ms': 5000}),
)
_FLEET_DOMAINS = ('z1', 'z2', 'z3', 'z4')
_MOST_CLIENT_DELAY_S = 0.03
_LONGEST_DOWN_S = 5.0
_FAMILIES = ('kill', 'freeze', 'harm_target', 'upload')
_FLEET_FAMILIES = (
    'stop',
    'stop',
    'stop',
    'hangup',
    'edit',
    'kill',
    'freeze',
    'harm_target',
    'harm_store',
)
# Planned work, at any time and beside the others.
_PLANNED_FAMILIES = ('hangup', 'stop', 'edit')


class RequestSoak:
    """Disturb a fleet of node processes at random, beside clients.

    Args:
        seed: Chooses the fleet, the disturbances and what clients do.
        is_large: Whether to run a fleet of the size that users run, with all
            disturbances and stops that overlap.
    """

    def __init__(self, seed, *, is_large=False):
        """Create the fleet without starting it."""
        self.history = History()
        self._seed = seed
        self._random = random.Random(seed)
        # Of its own, so that what else a seed chooses stays the same.
        self._planned_random = random.Random(f'{seed}-planned')
        self._is_large = is_large
        if is_large:
            services = _FLEET_SERVICES
            self.families = list(_FLEET_FAMILIES)
            self._victims = list(range(len(services)))
            self._domains = _FLEET_DOMAINS
        else:
            services = self._choose()
        self._routes = (*_ROUTES, *_FLEET_ROUTES) if is_large else _ROUTES
        self.prefixes = [route[0] for route in self._routes]
        self.callees = [route[0] for route in _CALLEES]
        self._fleet = ProcessFleet(
            *services,
            make_target=functools.partial(RawTarget, soak=self),
            failure_domains=self._domains,
            make_store_proxy=LoopbackProxy,
        )
        self.client_proxies = [
            LoopbackProxy(node.callers_port, node.ip) for node in self.nodes
        ]
        self._started_s = time.monotonic()
        # For the clients that block one each.
        self.threads = futures.ThreadPoolExecutor(2 * len(self.nodes))
        self.is_over = False
        self._busy = set()
        self._stopping = set()
        self._gone = set()
        self._closed = {}
        self._version = 5
        self._guest_key = ''
        self._peak_mb = 0
        self._store_harmed_s = -STABLE_S
        self._harms_store = not is_large and happens(self._random, 50)
        self._plan_key = 'another-key'

    @property
    def nodes(self):
        """Return the node processes."""
        return self._fleet.nodes

    def now_s(self):
        """Return the time since the start of the soak."""
        return time.monotonic() - self._started_s

    async def call(self, node, prefix, deadline_s):
        """Call a route for a target; return whether the call succeeded."""
        return await new_client(self, node, None).call(prefix, deadline_s)

    def is_open(self, node):
        """Return whether clients send new requests to a node."""
        closing_s = self._closed.get(node)
        return closing_s is None or self.now_s() < closing_s

    def is_reachable(self, node):
        """Return whether a node accepts connections."""
        return node not in self._gone

    def is_stopping(self, node):
        """Return whether a planned stop of a node is under way."""
        return node in self._stopping

    async def run(self):
        """Run the soak to its end."""
        try:
            await self._fleet.start(plan_text=self._make_plan_text())
            for proxy in self.client_proxies:
                proxy.delay_s = (
                    self._planned_random.random() * _MOST_CLIENT_DELAY_S
                )
                await proxy.start()
            self.history.disturbances.append(
                Disturbance('start', None, 0, self.now_s())
            )
            await self._run_tasks()
            self.history.unlisted_ends = await read_unlisted_ends(self._fleet)
        finally:
            await self._close()

    def summary(self):
        """Return a line on what was done and seen."""
        ends = collections.Counter(
            f'{call.end} {call.status}' for call in self.history.calls.values()
        )
        kinds = collections.Counter(
            disturbance.kind for disturbance in self.history.disturbances
        )
        return (
            f'seed {self._seed}: {len(self.nodes)} nodes in {self._domains}, '
            f'{self.families}, '
            f'victims {self._victims}, store {self._harms_store}, '
            f'disturbances {dict(kinds)}, ends {dict(ends)}, '
            f'most memory {self._peak_mb:.0f} MB'
        )

    def _choose(self):
        """Choose what happens to a small fleet; return its services."""
        node_count = self._random.choice((2, 2, 2, 3, 4))
        self.families = self._random.sample(
            _FAMILIES, self._random.randint(0, 2)
        )
        if happens(self._random, 50):
            self.families.append('stop')
        # The others stay in touch, so that bounds in time hold for them.
        self._victims = self._random.sample(
            range(node_count), self._random.randint(1, node_count)
        )
        self._domains = self._random.choice(
            (('z1', 'z2'), ('z1', 'z2'), ('z1',))
        )
        self.families.extend(
            family
            for family in _PLANNED_FAMILIES
            if family not in self.families and happens(self._planned_random, 50)
        )
        return ('stock', 'orders', 'stock', 'orders')[:node_count]

    async def _close(self):
        keep_logs(self.nodes, self.history, self._seed)
        for proxy in self.client_proxies:
            if proxy.is_started:
                await proxy.close()
        await self._fleet.close()
        await asyncio.to_thread(self.threads.shutdown)
        # Transports end after their connections were closed.
        await asyncio.sleep(_CLOSING_S)

    async def _run_tasks(self):
        watching = [
            asyncio.create_task(self._watch_memory(index))
            for index, _ in enumerate(self.nodes)
        ]
        clients = [
            asyncio.create_task(client.run_forever())
            for index, _ in enumerate(self.nodes)
            for client in (
                new_client(self, index, f'{self._seed}-{index}-{number}')
                for number in range(_CLIENTS_PER_NODE)
            )
        ]
        clients.extend(
            asyncio.create_task(
                new_crossing_client(
                    self, index, f'{self._seed}-{index}-{habit}', habit
                ).run_forever()
            )
            for index, _ in enumerate(self.nodes)
            for habit in HABITS
        )
        clients.extend(
            asyncio.create_task(client.run_forever())
            for index, _ in enumerate(self.nodes)
            for client in new_build_clients(self, index, self._seed)
        )
        clients.append(asyncio.create_task(self._probe_forever()))
        disturbing = [
            asyncio.create_task(self._repeat(name)) for name in self.families
        ]
        disturbing.append(asyncio.create_task(self._edit_plans()))
        tasks = (*watching, *clients, *disturbing)
        try:
            await asyncio.sleep(_SOAK_S)
            await asyncio.wait(disturbing)
            await asyncio.sleep(_SETTLING_S)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            self.is_over = True
            await cancel_all(tasks)

    async def _repeat(self, family):
        """Disturb at random moments until the time is over."""
        while self._is_on():
            await asyncio.sleep(self._random.random() * 3)
            free = set(self._victims) - self._busy
            if free:
                node = self._random.choice(sorted(free))
                await getattr(self, f'_{family}')(node)

    def _is_on(self):
        return self.now_s() < self.history.disturbances[0].end_s + _SOAK_S

    @contextlib.asynccontextmanager
    async def _disturbing(self, kind, node):
        disturbance = Disturbance(kind, node, self.now_s())
        self.history.disturbances.append(disturbance)
        self._busy.add(node)
        try:
            yield
        finally:
            disturbance.end_s = self.now_s()
            self._busy.discard(node)

    async def _stop(self, node):
        """Stop a process as planned work does, and start it again.

        At times there is a second signal, or it is stopped within a second of
        its start.
        """
        rng = self._planned_random
        signals = (signal.SIGTERM, signal.SIGHUP)
        await self._stop_once(
            node, rng.choice(signals) if happens(rng, 40) else None
        )
        if happens(rng, 30):
            async with self._disturbing('start', node):
                await self.nodes[node].start(first_start=False)
                await asyncio.sleep(rng.random())
            await self._stop_once(node)
        await self._start_again(node)

    async def _stop_once(self, node, second_signal=None):
        async with self._disturbing('stop', node):
            self._closed[node] = self.now_s() + _UNREADY_S
            self._stopping.add(node)
            ending = asyncio.create_task(self.nodes[node].terminate())
            if second_signal is not None:
                await asyncio.sleep(self._planned_random.random() * 3)
                self.nodes[node].send_signal(second_signal)
            await ending
        self._stopping.discard(node)
        self._gone.add(node)

    async def _hangup(self, node):
        """Tell a process that its settings have changed."""
        now_s = self.now_s()
        self.history.disturbances.append(
            Disturbance('hangup', node, now_s, now_s)
        )
        self.nodes[node].send_signal(signal.SIGHUP)

    async def _edit(self, node):
        """Add a route, most often while a node stops."""
        if any(map(self.is_stopping, self._victims)) or happens(
            self._planned_random, 20
        ):
            self._put_plan(self._plan_key)

    async def _kill(self, node):
        async with self._disturbing('kill', node):
            self._gone.add(node)
            self.nodes[node].send_signal(signal.SIGKILL)
            await self.nodes[node].wait()
        await self._start_again(node)

    async def _freeze(self, node):
        async with self._disturbing('freeze', node):
            self.nodes[node].send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.random() * 3)
            self.nodes[node].send_signal(signal.SIGCONT)

    async def _harm_target(self, node):
        proxy = self.nodes[node].target.proxy
        async with self._disturbing('target', node):
            if happens(self._random, 50):
                proxy.reset()
            else:
                proxy.silence(self._random, 0.7)
            await asyncio.sleep(0.5)

    async def _upload(self, node):
        """Send some large uploads at once."""
        sending = []
        for _ in range(self._random.randint(2, 5)):
            client = new_client(self, node, self._random.random())
            size = self._random.choice(_UPLOAD_SIZES)
            sending.append(client.upload(size, happens(self._random, 50)))
        await asyncio.gather(*sending)

    async def _harm_store(self, _=None):
        """Harm the connections to the store, which large fleets also lose."""
        if self.now_s() < self._store_harmed_s + STABLE_S + 1:
            return
        self._store_harmed_s = self.now_s()
        how = self._random.choice(
            ('silent',) * 4 + ('reset', 'slow') + ('down',) * 3 * self._is_large
        )
        if how == 'down':
            async with self._disturbing('store', None):
                self._fleet.store.error_status = 503
                await asyncio.sleep(self._random.random() * _LONGEST_DOWN_S)
                self._fleet.store.error_status = 0
            return
        if how == 'slow':
            await self._slow_store_down()
            return
        self.history.disturbances.append(
            Disturbance(
                'store', None, self._store_harmed_s, self._store_harmed_s
            )
        )
        if how == 'reset':
            self._fleet.store_proxy.reset()
            return
        self._fleet.store_proxy.silence(
            self._random,
            self._random.choice((0.5, 0.8, 1, 1)),
            self._random.choice(((0, 1), (0,), (1,))),
        )

    async def _slow_store_down(self):
        proxy = self._fleet.store_proxy
        async with self._disturbing('store', None):
            proxy.delay_s = self._random.random() * 0.2
            proxy.rate_bytes_per_s = 200_000
            await asyncio.sleep(self._random.random() * 2)
            proxy.delay_s = 0.0
            proxy.rate_bytes_per_s = 0

    async def _start_again(self, node):
        async with self._disturbing('start', node):
            await self.nodes[node].start(first_start=False)
            await self._fleet.wait_until_ready(self.nodes[node])
        self._closed.pop(node, None)
        self._gone.discard(node)

    async def _watch_memory(self, node):
        """End a process that exceeds the memory limit."""
        while True:
            await asyncio.sleep(_MEMORY_PERIOD_S)
            used_mb = 0
            if self.nodes[node].is_running():
                with contextlib.suppress(OSError):
                    used_mb = self.nodes[node].memory_mb()
            self._peak_mb = max(self._peak_mb, used_mb)
            if used_mb > _MEMORY_LIMIT_MB:
                self.history.memory_ends.append((node, self.now_s()))
                await self._end_over_memory(node)

    async def _end_over_memory(self, node):
        # A process that is being stopped or started is started by others.
        is_free = node not in self._busy
        async with self._disturbing('memory', node):
            self._gone.add(node)
            self.nodes[node].send_signal(signal.SIGKILL)
            await self.nodes[node].wait()
        if is_free:
            await self._start_again(node)

    async def _edit_plans(self):
        """Add keys, withdraw them, and edit other parts between."""
        number = 0
        while self._is_on():
            number += 1
            guest_key = f'guest-key-{number}'
            await self._write_plan(guest_key)
            self.history.keys[guest_key] = KeyLife(self.now_s())
            self._guest_key = guest_key
            await asyncio.sleep(1 + self._random.random() * 4)
            if happens(self._random, 50):
                await self._write_plan(guest_key)
            await self._write_plan('another-key')
            life = self.history.keys[guest_key]
            life.withdrawn_s = self.now_s()
            await asyncio.sleep(3.2 + self._random.random())

    async def _write_plan(self, guest_key):
        """Write a plan; at times the store is harmed shortly before."""
        if self._harms_store and happens(self._random, 80):
            await self._harm_store()
        await asyncio.sleep(self._random.random())
        self._put_plan(guest_key)

    def _put_plan(self, guest_key):
        self._plan_key = guest_key
        self._version += self._random.randint(1, 9)
        now_s = self.now_s()
        self.history.disturbances.append(
            Disturbance('edit', None, now_s, now_s + CONFIG_S + 1)
        )
        self._fleet.store.put('op/config', self._make_plan_text(guest_key))

    def _make_plan_text(self, guest_key='another-key'):
        routes = (
            *self._routes,
            *_CALLEES,
            (f'/new-{self._version}/', 'stock', 'safe', {}),
        )
        organisations = (('mill', 'mill-key', {}), ('guest', guest_key, {}))
        plan = json.loads(make_plan_text(self._version, routes, organisations))
        for resource in plan['resources']:
            if resource['type_url'] == 'limits':
                resource['spec']['max_body_bytes'] = _MAX_BODY_BYTES
        return json.dumps(plan)

    async def _probe_forever(self):
        """Ask each node again and again with the key of a guest."""
        clients = [
            new_client(self, index, self._seed)
            for index, _ in enumerate(self.nodes)
        ]
        async with asyncio.TaskGroup() as group:
            for index, client in enumerate(clients):
                group.create_task(self._probe_node(index, client))

    async def _probe_node(self, node, client):
        while True:
            if self._guest_key and self.is_open(node):
                await client.probe(self._guest_key)
            await asyncio.sleep(_PROBE_PERIOD_S)
