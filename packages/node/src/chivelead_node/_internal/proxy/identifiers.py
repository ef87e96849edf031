"""Checks of names that come from outside the fleet."""

from typing import Any

_MAX_LENGTH = 200


def is_identifier(name: Any) -> bool:
    """Return whether this is a short printable text.

    Others could not be written to the log or sent to peers as they are; a lone
    surrogate is not printable either.
    """
    return (
        isinstance(name, str)
        and 0 < len(name) <= _MAX_LENGTH
        and name.isprintable()
    )
