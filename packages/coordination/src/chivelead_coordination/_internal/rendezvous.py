"""Rendezvous hashing: all nodes rank the same members identically."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def stable_hash(text: str) -> int:
    """Return a hash that does not differ between processes."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rank_members(subject: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their hash with a subject."""
    return sorted(
        members,
        key=lambda member: stable_hash(f'{subject}|{member}'),
        reverse=True,
    )


def preferred_member(subject: str, members: Iterable[str]) -> str | None:
    """Return the first member of the ranking, or None without members."""
    return max(
        members,
        key=lambda member: stable_hash(f'{subject}|{member}'),
        default=None,
    )
