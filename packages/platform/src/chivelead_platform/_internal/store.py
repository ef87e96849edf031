"""Client of the platform's key-value store."""

import base64
import binascii
import contextlib
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp
import orjson
from chivelead_coordination import (
    STORE_SOURCE,
    Change,
    Changes,
    Listing,
    StoreConnections,
    StoredValue,
    StoreEra,
    WatchableStore,
    Write,
)
from chivelead_protocol import (
    ConfigurationError,
    HistoryLostError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreTimeoutError,
    StoreUnavailableError,
)
from chivelead_protocol.bounds import (
    BodyTooLargeError,
    ConnectionMemory,
    FrameRooms,
    UnlimitedRooms,
    describe_error,
    read_limited,
    shorten,
)

from chivelead_platform._internal.process_settings import Address
from chivelead_platform._internal.values import FieldReader

logger = logging.getLogger(__name__)

_MS_PER_S = 1000
_ERA_HEADER = 'Store-Era'
# More digits than any era has; a longer number is no era.
_MAX_ERA_DIGITS = 15
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_FORBIDDEN = 403
_WATCH_MARGIN_MS = 1000
_DEFAULT_VALUE_LIMIT_BYTES = 1_048_576
# The store puts values of about this size into one response.
_PAGE_BYTES = 1_048_576
# Values are encoded as base64, and have keys and revisions beside them.
_ENCODED_RATIO = 2
# The entries of several times the fleet of the target.
_MAX_LISTING_BYTES = 16_777_216
# What an entry takes beside its value.
_ENTRY_BYTES = 400
_Query = dict[str, str]
_Decoded = TypeVar('_Decoded')


class _ResponseTooLargeError(StoreUnavailableError):
    """A response of the store is larger than any that it should send."""


class PlatformStore(WatchableStore):
    """Access the store over HTTP with JSON bodies.

    Args:
        address: Address on which the store listens.
        timeout_ms: Timeout of each call.
        era: Receives the era of the store that each response names.
        watch_margin_ms: Time for the response to a watch to arrive after its
            wait has ended.
        value_limit_bytes: The largest value that the store holds.
        memory: Counts what the connections hold; unlimited by default.
        rooms: Counts what responses and listings hold; unlimited by default.
    """

    def __init__(
        self,
        address: Address,
        timeout_ms: float,
        era: StoreEra,
        watch_margin_ms: float = _WATCH_MARGIN_MS,
        value_limit_bytes: int = _DEFAULT_VALUE_LIMIT_BYTES,
        memory: ConnectionMemory | None = None,
        rooms: FrameRooms | None = None,
    ) -> None:
        """Initialise the client; ``start`` allows calls."""
        self._era = era
        self._url = f'http://{address.host}:{address.port}/api'
        self._timeout_ms = timeout_ms
        self._watch_margin_ms = watch_margin_ms
        self._response_limit_bytes = _ENCODED_RATIO * max(
            value_limit_bytes, _PAGE_BYTES
        )
        self._connections = StoreConnections(memory)
        self._rooms = rooms or UnlimitedRooms()

    async def start(self) -> None:
        """Allow calls."""
        await self._connections.start()

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def read(self, key: str) -> StoredValue | None:
        """Return the entry of a key, or None if it is absent."""
        try:
            reader = await self._call('GET', 'kv-key', query={'key': key})
        except StoreNotFoundError:
            return None
        return _decode(_decode_entry, reader)

    async def read_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return the entries of all keys with a prefix, in order."""
        return (await self.list_prefix(prefix)).entries

    async def list_prefix(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> Listing:
        """Return all entries with a prefix, and a revision to watch from."""
        with contextlib.ExitStack() as held:
            return await self._read_pages(
                prefix, held, may_be_stale=may_be_stale
            )

    async def watch_prefix(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
    ) -> Changes:
        """Wait for changes of keys with a prefix after a revision."""
        query = {
            'prefix': prefix,
            # In kv-watch this parameter is a revision; in kv-range, a key.
            'after': str(after_revision),
            'wait_ms': str(wait_ms),
        }
        try:
            reader = await self._call(
                'GET',
                'kv-watch',
                query=query,
                timeout_ms=wait_ms + self._watch_margin_ms,
            )
        except _ResponseTooLargeError as error:
            # The pages of a listing are smaller than this history may be.
            raise HistoryLostError(error.operation, error.cause) from error
        return _decode(_decode_changes, reader)

    async def watch(
        self,
        key: str,
        seen_revision: int,
        wait_ms: int,
    ) -> StoredValue | None:
        """Wait until the revision of a key is above ``seen_revision``.

        Returns:
            The entry of the key, or None if it was deleted or did not change.
        """
        changes = await self.watch_prefix(key, seen_revision, wait_ms)
        for change in reversed(changes.changes):
            if change.key == key:
                return change.entry
        return None

    async def write(self, write: Write) -> int:
        """Write a key and return its new revision."""
        written_entry: dict[str, Any] = {
            'key': write.key,
            'value': base64.b64encode(write.text.encode()).decode(),
        }
        if write.lease_id:
            written_entry['lease'] = write.lease_id
        conditions = []
        if write.expected_revision is not None:
            conditions = [
                _revision_condition(write.key, write.expected_revision)
            ]
        reader = await self._transact(
            conditions, writes=[written_entry], deletes=[]
        )
        return _decode(_decode_revision, reader)

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it has the expected revision."""
        await self._transact(
            [_revision_condition(key, expected_revision)],
            writes=[],
            deletes=[key],
        )

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the ID of a new lease."""
        reader = await self._call('POST', 'kv-lease', body={'ttl_ms': ttl_ms})
        return _decode(_decode_lease, reader)

    async def keep_lease(self, lease_id: int) -> None:
        """Renew a lease."""
        await self._call('POST', f'kv-keep/{lease_id}', body={})

    async def _read_pages(
        self, prefix: str, held: contextlib.ExitStack, *, may_be_stale: bool
    ) -> Listing:
        """Return a listing whose pages are counted until a stack is closed."""
        entries: list[StoredValue] = []
        size_bytes = 0
        revision = 0
        options = {'stale_ok': '1'} if may_be_stale else {}
        query = {'prefix': prefix, **options}
        while True:
            page = await self._call('GET', 'kv-range', query=query)
            found = _decode(_decode_entries, page)
            # The revision of the first page is kept, as a watch that starts
            # there misses no change made while later pages were read.
            revision = revision or _decode(_decode_store_revision, page)
            if not found or not page.boolean('has_more'):
                return Listing((*entries, *found), revision)
            page_bytes = sum(len(entry.text) + _ENTRY_BYTES for entry in found)
            held.callback(self._rooms.hold(page_bytes).close)
            size_bytes += page_bytes
            is_next = not entries or entries[-1].key < found[0].key
            if size_bytes > _MAX_LISTING_BYTES or not is_next:
                raise StoreUnavailableError(
                    'kv-range at the store', 'the pages have no end'
                )
            entries.extend(found)
            query = {'prefix': prefix, 'after': found[-1].key, **options}

    async def _transact(
        self,
        conditions: list[dict[str, Any]],
        *,
        writes: list[dict[str, Any]],
        deletes: list[str],
    ) -> FieldReader:
        return await self._call(
            'POST',
            'kv-txn',
            body={
                # The preconditions: the revisions that the keys must have.
                'expected_revision': conditions,
                'writes': writes,
                'deletes': deletes,
            },
        )

    async def _call(
        self,
        method: str,
        operation: str,
        *,
        query: _Query | None = None,
        body: Any = None,
        timeout_ms: float = 0,
    ) -> FieldReader:
        timeout_s = (timeout_ms or self._timeout_ms) / _MS_PER_S
        try:
            async with self._connections.call(
                method,
                f'{self._url}/{operation}',
                params=query,
                data=None if body is None else orjson.dumps(body),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                async with read_limited(
                    response, self._response_limit_bytes, self._rooms
                ) as text:
                    return self._parse(operation, response, text)
        except TimeoutError as error:
            raise StoreTimeoutError(
                f'{operation} at the store',
                f'no response within {timeout_s} s',
                'a write may have taken effect',
            ) from error
        except BodyTooLargeError as error:
            raise _ResponseTooLargeError(
                f'{operation} at the store',
                str(error),
                'a write may have taken effect',
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(
                f'{operation} at the store',
                describe_error(error),
                'a write may have taken effect',
            ) from error

    def _parse(
        self,
        operation: str,
        response: aiohttp.ClientResponse,
        text: bytearray,
    ) -> FieldReader:
        self._observe_era(operation, response.headers.get(_ERA_HEADER))
        _check_status(operation, response.status)
        return _parse_body(operation, text)

    def _observe_era(self, operation: str, header: str | None) -> None:
        """Record the era of a response; reject one of an earlier era."""
        if header is None:
            return
        era = _parse_era(header)
        if era is None:
            logger.warning('the store names an invalid era: %.40r', header)
            return
        self._era.observe(era, STORE_SOURCE)
        if era < self._era.number:
            raise StoreUnavailableError(
                f'{operation} at the store',
                f'the response is of era {era}, before {self._era.number}',
                'a write may be lost',
            )


def _check_status(operation: str, status: int) -> None:
    if status == _OK:
        return
    if status == _PRECONDITION_FAILED:
        raise StoreConflictError(operation, 'a key has another revision')
    if status == _NOT_FOUND:
        raise StoreNotFoundError(operation, 'key or lease not found')
    if status == _GONE:
        raise HistoryLostError(
            operation, 'the changes after this revision are no longer kept'
        )
    if status == _FORBIDDEN:
        raise StoreError(operation, 'writing the key is forbidden')
    raise StoreUnavailableError(operation, f'unexpected status {status}')


def _parse_era(header: str) -> int | None:
    text = header.strip()
    if not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
        return None
    return int(text)


def _parse_body(operation: str, text: bytearray) -> FieldReader:
    try:
        return FieldReader(operation, orjson.loads(text or b'{}'))
    except (orjson.JSONDecodeError, ConfigurationError) as error:
        raise StoreUnavailableError(
            operation, f'invalid response: {shorten(str(error))}'
        ) from error


def _decode(
    decode: Callable[[FieldReader], _Decoded],
    reader: FieldReader,
) -> _Decoded:
    try:
        return decode(reader)
    except (ConfigurationError, binascii.Error, UnicodeDecodeError) as error:
        raise StoreUnavailableError(
            'decode', f'invalid response: {shorten(str(error))}'
        ) from error


def _revision_condition(key: str, revision: int) -> dict[str, Any]:
    return {'key': key, 'revision': revision}


def _decode_entry(reader: FieldReader) -> StoredValue:
    text = base64.b64decode(reader.string('value'), validate=True)
    return StoredValue(
        reader.string('key'),
        text.decode(errors='replace'),
        reader.count('revision'),
    )


def _decode_entries(reader: FieldReader) -> list[StoredValue]:
    return [
        _decode_entry(FieldReader('item', raw))
        for raw in reader.entries('items')
    ]


def _decode_changes(reader: FieldReader) -> Changes:
    changes = []
    for raw in reader.entries('events'):
        event = FieldReader('event', raw)
        deleted = event.boolean('deleted')
        changes.append(
            Change(
                event.string('key'), None if deleted else _decode_entry(event)
            ),
        )
    return Changes(tuple(changes), _decode_store_revision(reader))


def _decode_store_revision(reader: FieldReader) -> int:
    return reader.count('store_revision')


def _decode_revision(reader: FieldReader) -> int:
    return reader.count('revision')


def _decode_lease(reader: FieldReader) -> int:
    return reader.count('lease')
