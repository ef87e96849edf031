"""Interface of the platform's key-value store.

Only this module and the adapter know how the platform is reached; another
platform needs another adapter.
"""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """One key of the store.

    Attributes:
        revision: Grows with every write of the store.
    """

    key: str
    text: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key, mostly under a condition.

    Attributes:
        expected_revision: Revision the key must have; zero if it must be
            absent, None for any.
        lease_id: Lease with which the key ends; zero for none.
    """

    key: str
    text: str
    expected_revision: int | None
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Listing:
    """All keys with a prefix.

    Attributes:
        revision: Changes after it may be missing from the entries.
    """

    entries: tuple[StoredValue, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one key; the entry is None if it was deleted."""

    key: str
    entry: StoredValue | None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes in order, and the revision to go on from."""

    changes: tuple[Change, ...]
    revision: int


class Store(abc.ABC):
    """Compare-and-swap, leases and watches.

    Every method raises ``StoreUnavailableError`` when no answer came; a
    write may then have taken effect.
    """

    @abc.abstractmethod
    async def start(self) -> None:
        """Prepare connections."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""

    @abc.abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Return a key, or None if it is absent."""

    @abc.abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys that start with ``prefix``, in order."""

    @abc.abstractmethod
    async def write(self, write: Write) -> int:
        """Write a key and return its new revision.

        Raises:
            StoreConflictError: The key has another revision.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key.

        Raises:
            StoreConflictError: The key has another revision.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease that ends after ``ttl_ms``."""

    @abc.abstractmethod
    async def keep_lease(self, lease_id: int) -> None:
        """Start the time of a lease anew.

        Raises:
            StoreConflictError: The lease has ended.
        """

    @abc.abstractmethod
    async def watch(
        self,
        key: str,
        seen_revision: int,
        wait_ms: int,
    ) -> StoredValue | None:
        """Wait until a key is newer than ``seen_revision``.

        Returns:
            The key, or None if ``wait_ms`` passed without a change.
        """


class WatchableStore(Store):
    """A store that also lists and watches all keys with a prefix."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix and a revision to watch from."""

    @abc.abstractmethod
    async def watch_prefix(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
    ) -> Changes:
        """Wait for changes of keys with a prefix after a revision.

        Raises:
            HistoryLostError: The store no longer has that history.
        """
