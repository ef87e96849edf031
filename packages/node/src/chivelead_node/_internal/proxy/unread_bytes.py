"""What the kernel has received for connections that have not read it."""

import itertools
from collections.abc import Sequence

from chivelead_protocol.bounds import ConnectionAccount, unread_bytes

# Each socket costs a system call.
_MAX_SOCKETS = 100


def estimate_unread_bytes(accounts: Sequence[ConnectionAccount]) -> int:
    """Return about what the kernel holds unread for connections.

    Connections that hold nothing read what arrives at once, so they are left
    out.  If too many hold something, some of them stand for the others.

    Args:
        accounts: Accounts of open connections.
    """
    holding = [account for account in accounts if account.received_bytes]
    if not holding:
        return 0
    sample_count = min(len(holding), _MAX_SOCKETS)
    sample_bytes = sum(
        map(_read_unread_bytes, itertools.islice(holding, sample_count))
    )
    return sample_bytes * len(holding) // sample_count


def _read_unread_bytes(account: ConnectionAccount) -> int:
    transport = account.transport
    if transport is None or transport.is_closing():
        return 0
    return unread_bytes(transport)
