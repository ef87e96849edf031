"""A fleet of nodes on the fake platform, all in one process."""

import asyncio
import contextlib
import dataclasses
import secrets
import types

import aiohttp
import yarl
from chivelead_node._internal.proxy import contacts, daemon

from lib.fake_platform import (
    HOST,
    FakePlatformStore,
    FakeTarget,
    free_ports,
    make_plan_text,
    make_settings,
)

ROUTES = (
    ('/read/', 'stock', 'safe', {}),
    ('/book/', 'orders', 'unsafe', {}),
    ('/open/', 'stock', 'safe', {'allow_anonymous': True}),
)
ORGANISATIONS = (('mill', 'mill-key', {}),)
AUTH_HEADERS = types.MappingProxyType({'Authorization': 'Token mill-key'})


class PlatformFleet:
    """A store, and VMs with one target and one node each.

    Args:
        services: Service of the target on each VM.
        target_type: Type of the targets.
    """

    def __init__(self, *services, target_type=FakeTarget):
        """Create the store and the targets without starting them."""
        self.store = FakePlatformStore()
        self.targets = [target_type(service) for service in services]
        self.settings = []
        self.nodes = []
        self.session = None

    async def start(
        self,
        routes=ROUTES,
        organisations=ORGANISATIONS,
        failure_domains=('z1',),
    ):
        """Start the fleet; wait until each node knows all targets as ready.

        The VMs are in the failure domains in turn.
        """
        self.session = aiohttp.ClientSession()
        await self.store.start()
        self.store.put('op/config', make_plan_text(5, routes, organisations))
        for index, target in enumerate(self.targets):
            await target.start()
            settings = make_settings(
                f'vm-{index}',
                target,
                self.store,
                failure_domains[index % len(failure_domains)],
            )
            self.settings.append(settings)
            node = await start_node(settings)
            self.nodes.append(node)
        for index, _ in enumerate(self.targets):
            assert await self.announce(index) == 200
        await wait_until(self._all_nodes_joined)

    async def close(self):
        """Stop the fleet without waiting for requests in flight."""
        for node in self.nodes:
            if not node._stopping:
                await kill_node(node)
        for target in self.targets:
            await target.close()
        await self.session.close()
        await self.store.close()

    def components(self, index):
        """Return the components of a node."""
        return self.nodes[index]._components

    def plan_version(self, index):
        """Return the version of the plan in force at a node."""
        return self.components(index).plan_feed.current.version

    async def announce(self, index, **overrides):
        """Announce a target to its node; return the HTTP status."""
        target = self.targets[index]
        return await self.call_control_api(
            index,
            'instances.heartbeat',
            target.target_id,
            target.make_announcement(**overrides),
        )

    async def call_control_api(self, index, operation, target_id, body=None):
        """Call the control API of a node; return the HTTP status."""
        address = self.settings[index].announcements_address
        async with self.session.post(
            f'http://{HOST}:{address.port}/api/rpc',
            params={'call': operation, 'of': target_id},
            json=body,
        ) as response:
            return response.status

    async def is_ready(self, index):
        """Return whether the readiness probe of a node succeeds."""
        address = self.settings[index].probes_address
        async with self.session.get(
            f'http://{HOST}:{address.port}/api/ready',
        ) as response:
            return response.status == 200

    async def send_request(
        self, index, path, method='GET', headers=AUTH_HEADERS, **options
    ):
        """Send a request to a node; return the status, headers and body."""
        address = self.settings[index].callers_address
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
        ) as response:
            return response.status, response.headers, await response.read()

    def _all_nodes_joined(self):
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
    """Start a node in this process, with its own metrics port."""
    daemon.METRICS_PORT = free_ports(1)[0]
    contacts._MIN_FOUNDING_DELAY_MS = 0
    contacts._MAX_FOUNDING_DELAY_MS = 1
    node = daemon.ProxyDaemon(settings)
    await node.start()
    return node


async def kill_node(node):
    """Stop a node without a graceful shutdown, as SIGKILL does.

    Its entry in the store is not deleted.
    """
    components = node._components
    node._stopping = True
    for task in node._tasks:
        task.cancel()
    for component in (
        components.reporter,
        components.relay,
        components.contacts,
        components.departures,
        components.plan_feed,
        components.target_ends,
        components.links,
        components.target,
    ):
        await component.close()
    await node._servers.close()
    await node._peer_server.close()
    await components.store.close()
    await node._log_writer.close()


async def restart_node(fleet, *indexes):
    """Kill nodes and start them again beside their running targets."""
    for index in indexes:
        await kill_node(fleet.nodes[index])
    for index in indexes:
        settings = dataclasses.replace(fleet.settings[index], first_start=False)
        fleet.nodes[index] = await start_node(settings)


async def deregister(fleet, index):
    """Tell a node that its target has left."""
    target_id = fleet.targets[index].target_id
    assert 200 == await fleet.call_control_api(
        index, 'instances.deregister', target_id
    )


async def announce_late(fleet, index, announcement):
    """Deliver an announcement that was made earlier."""
    target_id = fleet.targets[index].target_id
    assert 200 == await fleet.call_control_api(
        index, 'instances.heartbeat', target_id, announcement
    )


async def requests_at_target(fleet, index, sender):
    """Send requests at a node; return how many reach a target."""
    fleet.targets[index].received_requests.clear()
    for _ in range(20):
        assert (await fleet.send_request(sender, '/read/x'))[0] == 200
    return len(fleet.targets[index].received_requests)


async def wait_until_rejoined(fleet, index, peer):
    """Wait until a peer knows the present start of a node."""
    boot_id = fleet.components(index).membership.own.boot_id
    await wait_until(
        lambda: (
            fleet.components(peer).membership.find(f'vm-{index}').boot_id
            == boot_id
        )
    )


async def wait_until(condition, timeout_s=10):
    """Poll until a condition is true.

    Raises:
        TimeoutError: The condition was not true in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_fleet(*services, target_type=FakeTarget, **options):
    """Run a fleet for the duration of a test."""
    fleet = PlatformFleet(*services, target_type=target_type)
    await fleet.start(**options)
    try:
        yield fleet
    finally:
        await fleet.close()
