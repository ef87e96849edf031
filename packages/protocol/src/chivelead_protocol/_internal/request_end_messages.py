"""Messages by which counts of ended requests outlive their process."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class EndCounts:
    """Requests that ended without the answer of a target, at one process.

    Attributes:
        vm: VM of the process.
        boot_id: Start of the process.
        counts: Name of each cause and the number of ends.
    """

    vm: str
    boot_id: str
    counts: tuple[tuple[str, int], ...]


@message(78)
@dataclasses.dataclass(frozen=True)
class EndCountsHandover:
    """Counts of a process that ends, and those that it kept of others.

    The reply is a ``Pong``.
    """

    rows: tuple[EndCounts, ...]
