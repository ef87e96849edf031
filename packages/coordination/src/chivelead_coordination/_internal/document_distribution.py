"""Distribution of configuration documents from the store to every node.

A few nodes in each failure domain, the relays, watch the manifest in the
store.  They offer each new version to the members of their failure domain,
which pull the documents that they lack.  A node that missed the offer learns
of the version from gossip.  A node never replaces a version by an older one,
whichever way it arrives.
"""

import asyncio
import logging
from collections.abc import Callable

from chivelead_config import EMPTY_DOCUMENT_SET, DocumentSet, build_document_set
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    DocumentsOffer,
    DocumentsPull,
    DocumentsUpdate,
    DocumentText,
    StoreUnavailableError,
    now_ms,
    start_supervised,
)

from chivelead_coordination._internal.gossip import GossipTask
from chivelead_coordination._internal.manifest import (
    MANIFEST_KEY,
    Manifest,
    document_text_key,
    parse_manifest,
)
from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.network import Network
from chivelead_coordination._internal.store import Store, StoredValue

logger = logging.getLogger(__name__)

_PULL_TIMEOUT_MS = 2000
_OFFER_TIMEOUT_MS = 4000
_WATCH_TIMEOUT_MS = 1500
_RETRY_DELAY_S = 0.5
_RELAY_CHECK_PERIOD_S = 0.25

Listener = Callable[[DocumentSet], None]


class DocumentDistributor:
    """Keep the documents in force and distribute new versions.

    Args:
        membership: Table of members; shows whether this node is a relay.
        network: Sends requests to peers.
        store: Store of the platform.
        gossip: Exchanges the version number with random peers.

    Attributes:
        current: Documents in force at this node.
        confirmed: Version that each VM last confirmed to this relay.
        platform_heard_ms: Time of the last reply of the store to a read or
            watch of the manifest.
    """

    def __init__(
        self,
        membership: Membership,
        network: Network,
        store: Store,
        gossip: GossipTask,
    ) -> None:
        """Start without documents."""
        self.current = EMPTY_DOCUMENT_SET
        self.confirmed: dict[str, int] = {}
        self.platform_heard_ms = now_ms()
        self._membership = membership
        self._network = network
        self._store = store
        self._gossip = gossip
        self._seen_revision = 0
        self._listeners: list[Listener] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._offer_tasks: set[asyncio.Task[None]] = set()

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each new set of documents."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start the tasks that watch the store and pull from peers."""
        self._tasks = [
            start_supervised('documents-watch', self._watch_forever),
            start_supervised('documents-pull', self._pull_forever),
        ]

    async def close(self) -> None:
        """Cancel the tasks and unfinished offers."""
        for task in (*self._tasks, *self._offer_tasks):
            task.cancel()

    async def pull_from(self, vm: str) -> None:
        """Request the documents of a peer and apply them if newer."""
        own_documents = self.current
        update = await self._network.request(
            vm,
            DocumentsPull(
                version=own_documents.version,
                names=tuple(own_documents.edit_ids),
                edit_ids=tuple(own_documents.edit_ids.values()),
            ),
            _PULL_TIMEOUT_MS,
        )
        texts = {
            name: own_documents.texts[name]
            for name in update.names
            if name in own_documents.texts
        }
        texts.update(
            {document.name: document.text for document in update.changed}
        )
        edit_ids = dict(zip(update.names, update.edit_ids, strict=True))
        self.apply(update.version, edit_ids, texts)

    def apply(
        self,
        version: int,
        edit_ids: dict[str, str],
        texts: dict[str, str],
    ) -> bool:
        """Put a version in force if it is newer than the current one.

        Returns:
            Whether the documents changed.

        Raises:
            ConfigurationError: The documents are invalid or incomplete.
        """
        if version <= self.current.version:
            return False
        if set(edit_ids) != set(texts):
            raise ConfigurationError(
                f'apply documents of version {version}',
                'the names of the edits and of the texts differ',
            )
        self.current = build_document_set(version, edit_ids, texts)
        self._gossip.config_version = version
        for listener in self._listeners:
            listener(self.current)
        self._offer_to_failure_domain()
        return True

    def handle_pull(self, pull: DocumentsPull) -> DocumentsUpdate:
        """Return the documents that a peer does not have in this version."""
        peer_edit_ids = dict(zip(pull.names, pull.edit_ids, strict=True))
        current = self.current
        changed = tuple(
            DocumentText(name, edit_id, current.texts[name])
            for name, edit_id in current.edit_ids.items()
            if peer_edit_ids.get(name) != edit_id
        )
        return DocumentsUpdate(
            version=current.version,
            names=tuple(current.edit_ids),
            edit_ids=tuple(current.edit_ids.values()),
            changed=changed if current.version > pull.version else (),
        )

    async def handle_offer(self, vm: str, offer: DocumentsOffer) -> object:
        """Pull an offered version if newer; return the version now in force."""
        if offer.version > self.current.version:
            await self.pull_from(vm)
        return DocumentsOffer(self.current.version)

    async def sync_from_store(self) -> None:
        """Read the manifest from the store and apply it."""
        entry = await self._store.read(MANIFEST_KEY)
        self.platform_heard_ms = now_ms()
        if entry is not None:
            await self._apply_manifest(entry)

    def _offer_to_failure_domain(self) -> None:
        own = self._membership.own
        if not own.relay:
            return
        for member in self._membership.alive_members(own.failure_domain):
            if member.vm != own.vm:
                self._start_offer(member.vm, self.current.version)

    def _start_offer(self, vm: str, version: int) -> None:
        task = asyncio.create_task(self._send_offer(vm, version))
        self._offer_tasks.add(task)
        task.add_done_callback(self._offer_tasks.discard)

    async def _send_offer(self, vm: str, version: int) -> None:
        try:
            reply = await self._network.request(
                vm,
                DocumentsOffer(version),
                _OFFER_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('offer of documents to %s failed: %s', vm, error)
        else:
            self.confirmed[vm] = reply.version

    async def _watch_forever(self) -> None:
        while True:
            if not self._membership.own.relay:
                await asyncio.sleep(_RELAY_CHECK_PERIOD_S)
                continue
            try:
                entry = await self._store.watch(
                    MANIFEST_KEY,
                    self._seen_revision,
                    _WATCH_TIMEOUT_MS,
                )
                self.platform_heard_ms = now_ms()
                if entry is None:
                    # A broken watch can miss changes without an error, so
                    # the key is read as well.
                    await self.sync_from_store()
                else:
                    await self._apply_manifest(entry)
            except StoreUnavailableError as error:
                logger.debug('watch of the manifest failed: %s', error)
                await asyncio.sleep(_RETRY_DELAY_S)
            except ChiveleadError as error:
                logger.warning('documents not applied: %s', error)
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _apply_manifest(self, entry: StoredValue) -> None:
        manifest = parse_manifest(entry.text)
        if manifest.version > self.current.version:
            texts = await self._read_texts(manifest)
            self.apply(manifest.version, dict(manifest.edit_ids), texts)
        self._seen_revision = entry.revision

    async def _read_texts(self, manifest: Manifest) -> dict[str, str]:
        own_documents = self.current
        texts = {}
        for name, edit_id in manifest.edit_ids.items():
            if own_documents.edit_ids.get(name) == edit_id:
                texts[name] = own_documents.texts[name]
                continue
            entry = await self._store.read(document_text_key(name, edit_id))
            if entry is None:
                raise ConfigurationError(
                    f'read {name}',
                    f'the text of edit {edit_id} is not in the store',
                )
            texts[name] = entry.text
        return texts

    async def _pull_forever(self) -> None:
        while True:
            vm = await self._gossip.peers_with_newer_config.get()
            try:
                await self.pull_from(vm)
            except ChiveleadError as error:
                logger.debug('pull of documents from %s failed: %s', vm, error)
