"""Registries of policy classes that the settings select by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from chivelead_protocol import ConfigurationError

_Policy = TypeVar('_Policy')


class Registry(Generic[_Policy]):
    """Policy classes for one role, registered by a decorator.

    Args:
        role: Role of the policies, for error messages.
    """

    def __init__(self, role: str) -> None:
        """Create an empty registry."""
        self._role = role
        self._classes: dict[str, Callable[..., _Policy]] = {}

    def register(
        self,
        name: str,
    ) -> Callable[[Callable[..., _Policy]], Callable[..., _Policy]]:
        """Return a decorator that adds a class under ``name``."""

        def decorate(
            policy_class: Callable[..., _Policy],
        ) -> Callable[..., _Policy]:
            self._classes[name] = policy_class
            return policy_class

        return decorate

    def find(self, name: str) -> Callable[..., _Policy]:
        """Return the class registered under ``name``.

        Raises:
            ConfigurationError: No class is registered under ``name``.
        """
        if name not in self._classes:
            raise ConfigurationError(
                f'choose {self._role}',
                f'no policy named {name!r}',
                'one of {0}'.format(', '.join(self.names())),
            )
        return self._classes[name]

    def names(self) -> tuple[str, ...]:
        """Return all registered names, sorted."""
        return tuple(sorted(self._classes))
