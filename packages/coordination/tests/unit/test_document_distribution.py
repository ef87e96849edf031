"""Distribution of documents, with and without the store."""

import asyncio

import pytest
from chivelead_coordination import (
    EMPTY_MANIFEST,
    MANIFEST_KEY,
    DocumentDistributor,
    GossipTask,
    Membership,
    Write,
    document_text_key,
    dump_manifest,
)
from chivelead_protocol import (
    ConfigurationError,
    DocumentsOffer,
    DocumentsPull,
    Gossip,
    MemberSummary,
    Pong,
    now_ms,
)
from lib.fakes import FakeNetwork, FakeStore, make_member

pytestmark = pytest.mark.looptime

# Limits on the time until an edit is in force; an edit that withdraws a key has
# the shorter one.
IN_FORCE_LIMIT_MS = 9000
WITHDRAWAL_LIMIT_MS = 5000


class CoordinationNode:
    """Membership, gossip and document distribution of one node."""

    def __init__(self, vm, handlers, store, **changes):
        """Connect the parts to the network and the store."""
        self.membership = Membership(make_member(vm, **changes))
        network = FakeNetwork(vm, handlers)
        self.gossip = GossipTask(self.membership, network)
        self.distributor = DocumentDistributor(
            self.membership,
            network,
            store,
            self.gossip,
        )
        handlers[vm] = self.handle

    async def handle(self, vm, body):
        """Handle a request of another node."""
        if isinstance(body, Gossip):
            return self.gossip.handle_gossip(vm, body)
        if isinstance(body, MemberSummary):
            return self.gossip.handle_summary(body)
        if isinstance(body, DocumentsPull):
            return self.distributor.handle_pull(body)
        if isinstance(body, DocumentsOffer):
            return await self.distributor.handle_offer(vm, body)
        return Pong()

    async def start(self):
        """Start gossip and distribution."""
        await self.gossip.start()
        await self.distributor.start()

    async def close(self):
        """Stop gossip and distribution."""
        await self.gossip.close()
        await self.distributor.close()


def make_nodes(store):
    """Return six nodes in two failure domains; the first is a relay."""
    handlers = {}
    nodes = [
        CoordinationNode(
            f'n{number}',
            handlers,
            store,
            failure_domain=f'd{number % 2}',
            relay=number == 0,
        )
        for number in range(6)
    ]
    for node in nodes:
        node.membership.merge([other.membership.own for other in nodes])
    return nodes


async def write_document(store, version, text='[fleet]\n'):
    """Write one document and a manifest of the given version."""
    edit_id = f'e{version}'
    await store.write(Write(document_text_key('fleet', edit_id), text, 0))
    manifest = EMPTY_MANIFEST
    for number in range(1, version + 1):
        manifest = manifest.with_edit(f'e{number}', ('fleet',), 'a', '')
    entry = store.entries.get(MANIFEST_KEY)
    revision = entry.revision if entry else 0
    await store.write(Write(MANIFEST_KEY, dump_manifest(manifest), revision))


async def wait_for_version(nodes, version):
    """Wait until all nodes have a version, and return the time taken."""
    started_ms = now_ms()
    while any(node.distributor.current.version < version for node in nodes):
        await asyncio.sleep(0.05)
        assert now_ms() - started_ms < 60_000
    return now_ms() - started_ms


async def test_edit_reaches_every_node_within_the_limit():
    store = FakeStore()
    nodes = make_nodes(store)
    for node in nodes:
        await node.start()
    await write_document(store, 1)
    assert await wait_for_version(nodes, 1) <= IN_FORCE_LIMIT_MS
    await write_document(store, 2)
    assert await wait_for_version(nodes, 2) <= IN_FORCE_LIMIT_MS
    for node in nodes:
        await node.close()


async def test_edit_is_found_when_the_watch_never_reports_it():
    store = FakeStore()

    async def never_notify(key, seen_revision, wait_ms):
        await asyncio.sleep(wait_ms / 1000)

    store.watch = never_notify
    nodes = make_nodes(store)
    for node in nodes:
        await node.start()
    await write_document(store, 1)
    await wait_for_version(nodes, 1)
    await write_document(store, 2)
    assert await wait_for_version(nodes, 2) <= WITHDRAWAL_LIMIT_MS
    for node in nodes:
        await node.close()


async def test_older_version_is_not_applied():
    store = FakeStore()
    node = make_nodes(store)[0]
    node.distributor.apply(5, {'fleet': 'e5'}, {'fleet': '[fleet]\n'})
    assert not node.distributor.apply(
        4, {'fleet': 'e4'}, {'fleet': '[fleet]\n'}
    )
    assert node.distributor.current.version == 5


async def test_invalid_documents_are_rejected_and_the_current_ones_stay():
    store = FakeStore()
    node = make_nodes(store)[0]
    node.distributor.apply(1, {'fleet': 'e1'}, {'fleet': '[fleet]\n'})
    with pytest.raises(ConfigurationError, match='unknown field'):
        node.distributor.apply(
            2, {'fleet': 'e2'}, {'fleet': '[fleet]\nx = 1\n'}
        )
    assert node.distributor.current.version == 1


async def test_new_node_pulls_documents_while_the_store_is_down():
    store = FakeStore()
    nodes = make_nodes(store)
    nodes[0].distributor.apply(3, {'fleet': 'e3'}, {'fleet': '[fleet]\n'})
    store.down = True
    await nodes[1].distributor.pull_from('n0')
    assert nodes[1].distributor.current.version == 3
