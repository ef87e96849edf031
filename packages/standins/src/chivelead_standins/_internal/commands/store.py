"""Command ``store``: the store as a process of its own."""

import asyncio

import uvloop

from chivelead_standins._internal.store_server import StoreServer


def store(*, port: int, host: str = '127.0.0.1') -> None:
    """Run the stand-in store until it is ended.

    Faults are set by posting their fields as JSON to /control.

    Args:
        port: Port to listen on.
        host: IP number to listen on.
    """
    uvloop.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    await StoreServer().start(host, port)
    await asyncio.Event().wait()
