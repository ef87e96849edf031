"""Nodes on the stand-in platform, all in one process."""

import asyncio
import contextlib
import secrets
import types

import aiohttp
import yarl
from chivelead_node._internal.proxy import daemon
from lib.platform_standin import (
    HOST,
    PlatformStoreServer,
    StandinTarget,
    free_ports,
    make_edit,
    make_settings,
)

ROUTES = (
    ('/read/', 'stock', 'safe', {}),
    ('/book/', 'orders', 'unsafe', {}),
    ('/open/', 'stock', 'safe', {'allow_anonymous': True}),
)
ORGANISATIONS = (('mill', 'mill-key', {}),)
KEY = types.MappingProxyType({'Authorization': 'Token mill-key'})


class PlatformFleet:
    """A store, targets, and a node beside each.

    Args:
        services: Service of each VM.
    """

    def __init__(self, *services):
        """Plan the VMs."""
        self.store = PlatformStoreServer()
        self.targets = [StandinTarget(service) for service in services]
        self.settings = []
        self.nodes = []
        self.session = None

    async def start(self, routes=ROUTES, organisations=ORGANISATIONS):
        """Start everything and wait until all nodes know each other."""
        self.session = aiohttp.ClientSession()
        await self.store.start()
        self.store.put('op/config', make_edit(5, routes, organisations))
        for number, target in enumerate(self.targets):
            await target.start()
            settings = make_settings(f'vm-{number}', target, self.store)
            self.settings.append(settings)
            node = await start_node(settings)
            self.nodes.append(node)
        for number, _ in enumerate(self.targets):
            assert await self.announce(number) == 200
        await until(self._is_joined)

    async def close(self):
        """Stop everything at once."""
        for node in self.nodes:
            if not node._stopping:
                await stop_node(node)
        for target in self.targets:
            await target.close()
        await self.session.close()
        await self.store.close()

    def parts(self, number):
        """Return the parts of a node."""
        return self.nodes[number]._components

    def plan_version(self, number):
        """Return the version of the plan in force at a node."""
        return self.parts(number).plan_feed.current.version

    async def announce(self, number, **changes):
        """Send an announcement of a target to its node."""
        target = self.targets[number]
        return await self.tell(
            number,
            'instances.heartbeat',
            target.target_id,
            target.news(**changes),
        )

    async def tell(self, number, call, target_id, body=None):
        """Send a call to the announcements' address of a node."""
        address = self.settings[number].announcements_address
        async with self.session.post(
            f'http://{HOST}:{address.port}/api/rpc',
            params={'call': call, 'of': target_id},
            json=body,
        ) as answer:
            return answer.status

    async def is_ready(self, number):
        """Ask a node as the platform does."""
        address = self.settings[number].probes_address
        async with self.session.get(
            f'http://{HOST}:{address.port}/api/ready',
        ) as answer:
            return answer.status == 200

    async def ask(self, number, path, method='GET', headers=KEY, **options):
        """Send a request to a node; return status, headers and body."""
        address = self.settings[number].callers_address
        async with self.session.request(
            method,
            yarl.URL(f'http://{HOST}:{address.port}{path}', encoded=True),
            headers={
                'Host': 'shop.example',
                'X-Request-Id': secrets.token_hex(8),
                'X-Deadline-Ms': '2000',
                **headers,
            },
            **options,
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    def _is_joined(self):
        return all(
            node._components.plan_feed.current.version
            and len(node._components.membership.alive_members())
            == len(self.nodes)
            and all(
                member.target_state == 'ready'
                for member in node._components.membership.alive_members()
            )
            for node in self.nodes
        )


async def start_node(settings):
    """Start a node in this process."""
    daemon.METRICS_PORT = free_ports(1)[0]
    node = daemon.ProxyDaemon(settings)
    await node.start()
    return node


async def stop_node(node):
    """End a node as SIGKILL would."""
    parts = node._components
    for task in node._tasks:
        task.cancel()
    for part in (parts.heartbeats, parts.plan_feed, parts.links, parts.target):
        await part.close()
    for task in tuple(parts.directory._tasks):
        task.cancel()
    await node._servers.close()
    await node._peer_server.close()
    await parts.store.close()
    await node._log_writer.close()


async def until(holds, timeout_s=10):
    """Wait until a condition holds.

    Raises:
        TimeoutError: It did not in time.
    """
    async with asyncio.timeout(timeout_s):
        while not holds():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running(*services, **options):
    """Run a fleet for the length of a test."""
    fleet = PlatformFleet(*services)
    await fleet.start(**options)
    try:
        yield fleet
    finally:
        await fleet.close()
