"""What operators see of a fleet whose nodes know different things."""

import contextlib
import dataclasses

import pytest
from chivelead_cli import view_fleet
from chivelead_protocol import HybridClock, PeerServer, StatusReport
from lib.fakes import make_member

HOST = '127.0.0.1'
SECRET = 'secret'


class ReportingNode:
    """A node that reports a table of members.

    Args:
        vm: Name of the VM.
    """

    def __init__(self, vm):
        self.vm = vm
        self.members = ()
        self._server = PeerServer(
            vm, SECRET.encode(), HybridClock(), self._handle
        )

    async def start(self):
        await self._server.start(HOST, 0)

    async def close(self):
        await self._server.close()

    @property
    def address(self):
        return HOST, self._server.port

    def make_entry(self):
        return make_member(self.vm, host=HOST, peer_port=self._server.port)

    async def _handle(self, _peer_vm, _message):
        return StatusReport(vm=self.vm, members=self.members, fields=())


@pytest.fixture
async def nodes():
    """Run two nodes; both know each other, and a third that is gone."""
    async with contextlib.AsyncExitStack() as running:
        started = [ReportingNode('a'), ReportingNode('b')]
        for node in started:
            await node.start()
            running.push_async_callback(node.close)
        # Nothing listens at the address of the third one.
        gone = ReportingNode('gone')
        await gone.start()
        entries = [node.make_entry() for node in (*started, gone)]
        await gone.close()
        for node in started:
            node.members = tuple(entries)
        yield started


def note_departure(node):
    """Let a node know that the last member has left."""
    *others, last = node.members
    left = dataclasses.replace(last, alive=False, version=last.version + 1)
    node.members = (*others, left)


async def test_member_without_a_response_is_unreachable(nodes):
    view = await view_fleet([nodes[0].address], SECRET)
    assert {report.vm for report in view.reports} == {'a', 'b'}
    assert view.unreachable == ('gone',)


# Guards against a stopped node that is shown as not reached because the node
# that was asked first does not know of the stop yet.
@pytest.mark.parametrize('informed', [0, 1])
async def test_member_that_has_left_is_not_unreachable(nodes, informed):
    note_departure(nodes[informed])
    view = await view_fleet([nodes[0].address], SECRET)
    assert view.unreachable == ()
    assert not view.newest_members()['gone'].alive


# Guards against an older entry in place of a newer one.
@pytest.mark.parametrize('informed', [0, 1])
async def test_newest_entries_count_in_any_order(nodes, informed):
    note_departure(nodes[informed])
    addresses = [node.address for node in nodes]
    view = await view_fleet(addresses, SECRET)
    assert view.unreachable == ()
