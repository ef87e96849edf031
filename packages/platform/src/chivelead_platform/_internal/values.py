"""Checked access to values that the platform sent."""

from collections.abc import Callable
from typing import Any, TypeVar

from chivelead_protocol import ConfigurationError

_Kind = TypeVar('_Kind')


class FieldReader:
    """Read typed fields of one table.

    Args:
        what: What is being read, for messages.
        table: The decoded table.
    """

    def __init__(self, what: str, table: Any) -> None:
        """Check that it is a table.

        Raises:
            ConfigurationError: It is something else.
        """
        if not isinstance(table, dict):
            raise ConfigurationError(what, 'expected a table of fields')
        self._what = what
        self._table = table

    def has(self, name: str) -> bool:
        """Tell whether a field is there."""
        return name in self._table

    def names(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return tuple(self._table)

    def table(self, name: str) -> 'FieldReader':
        """Return a nested table; an absent one is empty."""
        return FieldReader(f'{self._what}.{name}', self._table.get(name, {}))

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text."""
        return self._typed(name, str, default, 'a text')

    def flag(self, name: str, *, default: bool = False) -> bool:
        """Return a Boolean."""
        return self._typed(name, bool, default, 'true or false')

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number that is not negative."""
        return float(self._checked(name, default, _is_number, 'a number >= 0'))

    def count(self, name: str, default: int | None = None) -> int:
        """Return a whole number that is not negative."""
        found = self._checked(name, default, _is_count, 'a whole number >= 0')
        return int(found)

    def entries(self, name: str) -> list[Any]:
        """Return a list; an absent one is empty."""
        return self._typed(name, list, [], 'a list')

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; an absent one is empty."""
        found = self.entries(name)
        if not all(isinstance(text, str) for text in found):
            raise self._wrong(name, 'a list of texts')
        return tuple(found)

    def _typed(
        self,
        name: str,
        kind: type[_Kind],
        default: _Kind | None,
        expected: str,
    ) -> _Kind:
        found = self._table.get(name, default)
        if not isinstance(found, kind):
            raise self._wrong(name, expected)
        return found

    def _checked(
        self,
        name: str,
        default: float | None,
        is_valid: Callable[[Any], bool],
        expected: str,
    ) -> Any:
        found = self._table.get(name, default)
        if not is_valid(found):
            raise self._wrong(name, expected)
        return found

    def _wrong(self, name: str, expected: str) -> ConfigurationError:
        found = self._table.get(name, 'nothing')
        return ConfigurationError(
            f'{self._what}.{name}',
            f'expected {expected}, got {found!r:.60}',
        )


def _is_number(found: Any) -> bool:
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return found >= 0


def _is_count(found: Any) -> bool:
    return _is_number(found) and isinstance(found, int)
