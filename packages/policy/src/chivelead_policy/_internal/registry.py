"""Registries of behaviour that settings choose by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from chivelead_protocol import ConfigurationError

_Kind = TypeVar('_Kind')


class Registry(Generic[_Kind]):
    """Named classes of one role, filled by a decorator.

    Args:
        role: What the members do, for messages.
    """

    def __init__(self, role: str) -> None:
        """Start empty."""
        self._role = role
        self._members: dict[str, Callable[..., _Kind]] = {}

    def register(
        self,
        name: str,
    ) -> Callable[[Callable[..., _Kind]], Callable[..., _Kind]]:
        """Return a decorator that adds a class under ``name``."""

        def add(member: Callable[..., _Kind]) -> Callable[..., _Kind]:
            self._members[name] = member
            return member

        return add

    def find(self, name: str) -> Callable[..., _Kind]:
        """Return the class registered under ``name``.

        Raises:
            ConfigurationError: There is none.
        """
        if name not in self._members:
            raise ConfigurationError(
                f'choose {self._role}',
                f'no policy named {name!r}',
                'one of {0}'.format(', '.join(self.names())),
            )
        return self._members[name]

    def names(self) -> tuple[str, ...]:
        """Return all names in order."""
        return tuple(sorted(self._members))
