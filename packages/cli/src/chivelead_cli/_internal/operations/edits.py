"""Edits of configuration documents in the store."""

import dataclasses
import secrets
from collections.abc import Mapping

from chivelead_config import check_documents
from chivelead_coordination import (
    EMPTY_MANIFEST,
    MANIFEST_KEY,
    Manifest,
    Store,
    Write,
    document_text_key,
    dump_manifest,
    parse_manifest,
)
from chivelead_protocol import (
    ConfigurationError,
    StoreConflictError,
    StoreUnavailableError,
)

_EDIT_ID_BYTES = 8
_READ_BACK_ATTEMPTS = 5


class EditConflictError(StoreConflictError):
    """Another edit was accepted since the documents were read."""


@dataclasses.dataclass(frozen=True)
class Documents:
    """Snapshot of the documents in the store.

    Attributes:
        manifest: Names the edit that each text in force is from.
        revision: Store revision of the manifest, for compare-and-swap.
        texts: Texts by document name.
    """

    manifest: Manifest
    revision: int
    texts: Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class AcceptedEdit:
    """An edit that was written to the manifest."""

    edit_id: str
    version: int


async def read_documents(store: Store) -> Documents:
    """Return the documents in force in the store.

    Raises:
        StoreUnavailableError: The store did not answer.
    """
    entry = await store.read(MANIFEST_KEY)
    if entry is None:
        return Documents(EMPTY_MANIFEST, 0, {})
    manifest = parse_manifest(entry.text)
    texts = {}
    for name, edit_id in manifest.edit_ids.items():
        texts[name] = await read_text(store, name, edit_id)
    return Documents(manifest, entry.revision, texts)


async def read_text(store: Store, name: str, edit_id: str) -> str:
    """Return the text of a document as of an edit.

    Raises:
        ConfigurationError: The text is not in the store.
    """
    entry = await store.read(document_text_key(name, edit_id))
    if entry is None:
        raise ConfigurationError(
            f'read {name}',
            f'the text of edit {edit_id} is not in the store',
        )
    return entry.text


async def apply_edit(
    store: Store,
    changes: Mapping[str, str],
    author: str,
    note: str,
    base: Documents | None = None,
) -> AcceptedEdit:
    """Validate all documents with the changes applied, then write the edit.

    The edit takes effect with a single compare-and-swap of the manifest.

    Args:
        store: Key-value store of the platform.
        changes: New texts by document name.
        author: Name of the operator.
        note: Reason for the edit.
        base: Documents that the edit is based on; read from the store by
            default.

    Raises:
        ConfigurationError: The documents would not be valid.
        EditConflictError: Another edit was accepted first.
        StoreUnavailableError: The store did not answer; the edit may or may
            not be in force.
    """
    documents = base or await read_documents(store)
    problems = check_documents({**documents.texts, **changes})
    if problems:
        raise ConfigurationError(
            'validate documents',
            '; '.join(str(problem) for problem in problems),
            'nothing was written',
        )
    edit_id = secrets.token_hex(_EDIT_ID_BYTES)
    for name, text in changes.items():
        await _write_text(store, name, edit_id, text)
    manifest = documents.manifest.with_edit(
        edit_id,
        tuple(changes),
        author,
        note,
    )
    write = Write(MANIFEST_KEY, dump_manifest(manifest), documents.revision)
    try:
        await store.write(write)
    except (StoreConflictError, StoreUnavailableError) as error:
        await _verify_accepted(store, edit_id, error)
    return AcceptedEdit(edit_id, manifest.version)


async def _write_text(
    store: Store,
    name: str,
    edit_id: str,
    text: str,
) -> None:
    """Write a text under a key that is unique to the edit.

    The write is repeated if it was not acknowledged and did not take effect.
    """
    key = document_text_key(name, edit_id)
    try:
        await store.write(Write(key, text, 0))
    except StoreUnavailableError:
        entry = await store.read(key)
        if entry is None:
            await store.write(Write(key, text, 0))


async def _verify_accepted(
    store: Store,
    edit_id: str,
    error: StoreConflictError | StoreUnavailableError,
) -> None:
    """Read the manifest back; raise an error unless it contains the edit."""
    for _ in range(_READ_BACK_ATTEMPTS):
        try:
            current = await read_documents(store)
        except StoreUnavailableError:
            continue
        if current.manifest.contains_edit(edit_id):
            return
        raise EditConflictError(
            'apply the edit',
            'another edit changed the documents to version '
            f'{current.manifest.version}',
            'nothing was changed; run `chivelead diff`, then apply again',
        ) from error
    raise error
