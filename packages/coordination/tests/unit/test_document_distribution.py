"""Documents reach every node, only ever newer, without the store too."""

import asyncio

import pytest
from chivelead_coordination import (
    EMPTY_MANIFEST,
    MANIFEST_KEY,
    DocumentDistributor,
    GossipTask,
    Membership,
    Write,
    dump_manifest,
    document_text_key,
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

IN_FORCE_MS = 9000
WITHDRAWN_MS = 5000


class SpreadNode:
    """Membership, gossip and spread of one node."""

    def __init__(self, vm, handlers, store, **changes):
        """Wire the parts."""
        self.membership = Membership(make_member(vm, **changes))
        network = FakeNetwork(vm, handlers)
        self.gossip = GossipTask(self.membership, network)
        self.spread = DocumentDistributor(
            self.membership,
            network,
            store,
            self.gossip,
        )
        handlers[vm] = self.answer

    async def answer(self, vm, body):
        """Answer a message of another node."""
        if isinstance(body, Gossip):
            return self.gossip.answer_gossip(vm, body)
        if isinstance(body, MemberSummary):
            return self.gossip.answer_summary(body)
        if isinstance(body, DocumentsPull):
            return self.spread.answer_pull(body)
        if isinstance(body, DocumentsOffer):
            return await self.spread.answer_offer(vm, body)
        return Pong()

    async def start(self):
        """Start."""
        await self.gossip.start()
        await self.spread.start()

    async def close(self):
        """Stop."""
        await self.gossip.close()
        await self.spread.close()


def make_nodes(store):
    """Return six nodes in two failure domains, the first a relay."""
    handlers = {}
    nodes = [
        SpreadNode(
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


async def put(store, version, text='[fleet]\n'):
    """Write one document as the edit of a version."""
    edit_id = f'e{version}'
    await store.write(Write(document_text_key('fleet', edit_id), text, 0))
    manifest = EMPTY_MANIFEST
    for number in range(1, version + 1):
        manifest = manifest.with_edit(f'e{number}', ('fleet',), 'a', '')
    entry = store.entries.get(MANIFEST_KEY)
    revision = entry.revision if entry else 0
    await store.write(Write(MANIFEST_KEY, dump_manifest(manifest), revision))


async def wait_for(nodes, version):
    """Return the time until all nodes have a version."""
    started_ms = now_ms()
    while any(node.spread.current.version < version for node in nodes):
        await asyncio.sleep(0.05)
        assert now_ms() - started_ms < 60_000
    return now_ms() - started_ms


async def test_edit_is_in_force_everywhere_in_time():
    store = FakeStore()
    nodes = make_nodes(store)
    for node in nodes:
        await node.start()
    await put(store, 1)
    assert await wait_for(nodes, 1) <= IN_FORCE_MS
    await put(store, 2)
    assert await wait_for(nodes, 2) <= IN_FORCE_MS
    for node in nodes:
        await node.close()


async def test_silent_watch_delays_but_does_not_hide_an_edit():
    store = FakeStore()

    async def silent(key, seen_revision, wait_ms):
        await asyncio.sleep(wait_ms / 1000)

    store.watch = silent
    nodes = make_nodes(store)
    for node in nodes:
        await node.start()
    await put(store, 1)
    await wait_for(nodes, 1)
    await put(store, 2)
    assert await wait_for(nodes, 2) <= WITHDRAWN_MS
    for node in nodes:
        await node.close()


async def test_old_version_never_comes_back():
    store = FakeStore()
    node = make_nodes(store)[0]
    node.spread.apply(5, {'fleet': 'e5'}, {'fleet': '[fleet]\n'})
    assert not node.spread.apply(4, {'fleet': 'e4'}, {'fleet': '[fleet]\n'})
    assert node.spread.current.version == 5


async def test_invalid_set_is_refused_and_the_old_one_stays():
    store = FakeStore()
    node = make_nodes(store)[0]
    node.spread.apply(1, {'fleet': 'e1'}, {'fleet': '[fleet]\n'})
    with pytest.raises(ConfigurationError, match='unknown field'):
        node.spread.apply(2, {'fleet': 'e2'}, {'fleet': '[fleet]\nx = 1\n'})
    assert node.spread.current.version == 1


async def test_newcomer_takes_the_documents_from_a_peer():
    store = FakeStore()
    nodes = make_nodes(store)
    nodes[0].spread.apply(3, {'fleet': 'e3'}, {'fleet': '[fleet]\n'})
    store.down = True
    await nodes[1].spread.pull_from('n0')
    assert nodes[1].spread.current.version == 3
