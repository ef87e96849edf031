"""In-memory fakes of the store and the network that coordination uses."""

import asyncio
import dataclasses
import itertools

from chivelead_coordination import Network, Store, StoredValue
from chivelead_protocol import (
    LinkLostError,
    LinkNotOpenError,
    Member,
    StoreConflictError,
    StoreUnavailableError,
    now_ms,
)


def make_member(vm, **changes):
    """Return a live member, with fields replaced by ``changes``."""
    member = Member(
        vm=vm,
        boot_id=f'boot-{vm}',
        incarnation=1,
        version=1,
        alive=True,
        relay=False,
        host='127.0.0.1',
        peer_port=1,
        failure_domain='south-1',
        region='south',
        service='stock',
        target_state='ready',
        target_slots=10,
        target_connections=100,
        shares=(),
    )
    return dataclasses.replace(member, **changes)


class FakeStore(Store):
    """In-memory store that can simulate faults.

    While ``down`` is set, every call fails.  ``lose_next_reply`` makes the
    next write fail after it has taken effect.
    """

    def __init__(self):
        """Start without entries or leases."""
        self.entries = {}
        self.leases = {}
        self.call_count = 0
        self.down = False
        self.lose_next_reply = False
        self._id_counter = itertools.count(1)

    async def start(self):
        """Do nothing."""

    async def close(self):
        """Do nothing."""

    async def read(self, key):
        """Return the entry of a key, or None if it does not exist."""
        await self._simulate_call()
        return self.entries.get(key)

    async def read_prefix(self, prefix):
        """Return the entries of all keys with a prefix, ordered by key."""
        await self._simulate_call()
        return tuple(
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        )

    async def write(self, write):
        """Write a key if it has the expected revision."""
        await self._simulate_call()
        self._check_revision(write.key, write.expected_revision)
        revision = next(self._id_counter)
        self.entries[write.key] = StoredValue(write.key, write.text, revision)
        if write.lease_id:
            self.leases[write.lease_id][1].add(write.key)
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise StoreUnavailableError('write', 'the reply was lost')
        return revision

    async def delete(self, key, expected_revision):
        """Delete a key if it has the expected revision."""
        await self._simulate_call()
        self._check_revision(key, expected_revision)
        self.entries.pop(key)

    async def grant_lease(self, ttl_ms):
        """Return the ID of a new lease."""
        await self._simulate_call()
        lease_id = next(self._id_counter)
        self.leases[lease_id] = [now_ms() + ttl_ms, set(), ttl_ms]
        return lease_id

    async def keep_lease(self, lease_id):
        """Renew a lease."""
        await self._simulate_call()
        if lease_id not in self.leases:
            raise StoreConflictError('keep lease', 'the lease has expired')
        self.leases[lease_id][0] = now_ms() + self.leases[lease_id][2]

    async def watch(self, key, seen_revision, wait_ms):
        """Poll until the revision of the key is above ``seen_revision``."""
        end_ms = now_ms() + wait_ms
        while now_ms() < end_ms:
            entry = await self.read(key)
            if entry is not None and entry.revision > seen_revision:
                return entry
            await asyncio.sleep(0.05)
        return None

    async def _simulate_call(self):
        self.call_count += 1
        await asyncio.sleep(0.002)
        if self.down:
            raise StoreUnavailableError('call', 'the store is down')
        for lease_id, (expires_ms, keys, _) in tuple(self.leases.items()):
            if expires_ms <= now_ms():
                self.leases.pop(lease_id)
                for key in keys:
                    self.entries.pop(key, None)

    def _check_revision(self, key, expected_revision):
        entry = self.entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected_revision:
            raise StoreConflictError('write', f'revision {revision}')


class FakeNetwork(Network):
    """Network that calls the handlers of other nodes directly.

    ``handlers`` maps a VM to an async function of the sender and the message.
    Requests and replies arrive after ``delay_s``.  Requests to a VM in
    ``unreachable_vms`` fail; if a VM is added while it handles a request, the
    reply is lost.
    """

    def __init__(self, vm, handlers, delay_s=0.001):
        """Create the network of one node; all nodes share ``handlers``."""
        self.vm = vm
        self.handlers = handlers
        self.delay_s = delay_s
        self.unreachable_vms = set()
        self.sent = []

    async def request(self, vm, body, timeout_ms):
        """Call the handler of a VM and return its reply."""
        self.sent.append((vm, body))
        await asyncio.sleep(self.delay_s)
        if vm in self.unreachable_vms or vm not in self.handlers:
            raise LinkNotOpenError('request', f'{vm} is unreachable')
        async with asyncio.timeout(timeout_ms / 1000):
            reply = await self.handlers[vm](self.vm, body)
        await asyncio.sleep(self.delay_s)
        if vm in self.unreachable_vms:
            raise LinkLostError('request', f'{vm} became unreachable')
        return reply
