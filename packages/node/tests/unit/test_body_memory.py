"""The memory for bodies is counted exactly and stays within its limit."""

import asyncio

from chivelead_node._internal.body_memory import BodyKind, BodyMemory
from chivelead_protocol import LARGE_FRAME_BYTES
from hypothesis import strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

_LIMIT_BYTES = 1_000_000
_sizes = strategies.integers(0, _LIMIT_BYTES)


class BodyMemoryMachine(RuleBasedStateMachine):
    """Open, grow, share and close shares in any order."""

    shares = Bundle('shares')

    def __init__(self):
        """Create an empty memory."""
        super().__init__()
        self.memory = BodyMemory(_LIMIT_BYTES)
        self.sizes = {}

    @rule(target=shares, kind=strategies.sampled_from(BodyKind))
    def open_share(self, kind):
        """Open a share."""
        share = self.memory.open_share(kind)
        self.sizes[share] = 0
        return share

    @rule(share=shares, size=_sizes)
    def grow(self, share, size):
        """Grow a share; check whether the limit of its kind was kept."""
        before_bytes = self.memory.held_bytes
        if share.grow(size):
            self.sizes[share] += size
            if self.sizes[share] > LARGE_FRAME_BYTES:
                assert self.memory.held_bytes <= (
                    _LIMIT_BYTES * share.kind.value
                )
        else:
            assert before_bytes + size > _LIMIT_BYTES * BodyKind.request.value

    @rule(share=consumes(shares), holders=strategies.integers(0, 3))
    def close(self, share, holders):
        """Close a share; only the last holder gives the memory back."""
        for _ in range(holders):
            share.retain()
        for _ in range(holders):
            share.close()
        assert share.size_bytes == self.sizes[share]
        share.close()
        self.sizes.pop(share)

    @invariant()
    def count_is_exact(self):
        """Check the count against the sizes of the open shares."""
        assert self.memory.held_bytes == sum(self.sizes.values())
        assert self.memory.held_bytes <= _LIMIT_BYTES


TestBodyMemory = BodyMemoryMachine.TestCase


# Guards against small requests that are refused because of large bodies.
def test_small_bodies_have_memory_that_large_ones_cannot_take():
    memory = BodyMemory(_LIMIT_BYTES)
    large = memory.open_share(BodyKind.response)
    assert large.grow(int(_LIMIT_BYTES * BodyKind.response.value))
    assert memory.take_request(LARGE_FRAME_BYTES + 1) is None
    assert memory.take_request(1000) is not None


async def test_body_waits_until_another_one_is_gone():
    memory = BodyMemory(_LIMIT_BYTES)
    first = memory.take_request(700_000)
    waiting = memory.open_share(BodyKind.request)
    growing = asyncio.create_task(waiting.wait_and_grow(600_000, 1000))
    await asyncio.sleep(0)
    assert memory.held_bytes == 700_000
    first.close()
    assert await growing
    assert memory.held_bytes == 600_000
    waiting.close()
    assert memory.held_bytes == 0


# Guards against bytes that stay counted when a wait ends without memory.
async def test_body_that_waits_in_vain_takes_nothing():
    memory = BodyMemory(_LIMIT_BYTES)
    first = memory.take_request(700_000)
    waiting = memory.open_share(BodyKind.request)
    assert not await waiting.wait_and_grow(600_000, 10)
    first.close()
    waiting.close()
    assert memory.held_bytes == 0


async def test_body_that_can_never_fit_does_not_wait():
    memory = BodyMemory(_LIMIT_BYTES)
    share = memory.open_share(BodyKind.request)
    async with asyncio.timeout(1):
        assert not await share.wait_and_grow(_LIMIT_BYTES, 60_000)


# Guards against memory that is granted to a caller that has gone.
async def test_cancelled_wait_takes_nothing():
    memory = BodyMemory(_LIMIT_BYTES)
    first = memory.take_request(700_000)
    waiting = memory.open_share(BodyKind.request)
    growing = asyncio.create_task(waiting.wait_and_grow(600_000, 1000))
    await asyncio.sleep(0)
    growing.cancel()
    await asyncio.gather(growing, return_exceptions=True)
    first.close()
    assert memory.held_bytes == 0


# Guards against a body that waits although the room for it is back.
async def test_body_waits_until_memory_is_explained():
    memory = BodyMemory(_LIMIT_BYTES)
    memory.set_unexplained(300_000)
    share = memory.open_share(BodyKind.response)
    assert not share.grow(700_000)
    assert '300000 unexplained' in share.describe()
    waiting = asyncio.create_task(memory.wait_for_room(share, 700_000, 1000))
    await asyncio.sleep(0.01)
    memory.set_unexplained(0)
    assert await waiting
    assert memory.held_bytes == 700_000
