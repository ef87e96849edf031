"""Rendezvous hashing: every node ranks the same members the same way."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def stable_hash(text: str) -> int:
    """Return a hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rank_members(subject: str, members: Iterable[str]) -> list[str]:
    """Return the members in their order of preference for a subject."""
    return sorted(
        members,
        key=lambda member: stable_hash(f'{subject}|{member}'),
        reverse=True,
    )


def preferred_member(subject: str, members: Iterable[str]) -> str | None:
    """Return the preferred member, or None if there is none."""
    return max(
        members,
        key=lambda member: stable_hash(f'{subject}|{member}'),
        default=None,
    )
