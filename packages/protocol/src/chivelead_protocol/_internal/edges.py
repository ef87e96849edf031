"""Edges: the kinds of connections on which other processes send bytes.

Each socket of a node belongs to an edge, which bounds what the kernel may hold
of it.  ``docs/design/memory.md`` has a row for each edge.
"""

import asyncio
import dataclasses
import ipaddress
import socket
import types
from asyncio.trsock import TransportSocket
from collections.abc import Callable
from typing import Any, TypeVar

_ProtocolT = TypeVar('_ProtocolT', bound=asyncio.BaseProtocol)

# The kernel doubles SO_RCVBUF and gives a part of it to its own structures.
_KERNEL_FACTOR = 2


@dataclasses.dataclass(frozen=True)
class Edge:
    """Kind of connections on which other processes send bytes.

    Attributes:
        name: Name in metrics and documentation.
        receive_buffer_bytes: SO_RCVBUF of each socket.
        object_bytes: Memory of this process for one idle connection.
        is_essential: Whether connections are opened even if there is no room.
            Only those that this process opens, a few at a time.
        fraction: Part of the memory for connections that those of the edge may
            take together.
        little_bytes: What may arrive on a connection without being counted
            beside what it reserves, such as a small request.
    """

    name: str
    receive_buffer_bytes: int
    object_bytes: int
    is_essential: bool = False
    fraction: float = 1
    little_bytes: int = 0

    @property
    def unread_limit_bytes(self) -> int:
        """Return the most that the kernel holds of a connection."""
        return self.receive_buffer_bytes * _KERNEL_FACTOR

    @property
    def reserved_bytes(self) -> int:
        """Return the memory that each open connection is counted with."""
        return self.unread_limit_bytes + self.object_bytes + self.little_bytes

    def bound_socket(self, sock: socket.socket | TransportSocket) -> None:
        """Limit what the kernel receives for a socket.

        Sockets that a listening socket accepts inherit the limit.
        """
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
        )

    def open_listener(self, host: str, port: int) -> socket.socket:
        """Return a socket that is bound to an address, for a server.

        Raises:
            OSError: The address is in use.
        """
        # Without the protocol, asyncio would not set TCP_NODELAY.
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.bound_socket(sock)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        return sock

    async def listen(
        self,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
    ) -> asyncio.Server:
        """Return a server that accepts connections on an address.

        Args:
            make_protocol: Returns the protocol of a connection.
            host: Address or name; empty for all addresses.
            port: Port; zero for any that is free.

        Raises:
            OSError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        if _is_ipv4(host):
            return await loop.create_server(
                make_protocol, sock=self.open_listener(host, port)
            )
        server = await loop.create_server(make_protocol, host, port)
        for sock in server.sockets:
            self.bound_socket(sock)
        return server

    async def connect(
        self, make_protocol: Callable[[], _ProtocolT], host: str, port: int
    ) -> _ProtocolT:
        """Open a connection.

        Args:
            make_protocol: Returns the protocol of the connection.
            host: Address or name of the server.
            port: Port.

        Raises:
            OSError: The server cannot be reached.
        """
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(
            make_protocol, host, port
        )
        try:
            self.bound_socket(transport.get_extra_info('socket'))
        except (OSError, ValueError) as error:
            transport.abort()
            raise ConnectionAbortedError('the connection was closed') from error
        return protocol

    def open_socket(self, address_info: tuple[Any, ...]) -> socket.socket:
        """Return a socket for an outgoing connection of aiohttp.

        Args:
            address_info: Family, type and protocol of the socket, and more.
        """
        family, kind, protocol, *_ = address_info
        sock = socket.socket(family, kind, protocol)
        self.bound_socket(sock)
        sock.setblocking(False)
        return sock


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


CALLERS = Edge(
    'callers',
    receive_buffer_bytes=8192,
    object_bytes=12_288,
    little_bytes=8192,
    fraction=0.6,
)
# Readiness probes, announcements and metrics.
CONTROL = Edge('control', receive_buffer_bytes=8192, object_bytes=12_288)
TARGET = Edge('target', receive_buffer_bytes=32_768, object_bytes=16_384)
HEALTH = Edge(
    'health',
    receive_buffer_bytes=8192,
    object_bytes=16_384,
    is_essential=True,
)
# Connections between regions have a long round-trip time.
PEERS = Edge('peers', receive_buffer_bytes=32_768, object_bytes=16_384)
STORE = Edge(
    'store',
    receive_buffer_bytes=65_536,
    object_bytes=32_768,
    is_essential=True,
)

EDGES = types.MappingProxyType(
    {
        edge.name: edge
        for edge in (CALLERS, CONTROL, TARGET, HEALTH, PEERS, STORE)
    }
)
