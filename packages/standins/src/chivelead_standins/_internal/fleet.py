"""Test fleet: node processes, with the store and targets in this process."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import Mapping

import aiohttp
from chivelead_coordination import (
    EMPTY_MANIFEST,
    MANIFEST_KEY,
    HttpStore,
    Write,
    document_text_key,
    dump_manifest,
)

from chivelead_standins._internal.layout import (
    Layout,
    NodePlan,
    node_settings,
)
from chivelead_standins._internal.store_server import StoreServer
from chivelead_standins._internal.target_server import TargetServer

_DEFAULT_READY_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.1
_OK = 200
_STORE_TIMEOUT_MS = 2000
_INITIAL_EDIT_ID = 'edit-first'
_ExtraSettings = Mapping[str, Mapping[str, str]]


class Fleet:
    """A fleet of nodes, targets and a store on this machine.

    Args:
        layout: Plan of the fleet.
        extra_settings: Fields to add to the settings of every node, by section.
        seed: Random seed of the targets.
        start_targets: Whether to run the targets in this process; otherwise
            the caller starts them.
    """

    def __init__(
        self,
        layout: Layout,
        extra_settings: _ExtraSettings | None = None,
        seed: int = 1,
        *,
        start_targets: bool = True,
    ) -> None:
        """Initialise without starting anything; ``start`` does that."""
        self._start_targets = start_targets
        self.layout = layout
        self.store_server = StoreServer()
        self.targets: dict[str, TargetServer] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._extra_settings = extra_settings or {}
        self._seed = seed
        self._directory = tempfile.TemporaryDirectory(prefix='chivelead-')

    async def start(
        self, ready_timeout_s: float = _DEFAULT_READY_TIMEOUT_S
    ) -> None:
        """Start store, nodes and targets, and wait until they are ready."""
        await self.store_server.start('127.0.0.1', self.layout.store_port)
        await write_initial_documents(self.layout)
        for number, node in enumerate(self.layout.nodes):
            await self.start_node(node.vm)
            self.targets[node.vm] = build_target(
                self.layout,
                node,
                self._seed + number,
            )
            if self._start_targets:
                await self.targets[node.vm].start()
        await self.wait_ready(ready_timeout_s)

    async def close(self) -> None:
        """Stop everything that was started."""
        for vm in tuple(self.processes):
            self.send_signal(vm, signal.SIGCONT)
            self.send_signal(vm, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        for target in self.targets.values():
            await target.close()
        await self.store_server.close()
        self._directory.cleanup()

    def node_plan(self, vm: str) -> NodePlan:
        """Return the plan of the node on a VM."""
        return next(node for node in self.layout.nodes if node.vm == vm)

    async def start_node(self, vm: str) -> None:
        """Start the process of a node."""
        path = pathlib.Path(self._directory.name) / f'{vm}.ini'
        path.write_text(
            node_settings(
                self.node_plan(vm), self.layout, self._extra_settings
            ),
            encoding='utf-8',
        )
        log = (pathlib.Path(self._directory.name) / f'{vm}.log').open('ab')
        with log:
            self.processes[vm] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'chivelead_node',
                '--settings',
                str(path),
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def send_signal(self, vm: str, signal_number: int) -> None:
        """Send a signal to the process of a node."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[vm].send_signal(signal_number)

    async def kill(self, vm: str) -> None:
        """Kill the process of a node."""
        self.send_signal(vm, signal.SIGKILL)
        await self.processes[vm].wait()

    async def terminate(self, vm: str) -> int:
        """Shut down a node gracefully and return its exit status."""
        self.send_signal(vm, signal.SIGTERM)
        return await self.processes[vm].wait()

    def read_node_log(self, vm: str) -> str:
        """Return the log of a node."""
        path = pathlib.Path(self._directory.name) / f'{vm}.log'
        return path.read_text(encoding='utf-8')

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until every node serves calls to every service."""
        async with (
            asyncio.timeout(timeout_s),
            aiohttp.ClientSession() as session,
        ):
            await asyncio.gather(
                *(
                    self._wait_for_entry_node(session, entry_url)
                    for entry_url in self.layout.entry_urls()
                ),
            )

    async def _wait_for_entry_node(
        self,
        session: aiohttp.ClientSession,
        entry_url: str,
    ) -> None:
        while not await self._is_ready(session, entry_url):
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _is_ready(
        self,
        session: aiohttp.ClientSession,
        entry_url: str,
    ) -> bool:
        """Return whether a node routes calls to every service successfully."""
        plan = self.layout.organisations[0]
        headers = {'Authorization': f'Bearer {plan.key}'}
        for service in self.layout.target_profiles:
            url = f'{entry_url}/{service}/ready'
            try:
                async with session.get(url, headers=headers) as response:
                    status = response.status
            except (aiohttp.ClientError, OSError):
                return False
            if status != _OK:
                return False
        return True


def build_target(layout: Layout, node: NodePlan, seed: int) -> TargetServer:
    """Return the target of a node without starting it."""
    return TargetServer(
        node.vm,
        dataclasses.replace(layout.target_profiles[node.service]),
        node.target_port,
        node.local_port,
        seed,
    )


async def write_initial_documents(layout: Layout) -> None:
    """Write the documents of a layout to its empty store."""
    store = HttpStore(layout.store_url, _STORE_TIMEOUT_MS)
    await store.start()
    try:
        for name, text in layout.document_texts.items():
            await store.write(
                Write(document_text_key(name, _INITIAL_EDIT_ID), text, 0)
            )
        manifest = EMPTY_MANIFEST.with_edit(
            _INITIAL_EDIT_ID,
            tuple(layout.document_texts),
            'stand-in',
            'first documents',
        )
        await store.write(Write(MANIFEST_KEY, dump_manifest(manifest), 0))
    finally:
        await store.close()
