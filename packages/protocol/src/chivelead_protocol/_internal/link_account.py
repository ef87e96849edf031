"""What is counted for one end of a link."""

import asyncio
import logging
from collections.abc import Callable

from chivelead_protocol._internal.connection_memory import (
    ConnectionAccount,
    ConnectionMemory,
)
from chivelead_protocol._internal.edges import PEERS

logger = logging.getLogger(__name__)

# More than the calls to a peer over a slow network wait for.
_MAX_UNSENT_BYTES = 16_777_216


class LinkAccount:
    """Memory of a connection to a peer, except for frames that are counted.

    Args:
        memory: Counts what connections hold.

    Attributes:
        is_idle: Returns whether closing the connection does no harm.
    """

    def __init__(self, memory: ConnectionMemory) -> None:
        """Create the account of a connection that is not open."""
        self.is_idle: Callable[[], bool] = _is_never_idle
        self._memory = memory
        self._account: ConnectionAccount | None = None
        self._transport: asyncio.Transport | None = None

    def open(self, transport: asyncio.Transport) -> bool:
        """Take the memory of an open connection.

        Args:
            transport: The connection; it is aborted if there is no memory left.

        Returns:
            Whether there was memory.
        """
        self._transport = transport
        self._account = self._memory.open_account(
            PEERS, self._evict, lambda: self.is_idle()
        )
        if self._account is None:
            self._abort('there is no memory for it')
        else:
            self._account.transport = transport
        return self._account is not None

    def close(self) -> None:
        """Give everything back."""
        if self._account is not None:
            self._account.close()
            self._account = None
        self._transport = None

    def set_held(self, received_bytes: int, *, writes_wait: bool) -> None:
        """Set what is held; close the connection to a peer that does not read.

        Args:
            received_bytes: Memory for what was received and is not complete.
            writes_wait: Whether the peer does not read as fast as is written.
        """
        account = self._account
        if account is None or self._transport is None:
            return
        unsent_bytes = 0
        if writes_wait:
            unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > _MAX_UNSENT_BYTES:
            self._abort(f'the peer has not read {unsent_bytes} bytes')
            return
        held_bytes = received_bytes + unsent_bytes
        if held_bytes != account.received_bytes:
            account.set_received(held_bytes)

    def _evict(self) -> None:
        self._abort('others need its memory')

    def _abort(self, why: str) -> None:
        transport = self._transport
        if transport is None:
            return
        logger.warning(
            'closed the link with %s: %s; %s',
            transport.get_extra_info('peername'),
            why,
            self._memory.describe(),
        )
        transport.abort()


def _is_never_idle() -> bool:
    """Keep the connection until a handler is set."""
    return False
