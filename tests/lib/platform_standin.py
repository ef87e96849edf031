"""A small stand-in for the platform: its store and one target a VM."""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import secrets

from aiohttp import web
from chivelead_platform import (
    Address,
    FleetBounds,
    ProcessSettings,
    StoreSettings,
)

HOST = '127.0.0.1'


def free_ports(count):
    """Return ports that were free just now."""
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def serve(answer, port):
    """Serve an address; return what to clean up."""
    runner = web.ServerRunner(
        web.Server(answer, access_log=None),
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    return runner


def _json(body):
    return web.json_response(body)


class PlatformStoreServer:
    """The store in memory; ``status`` answers every call while it is set."""

    def __init__(self):
        """Start empty."""
        self.port = free_ports(1)[0]
        self.status = 0
        self.garbage = False
        self.lose_writes = 0
        self.calls = 0
        self.watches = collections.Counter()
        self.entries = {}
        self.events = []
        self.forgotten = 0
        self.leases = {}
        self._revision = 1
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._runner = None

    async def start(self):
        """Listen."""
        self._runner = await serve(self._answer, self.port)

    async def close(self):
        """Stop."""
        await self._runner.cleanup()

    def put(self, key, text, lease=0):
        """Write as the operator does."""
        self._revision += 1
        known = self.entries.get(key)
        created = known['create_revision'] if known else self._revision
        item = {
            'key': key,
            'value': base64.b64encode(text.encode()).decode(),
            'revision': self._revision,
            'create_revision': created,
            'lease': lease,
        }
        self.entries[key] = item
        self._tell(item)
        return self._revision

    def remove(self, key):
        """Delete a key."""
        self._revision += 1
        self.entries.pop(key, None)
        self._tell({'key': key, 'revision': self._revision, 'deleted': True})

    def end_leases(self):
        """Let all leases lapse."""
        self.leases.clear()
        for key, item in tuple(self.entries.items()):
            if item['lease']:
                self.remove(key)

    def forget_history(self):
        """Drop all events up to now."""
        self.forgotten = self._revision
        self._wake()

    def _tell(self, event):
        self.events.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request):
        self.calls += 1
        await asyncio.sleep(0.002)
        if self.status:
            return web.Response(status=self.status)
        if self.garbage:
            return web.Response(text='<html>')
        name = request.path.removeprefix('/api/')
        handler = {
            'kv-key': self._key,
            'kv-range': self._range,
            'kv-watch': self._watch,
            'kv-txn': self._txn,
            'kv-lease': self._lease,
        }.get(name)
        if handler is None and name.startswith('kv-keep/'):
            return self._keep(int(name.partition('/')[2]))
        return await handler(request)

    async def _key(self, request):
        item = self.entries.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return _json({**item, 'store_revision': self._revision})

    async def _range(self, request):
        prefix, after = request.query['prefix'], request.query.get('after', '')
        items = [
            item
            for key, item in sorted(self.entries.items())
            if key.startswith(prefix) and key > after
        ]
        return _json(
            {
                'items': items[:3],
                'has_more': len(items) > 3,
                'store_revision': self._revision,
            },
        )

    async def _watch(self, request):
        prefix, after = request.query['prefix'], int(request.query['after'])
        self.watches[prefix] += 1
        end = asyncio.get_running_loop().time() + (
            int(request.query['wait_ms']) / 1000
        )
        while True:
            changed = self._changed
            if after < self.forgotten:
                return web.Response(status=410)
            events = [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return _json(
                    {'events': events, 'store_revision': self._revision},
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    async def _txn(self, request):
        body = await request.json()
        for row in body['expected_revision']:
            item = self.entries.get(row['key'], {'revision': 0})
            if item['revision'] != row['revision']:
                return web.json_response({'items': []}, status=412)
        for row in body['writes']:
            if row.get('lease') and row['lease'] not in self.leases:
                return web.Response(status=404)
            text = base64.b64decode(row['value']).decode()
            self.put(row['key'], text, row.get('lease', 0))
        for key in body['deletes']:
            self.remove(key)
        if self.lose_writes:
            self.lose_writes -= 1
            request.transport.abort()
        return _json({'revision': self._revision})

    async def _lease(self, request):
        lease = next(self._numbers)
        self.leases[lease] = (await request.json())['ttl_ms']
        return _json({'lease': lease, 'ttl_ms': self.leases[lease]})

    def _keep(self, lease):
        if lease not in self.leases:
            return web.Response(status=404)
        return _json({'ttl_ms': self.leases[lease]})


class StandinTarget:
    """One target; ``behave`` may replace its answer."""

    def __init__(self, service):
        """Pick a port and an identity."""
        self.service = service
        self.target_id = f'i-{secrets.token_hex(4)}'
        self.port = free_ports(1)[0]
        self.seen = []
        self.work_s = 0.0
        self.cancelled = 0
        self.behave = None
        self.healthy = True
        self._runner = None
        self._sequence = itertools.count(1)

    async def start(self):
        """Listen."""
        runner = web.ServerRunner(
            web.Server(
                self._answer,
                access_log=None,
                handler_cancellation=True,
            ),
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, self.port).start()
        self._runner = runner

    async def close(self):
        """Stop."""
        await self._runner.cleanup()

    def news(self, **changes):
        """Return the body of an announcement."""
        status = {
            'state': 'ready',
            'seq': next(self._sequence),
            'warmup_left_ms': 0,
        }
        status.update(changes)
        return {
            'address': f'{HOST}:{self.port}',
            'born': 1000,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'z1',
                'slots': 4,
            },
            'status': status,
        }

    def success(self, request, **headers):
        """Return an answer as targets give it."""
        return web.Response(
            text=f'{self.service} {request.raw_path}',
            headers={
                'X-Request-Id': request.headers['X-Request-Id'],
                'X-Server-Stamp': 'stamp',
                'X-Instance-Load': '1,0,4',
                **headers,
            },
        )

    async def _answer(self, request):
        if request.path == '/health':
            return web.Response(
                status=200 if self.healthy else 503,
                headers={
                    'X-Instance-Id': self.target_id,
                    'X-Instance-Load': '0,0,4',
                },
            )
        self.seen.append((request, await request.read()))
        if self.behave is not None:
            return await self.behave(request)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.success(request)


def make_settings(vm, target, store, domain='z1', first_start=True):
    """Return the settings of a node beside a target."""
    ports = free_ports(4)
    return ProcessSettings(
        vm=vm,
        host=HOST,
        failure_domain=domain,
        region='r1',
        own_service=target.service,
        target_address=Address(HOST, target.port),
        callers_address=Address(HOST, ports[0]),
        probes_address=Address(HOST, ports[1]),
        announcements_address=Address(HOST, ports[2]),
        peer_port=ports[3],
        regions={domain: 'r1'},
        first_start=first_start,
        announce_period_ms=1500,
        memory_limit_mb=300,
        store=StoreSettings(Address(HOST, store.port), 1000),
        bounds=FleetBounds(6000, 0.2, 10000, 48),
    )


def make_edit(version, routes, organisations=()):
    """Return the text of an edit.

    Args:
        version: Its version.
        routes: Tuples of prefix, service or parts, kind and changes.
        organisations: Tuples of name, key and changes.
    """
    resources = [
        {
            'type_url': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1000000,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        },
    ]
    services = set()
    for prefix, leads_to, kind, changes in routes:
        spec = {
            'host': 'shop.example',
            'prefix': prefix,
            'type': kind,
            'timeout_ms': 3000,
            'target_latency_ms': 1000,
            'priority': 1,
            'max_attempts': 2,
            'allow_anonymous': False,
            **changes,
        }
        if isinstance(leads_to, str):
            spec['service'] = leads_to
            services.add(leads_to)
        else:
            spec['traffic_split'] = [
                {'service': service, 'weight': weight}
                for service, weight in leads_to
            ]
            services.update(service for service, _ in leads_to)
        resources.append(
            {'type_url': 'routes', 'metadata': {'name': prefix}, 'spec': spec},
        )
    for service in sorted(services):
        resources.append(
            {
                'type_url': 'services',
                'metadata': {'name': service},
                'spec': {'health_path': '/health', 'max_connections': 100},
            },
        )
    for name, key, changes in organisations:
        resources.append(
            {
                'type_url': 'tenants',
                'metadata': {'name': name},
                'spec': {'api_keys': [key], **changes},
            },
        )
    return json.dumps({'version': version, 'resources': resources})
