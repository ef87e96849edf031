"""Command ``target``: one target as a process of its own."""

import asyncio

import uvloop

from chivelead_standins._internal.target_server import (
    TargetProfile,
    TargetServer,
)


def target(
    *,
    service: str,
    port: int,
    local_port: int,
    slots: int = 75,
    service_ms: float = 2,
) -> None:
    """Run one stand-in target until it is ended.

    Args:
        service: Service of the target.
        port: Port on loopback.
        local_port: Port of its node.
        slots: Requests served at once.
        service_ms: Mean time of a request.
    """
    profile = TargetProfile(
        service=service,
        slots=slots,
        claimed_slots=slots,
        connections=slots * 2,
        waiting_most=slots,
        service_ms=service_ms,
        jitter=0,
    )
    server = TargetServer(f'{service}-1', profile, port, local_port, seed=1)
    uvloop.run(_serve(server))


async def _serve(server: TargetServer) -> None:
    await server.start()
    await asyncio.Event().wait()
