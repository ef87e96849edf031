"""Command ``store``: the simulated store as a separate process."""

import asyncio

import uvloop

from chivelead_standins._internal.store_server import StoreServer


def store(*, port: int, host: str = '127.0.0.1') -> None:
    """Run the simulated store until it is killed.

    To inject faults, send the fields of ``StoreFaults`` as JSON with
    ``POST /control``.

    Args:
        port: Port to listen on.
        host: IP address to listen on.
    """
    uvloop.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    await StoreServer().start(host, port)
    await asyncio.Event().wait()
