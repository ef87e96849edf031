"""Time on the paused clock."""

import asyncio


async def advance_clock(seconds):
    """Let time pass."""
    await asyncio.sleep(seconds)
