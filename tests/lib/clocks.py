"""Control of the simulated event-loop clock (looptime) in tests."""

import asyncio


async def advance_clock(seconds):
    """Advance the simulated clock, running the tasks that become due."""
    await asyncio.sleep(seconds)
