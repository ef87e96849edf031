"""TCP proxy on loopback with fault injection."""

import asyncio
import contextlib

_CHUNK_BYTES = 65536
_CHUNKS_PER_S = 50


class FaultProxy:
    """Forward connections to a port; reject or stall them on demand.

    Set ``refuse`` to close new connections immediately, and ``bytes_per_s`` to
    limit the rate of each connection and direction.

    Args:
        port: Port to listen on.
        target_port: Port to forward to.
    """

    def __init__(self, port: int, target_port: int) -> None:
        """Initialise without faults; ``start`` listens."""
        self.refuse = False
        self.bytes_per_s = 0
        self._open = asyncio.Event()
        self._open.set()
        self._port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        # A writer that nothing refers to closes its connection.
        self._writers: set[asyncio.StreamWriter] = set()
        self._copy_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on the port."""
        self._server = await asyncio.start_server(
            self._forward,
            '127.0.0.1',
            self._port,
        )

    async def close(self) -> None:
        """Stop listening and forwarding, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._copy_tasks):
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def stall_open_connections(self) -> None:
        """Stop forwarding on the open connections, but keep them open."""
        for task in tuple(self._copy_tasks):
            task.cancel()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.refuse:
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1',
                self._target_port,
            )
        except OSError:
            writer.close()
            return
        self._writers.update((writer, target_writer))
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._copy(source, sink))
            self._copy_tasks.add(task)
            task.add_done_callback(self._copy_tasks.discard)

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                rate = self.bytes_per_s
                chunk_bytes = rate // _CHUNKS_PER_S if rate else _CHUNK_BYTES
                chunk = await source.read(chunk_bytes)
                if not chunk:
                    sink.close()
                    self._writers.discard(sink)
                    return
                if rate:
                    await asyncio.sleep(len(chunk) / rate)
                sink.write(chunk)
                await sink.drain()
