"""Command ``target``: one simulated target as a separate process."""

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
    """Run one simulated target until it is killed.

    Args:
        service: Service of the target.
        port: Loopback port to listen on.
        local_port: Port of its node for announcements and downstream calls.
        slots: Number of requests that the target executes concurrently.
        service_ms: Mean execution time.
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
