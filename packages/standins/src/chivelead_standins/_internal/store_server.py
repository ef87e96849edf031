"""Simulated key-value store of the platform, in memory.

Faults can be injected with ``POST /control``: it can be unavailable or slow,
or fail to acknowledge writes that took effect.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

from aiohttp import web

_MS_PER_S = 1000
_UNAVAILABLE = 503
_CONFLICT = 409
_NOT_FOUND = 404
_POLL_INTERVAL_S = 0.05
_operations: dict[str, Callable[..., Any]] = {}


def _operation(name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Register a method of ``StoreServer`` as an operation of its HTTP API."""

    def register(method: Callable[..., Any]) -> Callable[..., Any]:
        _operations[name] = method
        return method

    return register


class _ConflictError(Exception):
    """The expected revision or the lease of an operation is not valid."""


@dataclasses.dataclass(frozen=True)
class _Entry:
    text: str
    revision: int
    lease_id: int


@dataclasses.dataclass
class _Lease:
    ttl_ms: int
    expires_ms: float


@dataclasses.dataclass
class StoreFaults:
    """Injected faults.

    Attributes:
        down: Requests and watches fail with status 503.
        silent: Requests are accepted but not answered while this is set.
        silent_watches: Watches do not report changes.
        delay_ms: Delay of each request.
        lose_writes: Number of further writes and deletes that take effect
            but are not answered within 1000 s, longer than clients wait.
    """

    down: bool = False
    silent: bool = False
    silent_watches: bool = False
    delay_ms: float = 0
    lose_writes: int = 0


class StoreServer:
    """The store, with a request counter for each operation."""

    def __init__(self) -> None:
        """Initialise an empty store without faults."""
        self.faults = StoreFaults()
        self.call_counts: dict[str, int] = {}
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._revisions = itertools.count(1)
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen, and expire leases periodically."""
        self._runner = web.ServerRunner(
            web.Server(self._handle_request, access_log=None),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self._expiry_task = asyncio.create_task(self._expire_leases_forever())

    async def close(self) -> None:
        """Stop the server and the expiry of leases."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        arguments = await request.json()
        name = request.path.rpartition('/')[2]
        if name == 'control':
            self.faults = StoreFaults(**arguments)
            await self._notify()
            return web.json_response({'counts': self.call_counts})
        self.call_counts[name] = self.call_counts.get(name, 0) + 1
        await self._apply_delay_faults()
        if self.faults.down:
            return web.Response(status=_UNAVAILABLE)
        operation = _operations.get(name)
        if operation is None:
            return web.Response(status=_NOT_FOUND)
        try:
            body = await operation(self, **arguments)
        except _ConflictError as error:
            return web.Response(status=_CONFLICT, text=str(error))
        if name in {'write', 'delete'} and self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await asyncio.sleep(_MS_PER_S)
            return web.Response(status=_UNAVAILABLE)
        return web.json_response(body)

    async def _apply_delay_faults(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / _MS_PER_S)
        while self.faults.silent:
            await asyncio.sleep(_POLL_INTERVAL_S)

    @_operation('read')
    async def _read(self, key: str) -> Any:
        return {'entry': self._encode_entry(key)}

    @_operation('read_prefix')
    async def _read_prefix(self, prefix: str) -> Any:
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return {'entries': [self._encode_entry(key) for key in keys]}

    @_operation('write')
    async def _write(
        self,
        key: str,
        text: str,
        expected_revision: int,
        lease_id: int,
    ) -> Any:
        self._check_revision(key, expected_revision)
        if lease_id and lease_id not in self._leases:
            raise _ConflictError(f'lease {lease_id} has ended')
        revision = next(self._revisions)
        self._entries[key] = _Entry(text, revision, lease_id)
        await self._notify()
        return {'revision': revision}

    @_operation('delete')
    async def _delete(self, key: str, expected_revision: int) -> Any:
        self._check_revision(key, expected_revision)
        self._entries.pop(key, None)
        await self._notify()
        return {}

    @_operation('grant_lease')
    async def _grant_lease(self, ttl_ms: int) -> Any:
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(ttl_ms, _now_ms() + ttl_ms)
        return {'lease_id': lease_id}

    @_operation('keep_lease')
    async def _keep_lease(self, lease_id: int) -> Any:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise _ConflictError(f'lease {lease_id} has ended')
        lease.expires_ms = _now_ms() + lease.ttl_ms
        return {}

    @_operation('watch')
    async def _watch(self, key: str, seen_revision: int, wait_ms: int) -> Any:
        def can_return() -> bool:
            if self.faults.down:
                return True
            entry = self._entries.get(key)
            is_newer = entry is not None and entry.revision > seen_revision
            return is_newer and not self.faults.silent_watches

        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S), self._changed:
                await self._changed.wait_for(can_return)
        except TimeoutError:
            return {'entry': None}
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        return {'entry': self._encode_entry(key)}

    def _check_revision(self, key: str, expected_revision: int) -> None:
        entry = self._entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected_revision:
            raise _ConflictError(f'{key} has revision {revision}')

    def _encode_entry(self, key: str) -> Any:
        entry = self._entries.get(key)
        if entry is None:
            return None
        return {'key': key, 'text': entry.text, 'revision': entry.revision}

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            for lease_id, lease in tuple(self._leases.items()):
                if lease.expires_ms <= _now_ms():
                    self._expire_lease(lease_id)

    def _expire_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id)
        for key, entry in tuple(self._entries.items()):
            if entry.lease_id == lease_id:
                self._entries.pop(key)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * _MS_PER_S
