"""The messages that spread documents."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class DocumentText:
    """One document as its owner wrote it.

    Attributes:
        name: Such as ``service/stock``, ``organisation/mill-1``, ``fleet``.
        edit_id: The edit that brought this text.
    """

    name: str
    edit_id: str
    text: str


@message(30)
@dataclasses.dataclass(frozen=True)
class DocumentsPull:
    """Ask for the documents if the peer has newer ones.

    Attributes:
        names: Names of the documents the asker holds.
        edit_ids: For each name the edit the asker holds.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]


@message(31)
@dataclasses.dataclass(frozen=True)
class DocumentsUpdate:
    """The documents of one version; unchanged texts are left out.

    Attributes:
        names: All names in force at that version.
        edit_ids: For each name its edit.
        changed: Texts that the asker lacks.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]
    changed: tuple[DocumentText, ...]


@message(32)
@dataclasses.dataclass(frozen=True)
class DocumentsOffer:
    """Tell a peer that a newer version is to be had here."""

    version: int
