"""Client of the key-value store, over HTTP and JSON."""

import json
from typing import Any

import aiohttp
from chivelead_protocol import (
    StoreConflictError,
    StoreTimeoutError,
    StoreUnavailableError,
)
from chivelead_protocol.bounds import (
    UnlimitedRooms,
    describe_error,
    read_limited,
    shorten,
)

from chivelead_coordination._internal.store import Store, StoredValue, Write
from chivelead_coordination._internal.store_connections import StoreConnections

_MS_PER_S = 1000
_CONFLICT_STATUS = 409
_OK_STATUS = 200
_WATCH_GRACE_MS = 500
# All documents of a fleet come in one response.
_MAX_RESPONSE_BYTES = 16_777_216


class HttpStore(Store):
    """Client of the platform's store.

    Args:
        url: Base URL, with an IP address as the host.
        timeout_ms: Timeout of each call other than a watch.
    """

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Prepare the client; ``start`` allows calls."""
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._connections = StoreConnections()

    async def start(self) -> None:
        """Allow calls."""
        await self._connections.start()

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def read(self, key: str) -> StoredValue | None:
        """Return the entry of a key, or None if it does not exist."""
        body = await self._call('read', {'key': key})
        return _parse_entry(body['entry'])

    async def read_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all entries whose keys have a prefix, in the store's order."""
        body = await self._call('read_prefix', {'prefix': prefix})
        entries = (_parse_entry(entry) for entry in body['entries'])
        return tuple(entry for entry in entries if entry)

    async def write(self, write: Write) -> int:
        """Write a key and return its new revision."""
        body = await self._call(
            'write',
            {
                'key': write.key,
                'text': write.text,
                'expected_revision': write.expected_revision,
                'lease_id': write.lease_id,
            },
        )
        return int(body['revision'])

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key."""
        await self._call(
            'delete',
            {'key': key, 'expected_revision': expected_revision},
        )

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the ID of a new lease."""
        body = await self._call('grant_lease', {'ttl_ms': ttl_ms})
        return int(body['lease_id'])

    async def keep_lease(self, lease_id: int) -> None:
        """Renew a lease."""
        await self._call('keep_lease', {'lease_id': lease_id})

    async def watch(
        self,
        key: str,
        seen_revision: int,
        wait_ms: int,
    ) -> StoredValue | None:
        """Wait until the revision of a key is above ``seen_revision``."""
        body = await self._call(
            'watch',
            {'key': key, 'seen_revision': seen_revision, 'wait_ms': wait_ms},
            wait_ms + _WATCH_GRACE_MS,
        )
        return _parse_entry(body['entry'])

    async def _call(
        self,
        operation: str,
        arguments: dict[str, Any],
        timeout_ms: int | None = None,
    ) -> Any:
        limit_ms = timeout_ms or self._timeout_ms
        timeout = aiohttp.ClientTimeout(total=limit_ms / _MS_PER_S)
        try:
            async with self._connections.call(
                'POST',
                f'{self._url}/v1/{operation}',
                json=arguments,
                timeout=timeout,
            ) as response:
                async with read_limited(
                    response, _MAX_RESPONSE_BYTES, UnlimitedRooms()
                ) as text:
                    return _parse_response(operation, response.status, text)
        except TimeoutError as error:
            raise StoreTimeoutError(
                f'{operation} at the store',
                f'no response within {limit_ms} ms',
                'a write may have taken effect',
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise StoreUnavailableError(
                f'{operation} at the store',
                describe_error(error),
                'a write may have taken effect',
            ) from error


def _parse_response(operation: str, status: int, text: bytearray) -> Any:
    if status == _CONFLICT_STATUS:
        raise StoreConflictError(
            operation, shorten(text.decode(errors='replace'))
        )
    if status != _OK_STATUS:
        raise StoreUnavailableError(operation, f'HTTP status {status}')
    return json.loads(text)


def _parse_entry(entry: Any) -> StoredValue | None:
    if entry is None:
        return None
    return StoredValue(entry['key'], entry['text'], entry['revision'])
