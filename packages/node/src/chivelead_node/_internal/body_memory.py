"""Memory of a node for the bodies of requests and responses.

All bodies that a process holds are counted here, from before they are received
until the last copy is gone.  Small bodies can use memory that large ones
cannot, and responses can use memory that large requests cannot.
"""

import asyncio
import collections
import dataclasses
import enum

from chivelead_protocol import LARGE_FRAME_BYTES

_MS_PER_S = 1000


# A body without an announced length gets less, as it may have no end.
_FRACTION_WITHOUT_LENGTH = 0.44
# Messages about the fleet have memory beside that of bodies, so that neither
# keeps the other out.
_MESSAGE_FRACTION = 0.05
# Memory for a message that is handled, and for each of its bytes.
_MESSAGE_BYTES = 4096
_DECODED_FACTOR = 4
_STRING_FACTOR = 2


class BodyKind(enum.Enum):
    """What a body belongs to; the value is the fraction of the memory for it.

    The fraction is that up to which all bodies together may grow when a large
    body of the kind is added.
    """

    request = 0.8
    response = 0.92
    message = 1.0


class BodyMemory:
    """Count of the bytes of bodies, with a limit.

    Args:
        limit_bytes: Limit on all bodies together.

    Attributes:
        held_bytes: Bytes that all open shares hold.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Create a memory without any bodies."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._message_bytes = 0
        self._unexplained_bytes = 0
        self._waiting: collections.deque[_Waiting] = collections.deque()

    @property
    def limit_without_length_bytes(self) -> float:
        """Return the limit on one response without an announced length."""
        return self._limit_bytes * _FRACTION_WITHOUT_LENGTH

    @property
    def message_limit_bytes(self) -> float:
        """Return the limit on all messages that are no calls or replies."""
        return self._limit_bytes * _MESSAGE_FRACTION

    def decoded_bytes(self, size_bytes: int) -> int:
        """Return the memory for a message of a size while it is handled."""
        return _MESSAGE_BYTES + size_bytes * _DECODED_FACTOR

    def open_share(self, kind: BodyKind) -> 'BodyShare':
        """Return an empty share for one body."""
        return BodyShare(self, kind)

    def hold(self, size_bytes: int) -> 'BodyShare':
        """Return a share for a body that is in memory already."""
        share = self.open_share(BodyKind.response)
        self.add(share, size_bytes)
        return share

    def take_request(self, size_bytes: int) -> 'BodyShare | None':
        """Return a share for a request, or None if there is no memory left."""
        return self._take(BodyKind.request, size_bytes)

    def take_reply(self, size_bytes: int) -> 'BodyShare | None':
        """Return a share for a response, or None if there is no memory left."""
        return self._take(BodyKind.response, size_bytes)

    def take_message(self, size_bytes: int) -> 'BodyShare | None':
        """Return a share for another message, or None if there are many.

        One alone may be larger, such as a plan, which is mostly one string.

        Args:
            size_bytes: Size of the message on the wire.
        """
        decoded_bytes = self.decoded_bytes(size_bytes)
        taken_bytes = self._message_bytes + decoded_bytes
        if not self._message_bytes:
            taken_bytes = size_bytes * _STRING_FACTOR
        if taken_bytes > self.message_limit_bytes:
            return None
        share = self.open_share(BodyKind.message)
        self.add(share, decoded_bytes)
        return share

    def could_have_room(self, share: 'BodyShare', size_bytes: int) -> bool:
        """Return whether a share may grow when there are no other bodies."""
        largest_bytes = self._limit_bytes * share.kind.value
        new_bytes = share.size_bytes + size_bytes
        if new_bytes > LARGE_FRAME_BYTES:
            largest_bytes -= self._unexplained_bytes
        return new_bytes <= largest_bytes

    def has_room(self, share: 'BodyShare', size_bytes: int) -> bool:
        """Return whether a share may grow."""
        room_bytes = self._limit_bytes
        if share.size_bytes + size_bytes > LARGE_FRAME_BYTES:
            room_bytes = room_bytes * share.kind.value - self._unexplained_bytes
        return self.held_bytes + size_bytes <= room_bytes

    def set_unexplained(self, size_bytes: int) -> None:
        """Set the memory of the process that no count explains.

        Large bodies have so much less room.

        Args:
            size_bytes: Size, or zero if it is small.
        """
        self._unexplained_bytes = size_bytes
        self._grant_waiting()

    def describe(self) -> str:
        """Return the count and the limit, for a log line."""
        held = (
            f'{self.held_bytes} held of {self._limit_bytes:.0f},'
            f' {len(self._waiting)} waiting'
        )
        if self._unexplained_bytes:
            held = f'{held}, {self._unexplained_bytes} unexplained'
        return held

    def add(self, share: 'BodyShare', size_bytes: int) -> None:
        """Add bytes to a share even if they exceed the limit."""
        share.size_bytes += size_bytes
        self._count(share, size_bytes)

    def give_back(self, share: 'BodyShare') -> None:
        """Empty a share; the first that waits gets the memory."""
        self._count(share, -share.size_bytes)
        share.size_bytes = 0
        self._grant_waiting()

    async def wait_for_room(
        self, share: 'BodyShare', size_bytes: int, limit_ms: float
    ) -> bool:
        """Add bytes to a share as soon as there is memory for them.

        Args:
            share: Share to add to.
            size_bytes: Bytes to add.
            limit_ms: Longest wait.

        Returns:
            Whether the bytes were added.
        """
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(share, size_bytes, granted))
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                await granted
        except TimeoutError:
            return False
        return True

    def _count(self, share: 'BodyShare', size_bytes: int) -> None:
        self.held_bytes += size_bytes
        if share.kind is BodyKind.message:
            self._message_bytes += size_bytes

    def _grant_waiting(self) -> None:
        while self._waiting:
            first = self._waiting[0]
            if not first.granted.done():
                if not self.has_room(first.share, first.size_bytes):
                    return
                self.add(first.share, first.size_bytes)
                first.granted.set_result(None)
            self._waiting.popleft()

    def _take(self, kind: BodyKind, size_bytes: int) -> 'BodyShare | None':
        share = self.open_share(kind)
        return share if share.grow(size_bytes) else None


class BodyShare:
    """Memory that is counted for one body.

    Args:
        memory: Count that the share belongs to.
        kind: What the body belongs to.

    Attributes:
        size_bytes: Bytes that the share holds.
    """

    def __init__(self, memory: BodyMemory, kind: BodyKind) -> None:
        """Create an empty share with one holder."""
        self.kind = kind
        self.size_bytes = 0
        self._memory = memory
        self._holders = 1

    def grow(self, size_bytes: int) -> bool:
        """Add bytes; return False if there is no memory left for them."""
        has_room = self._memory.has_room(self, size_bytes)
        if has_room:
            self._memory.add(self, size_bytes)
        return has_room

    def describe(self) -> str:
        """Return the share and the count of all bodies, for a log line."""
        return (
            f'{self.size_bytes} taken for this body, {self._memory.describe()}'
        )

    async def wait_and_grow(self, size_bytes: int, limit_ms: float) -> bool:
        """Add bytes, after a wait if there is no memory left for them."""
        if self.grow(size_bytes):
            return True
        if not self._memory.could_have_room(self, size_bytes):
            return False
        return await self._memory.wait_for_room(self, size_bytes, limit_ms)

    def retain(self) -> None:
        """Add a holder of the body."""
        self._holders += 1

    def close(self) -> None:
        """Remove a holder; the memory is given back with the last one."""
        self._holders -= 1
        if not self._holders:
            self._memory.give_back(self)


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """A share that waits for memory."""

    share: BodyShare
    size_bytes: int
    granted: asyncio.Future[None]
