"""Messages that distribute configuration documents between nodes."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class DocumentText:
    """The text of one document, as its author wrote it.

    Attributes:
        name: Such as ``service/stock``, ``organisation/mill-1``, ``fleet``.
        edit_id: Identifier of the edit that wrote this text.
    """

    name: str
    edit_id: str
    text: str


@message(30)
@dataclasses.dataclass(frozen=True)
class DocumentsPull:
    """Request the documents from a peer that may have a newer version.

    Attributes:
        version: Version of the documents that the sender has.
        names: Names of the documents that the sender has.
        edit_ids: For each name, the identifier of the edit that wrote its
            text.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]


@message(31)
@dataclasses.dataclass(frozen=True)
class DocumentsUpdate:
    """The documents of one version, without the texts that did not change.

    Attributes:
        names: Names of all documents of this version.
        edit_ids: For each name, the identifier of the edit that wrote its
            text.
        changed: Documents that the requesting node does not have.
    """

    version: int
    names: tuple[str, ...]
    edit_ids: tuple[str, ...]
    changed: tuple[DocumentText, ...]


@message(32)
@dataclasses.dataclass(frozen=True)
class DocumentsOffer:
    """Tell a peer that the sender has a newer version of the documents."""

    version: int
