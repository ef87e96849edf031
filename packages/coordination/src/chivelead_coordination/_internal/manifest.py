"""The manifest: which edit of each configuration document is in force.

An edit changes one or more documents.  The manifest is a single key of the
store, and an edit is accepted when a compare-and-swap of this key succeeds.
The version of the manifest orders all edits.
"""

import dataclasses
import json
from collections.abc import Mapping

from chivelead_protocol import ConfigurationError

MANIFEST_KEY = 'documents/manifest'
DOCUMENT_TEXT_PREFIX = 'documents/text/'
_MAX_HISTORY_EDITS = 200


@dataclasses.dataclass(frozen=True)
class Edit:
    """One accepted edit.

    Attributes:
        version: Version of the manifest created by the edit.
        replaced: Name of each changed document and the ID of its previous
            edit, or ``-`` if it had none.
    """

    edit_id: str
    version: int
    author: str
    note: str
    replaced: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Documents in force and the most recent edits.

    Attributes:
        edit_ids: ID of the edit in force, by document name.
        history: Edits, oldest first.
    """

    version: int
    edit_ids: Mapping[str, str]
    history: tuple[Edit, ...]

    def with_edit(
        self,
        edit_id: str,
        names: tuple[str, ...],
        author: str,
        note: str,
    ) -> 'Manifest':
        """Return the manifest after an edit of the documents ``names``."""
        version = self.version + 1
        replaced = tuple((name, self.edit_ids.get(name, '-')) for name in names)
        edit = Edit(edit_id, version, author, note, replaced)
        return Manifest(
            version=version,
            edit_ids={**self.edit_ids, **dict.fromkeys(names, edit_id)},
            history=(*self.history, edit)[-_MAX_HISTORY_EDITS:],
        )

    def contains_edit(self, edit_id: str) -> bool:
        """Return whether the history contains an edit."""
        return any(edit.edit_id == edit_id for edit in self.history)


EMPTY_MANIFEST = Manifest(0, {}, ())


def document_text_key(name: str, edit_id: str) -> str:
    """Return the store key of the text of a document after an edit."""
    return f'{DOCUMENT_TEXT_PREFIX}{edit_id}/{name}'


def dump_manifest(manifest: Manifest) -> str:
    """Serialize a manifest for the store."""
    return json.dumps(dataclasses.asdict(manifest), sort_keys=True)


def parse_manifest(text: str) -> Manifest:
    """Parse the stored text of a manifest.

    Raises:
        ConfigurationError: The text is not a valid manifest.
    """
    try:
        raw = json.loads(text)
        return Manifest(
            version=int(raw['version']),
            edit_ids={
                str(name): str(edit) for name, edit in raw['edit_ids'].items()
            },
            history=tuple(_parse_edit(edit) for edit in raw['history']),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(
            f'read {MANIFEST_KEY}',
            f'not a valid manifest: {error!r}',
            'restore an earlier value of the key',
        ) from error


def _parse_edit(raw: Mapping[str, object]) -> Edit:
    replaced = raw['replaced']
    if not isinstance(replaced, list):
        raise TypeError('replaced is not a list')
    return Edit(
        edit_id=str(raw['edit_id']),
        version=int(str(raw['version'])),
        author=str(raw['author']),
        note=str(raw['note']),
        replaced=tuple((str(name), str(edit)) for name, edit in replaced),
    )
