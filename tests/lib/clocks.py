"""Time on the paused clock."""

import asyncio


async def pass_time(seconds):
    """Let time pass."""
    await asyncio.sleep(seconds)
