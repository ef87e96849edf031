"""Memory that connections hold besides the bodies that are counted."""

import asyncio
import collections
import itertools
from collections.abc import Callable, Iterable

from chivelead_protocol._internal.clock import loop_ms
from chivelead_protocol._internal.delivery import unread_bytes
from chivelead_protocol._internal.edges import Edge
from chivelead_protocol._internal.parse_turns import ParseTurns

_SEARCH_PERIOD_MS = 20.0
# A search among them is short, however many connections there are.
_SILENT_COUNT = 64


class ConnectionMemory:
    """Count of what connections reserve and have received, with a limit.

    A connection reserves what an idle one of its edge costs, with what the
    kernel may hold of it.  What has been received and is not part of a body
    that is counted is added as it arrives.

    Args:
        limit_bytes: Limit on all connections together.

    Attributes:
        turns: Turns of the connections that have received much.
        held_bytes: Bytes that all connections reserve and hold.
        refused_count: Connections that found no room.
        evicted_count: Connections that were closed to make room.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Create a memory without any connections."""
        self.turns = ParseTurns()
        self.held_bytes = 0
        self.refused_count = 0
        self.evicted_count = 0
        self._limit_bytes = limit_bytes
        self._held: collections.Counter[str] = collections.Counter()
        # A search costs time for each connection.
        self._none_expendable_until_ms = 0.0
        self._none_large_until_ms = 0.0
        # Those that were active last are at the end.
        self._accounts: collections.OrderedDict[ConnectionAccount, None] = (
            collections.OrderedDict()
        )

    def open_account(
        self,
        edge: Edge,
        evict: Callable[[], None],
        is_expendable: Callable[[], bool],
        may_be_cut: Callable[[], bool] | None = None,
    ) -> 'ConnectionAccount | None':
        """Return the account of a new connection; None if there is no room.

        Connections that can be closed without harm give way to the new one.

        Args:
            edge: Edge of the connection.
            evict: Closes the connection at once.
            is_expendable: Returns whether closing the connection does no harm.
            may_be_cut: Returns whether the connection may be closed for what it
                holds; by default, it never is.
        """
        needed_bytes = edge.reserved_bytes
        while self._lacks(edge, needed_bytes):
            if self._evict_expendable(edge):
                continue
            if edge.is_essential:
                break
            self.refused_count += 1
            return None
        account = ConnectionAccount(
            self, edge, evict, is_expendable, may_be_cut or _never
        )
        self._accounts[account] = None
        self._change(edge, needed_bytes)
        return account

    def held_by_edge(self) -> dict[str, int]:
        """Return the held bytes of each edge that has open connections."""
        return {name: held for name, held in self._held.items() if held}

    def open_accounts(self) -> 'tuple[ConnectionAccount, ...]':
        """Return the accounts of all open connections."""
        return tuple(self._accounts)

    def describe(self) -> str:
        """Return the count and the limit, for a log line."""
        return (
            f'{self.held_bytes} held of {self._limit_bytes:.0f}'
            f' by {len(self._accounts)} connections'
        )

    def add(self, account: 'ConnectionAccount', size_bytes: int) -> None:
        """Add bytes to an account; evict others or it if there is no room.

        The one that has held most for longest goes first, then those that
        can be closed without harm.  Those that hold little stay, so that small
        requests do not suffer from what others send.

        Args:
            account: Account of a connection that has received something.
            size_bytes: Bytes to add; negative if some were read.
        """
        if account not in self._accounts:
            return
        self._accounts.move_to_end(account)
        self._change(account.edge, size_bytes)
        if account.is_large():
            self._none_large_until_ms = 0
        while size_bytes > 0 and self._lacks(account.edge, 0):
            if not (
                self._evict_largest() or self._evict_expendable(account.edge)
            ):
                return

    def remove(self, account: 'ConnectionAccount') -> None:
        """Remove the account of a connection that has ended."""
        if account in self._accounts:
            self._accounts.pop(account)
            self._change(account.edge, -account.held_bytes)

    def _change(self, edge: Edge, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        self._held[edge.name] += size_bytes

    def _lacks(self, edge: Edge, size_bytes: int) -> bool:
        return (
            self._exceeds_part(edge, size_bytes)
            or self.held_bytes + size_bytes > self._limit_bytes
        )

    def _exceeds_part(self, edge: Edge, size_bytes: int) -> bool:
        edge_bytes = self._held[edge.name] + size_bytes
        return edge_bytes > self._limit_bytes * edge.fraction

    def _evict_expendable(self, edge: Edge) -> bool:
        """Evict the connection that has been silent longest, if any may be.

        Args:
            edge: Edge that needs room.  If it has used up its part, the others
                are left alone.
        """
        if loop_ms() < self._none_expendable_until_ms:
            return False
        is_own_part = self._exceeds_part(edge, edge.reserved_bytes)
        for account in self._accounts:
            is_candidate = account.edge is edge or not is_own_part
            if is_candidate and account.is_expendable():
                self._evict(account)
                return True
        self._none_expendable_until_ms = loop_ms() + _SEARCH_PERIOD_MS
        return False

    def _evict_largest(self) -> bool:
        """Evict the connection that has held most for longest, if any may be.

        Those that hold little are left, as small requests do.
        """
        now_ms = loop_ms()
        if now_ms < self._none_large_until_ms:
            return False
        # Those that have been silent longest are searched first.
        silent = itertools.islice(self._accounts, _SILENT_COUNT)
        worst = _find_worst(silent, now_ms) or _find_worst(
            self._accounts, now_ms
        )
        if worst is None:
            self._none_large_until_ms = now_ms + _SEARCH_PERIOD_MS
            return False
        self._evict(worst)
        return True

    def _evict(self, account: 'ConnectionAccount') -> None:
        self.evicted_count += 1
        self.remove(account)
        account.evict()


class ConnectionAccount:
    """What is counted for one connection.

    Args:
        memory: Count that the account belongs to.
        edge: Edge of the connection.
        evict: Closes the connection at once.
        is_expendable: Returns whether closing the connection does no harm.
        may_be_cut: Returns whether the connection may be closed for what it
            holds.

    Attributes:
        received_bytes: Memory for what was received and is not read, except
            for bodies that are counted.
        kept_bytes: Memory that is kept of exchanges that have ended.
        last_active_ms: Time at which this changed last.
        transport: Transport of the connection, set by its protocol.
    """

    def __init__(
        self,
        memory: ConnectionMemory,
        edge: Edge,
        evict: Callable[[], None],
        is_expendable: Callable[[], bool],
        may_be_cut: Callable[[], bool],
    ) -> None:
        """Create an account that holds what an idle connection costs."""
        self.edge = edge
        self.evict = evict
        self.may_be_cut = may_be_cut
        self.received_bytes = 0
        self.kept_bytes = 0
        self.transport: asyncio.BaseTransport | None = None
        self.last_active_ms = loop_ms()
        self._held_since_ms = self.last_active_ms
        self._memory = memory
        self._is_expendable = is_expendable

    @property
    def held_bytes(self) -> int:
        """Return all that is counted for the connection."""
        return self.edge.reserved_bytes + max(
            0, self._content_bytes - self.edge.little_bytes
        )

    def is_expendable(self) -> bool:
        """Return whether closing the connection does no harm.

        One that seems idle may only not have been read.
        """
        if not self._is_expendable():
            return False
        if self.received_bytes or self.transport is None:
            return True
        return not unread_bytes(self.transport)

    def is_large(self) -> bool:
        """Return whether the connection may be closed for what it holds."""
        return (
            self._content_bytes > self.edge.little_bytes and self.may_be_cut()
        )

    def hold_cost(self, now_ms: float) -> float:
        """Return the bytes beyond an idle connection, times their age.

        Args:
            now_ms: Current time by ``loop_ms``.
        """
        return self._content_bytes * (1 + now_ms - self._held_since_ms)

    def set_received(self, size_bytes: int, kept_bytes: int = 0) -> None:
        """Set the memory for what was received.

        Connections that hold much may be evicted, this one among them.

        Args:
            size_bytes: Memory for what is not read.
            kept_bytes: Memory that is kept of exchanges that have ended.
        """
        self.last_active_ms = loop_ms()
        if not self.received_bytes:
            self._held_since_ms = self.last_active_ms
        held_bytes = self.held_bytes
        self.received_bytes = size_bytes
        self.kept_bytes = kept_bytes
        self._memory.add(self, self.held_bytes - held_bytes)

    def close(self) -> None:
        """Give everything back."""
        self._memory.remove(self)

    @property
    def _content_bytes(self) -> int:
        return self.received_bytes + self.kept_bytes


def _never() -> bool:
    """Keep a connection whatever it holds."""
    return False


def _find_worst(
    accounts: Iterable[ConnectionAccount], now_ms: float
) -> ConnectionAccount | None:
    """Return the large account that has held most for longest, if any."""
    return max(
        filter(ConnectionAccount.is_large, accounts),
        key=lambda account: account.hold_cost(now_ms),
        default=None,
    )
