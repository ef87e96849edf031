"""Interface of the platform's key-value store.

Other modules use only this interface.  Supporting another platform takes
another implementation of it.
"""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """One entry of the store: a key and its value.

    Attributes:
        text: Value of the key.
        revision: Revision of the last write of the key.  Each write to the
            store has a higher revision than the one before.
    """

    key: str
    text: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key, usually conditional.

    Attributes:
        expected_revision: Revision that the key must have; zero if it must
            not exist, None for an unconditional write.
        lease_id: Lease that the key is bound to; zero for none.
    """

    key: str
    text: str
    expected_revision: int | None
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Listing:
    """The entries of all keys with a prefix.

    Attributes:
        revision: Revision to watch from; the entries may lack later changes.
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
    """Changes in order, and the revision to continue the watch from."""

    changes: tuple[Change, ...]
    revision: int


class Store(abc.ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Every method raises ``StoreUnavailableError`` if the store does not reply;
    a write may still have taken effect.
    """

    @abc.abstractmethod
    async def start(self) -> None:
        """Open the connections."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""

    @abc.abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Return the entry of a key, or None if it does not exist."""

    @abc.abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return the entries of all keys with a prefix, ordered by key."""

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
        """Return the ID of a new lease that expires after ``ttl_ms``."""

    @abc.abstractmethod
    async def keep_lease(self, lease_id: int) -> None:
        """Renew a lease for its full duration.

        Raises:
            StoreConflictError: The lease has expired.
        """

    @abc.abstractmethod
    async def watch(
        self,
        key: str,
        seen_revision: int,
        wait_ms: int,
    ) -> StoredValue | None:
        """Wait until the revision of a key is above ``seen_revision``.

        Returns:
            The entry of the key, or None if ``wait_ms`` passed unchanged.
        """


class WatchableStore(Store):
    """A store that also lists and watches all keys with a prefix."""

    @abc.abstractmethod
    async def list_prefix(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> Listing:
        """Return all entries with a prefix, and a revision to watch from.

        Args:
            prefix: Prefix of the keys.
            may_be_stale: Allow entries that are some seconds old, which is
                cheaper.
        """

    @abc.abstractmethod
    async def watch_prefix(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
    ) -> Changes:
        """Wait for changes of keys with a prefix after a revision.

        Raises:
            HistoryLostError: The store no longer keeps the changes after
                that revision.
        """
