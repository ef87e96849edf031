"""The manifest: which edit of each document is in force.

The manifest is one key of the store.  Its compare-and-swap is the point at
which an edit is accepted, and its version orders all edits.
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
        version: Version of the manifest that the edit brought about.
        replaced: For each document the edit that held before, or ``-``.
    """

    edit_id: str
    version: int
    author: str
    note: str
    replaced: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Documents in force, and the edits that led there, oldest first."""

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
        """Return the manifest after an edit of ``names``."""
        version = self.version + 1
        replaced = tuple((name, self.edit_ids.get(name, '-')) for name in names)
        edit = Edit(edit_id, version, author, note, replaced)
        return Manifest(
            version=version,
            edit_ids={**self.edit_ids, **dict.fromkeys(names, edit_id)},
            history=(*self.history, edit)[-_MAX_HISTORY_EDITS:],
        )

    def contains_edit(self, edit_id: str) -> bool:
        """Tell whether an edit was accepted."""
        return any(edit.edit_id == edit_id for edit in self.history)


EMPTY_MANIFEST = Manifest(0, {}, ())


def document_text_key(name: str, edit_id: str) -> str:
    """Return the key of the text that an edit gave a document."""
    return f'{DOCUMENT_TEXT_PREFIX}{edit_id}/{name}'


def dump_manifest(manifest: Manifest) -> str:
    """Return the text that is kept in the store."""
    return json.dumps(dataclasses.asdict(manifest), sort_keys=True)


def parse_manifest(text: str) -> Manifest:
    """Return the manifest in a text.

    Raises:
        ConfigurationError: The text is no manifest.
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
            f'not a manifest: {error!r}',
            'restore the key from the history of the store',
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
