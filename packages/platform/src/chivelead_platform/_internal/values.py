"""Checked access to values that the platform sent."""

from collections.abc import Callable
from typing import Any, TypeVar

from chivelead_protocol import ConfigurationError

_FieldType = TypeVar('_FieldType')


class FieldReader:
    """Read typed fields of one table.

    Args:
        what: What is being read, for messages.
        table: The decoded table.
    """

    def __init__(self, path: str, table: Any) -> None:
        """Check that it is a table.

        Raises:
            ConfigurationError: It is something else.
        """
        if not isinstance(table, dict):
            raise ConfigurationError(path, 'expected a table of fields')
        self._path = path
        self._table = table

    def has(self, name: str) -> bool:
        """Tell whether a field is there."""
        return name in self._table

    def names(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return tuple(self._table)

    def table(self, name: str) -> 'FieldReader':
        """Return a nested table; an absent one is empty."""
        return FieldReader(f'{self._path}.{name}', self._table.get(name, {}))

    def string(self, name: str, default: str | None = None) -> str:
        """Return a text."""
        return self._read_typed(name, str, default, 'a text')

    def boolean(self, name: str, *, default: bool = False) -> bool:
        """Return a Boolean."""
        return self._read_typed(name, bool, default, 'true or false')

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number that is not negative."""
        return float(
            self._read_valid(name, default, _is_number, 'a number >= 0')
        )

    def count(self, name: str, default: int | None = None) -> int:
        """Return a whole number that is not negative."""
        found = self._read_valid(
            name, default, _is_count, 'a whole number >= 0'
        )
        return int(found)

    def entries(self, name: str) -> list[Any]:
        """Return a list; an absent one is empty."""
        return self._read_typed(name, list, [], 'a list')

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; an absent one is empty."""
        found = self.entries(name)
        if not all(isinstance(string, str) for string in found):
            raise self._field_error(name, 'a list of texts')
        return tuple(found)

    def _read_typed(
        self,
        name: str,
        expected_type: type[_FieldType],
        default: _FieldType | None,
        expected: str,
    ) -> _FieldType:
        found = self._table.get(name, default)
        if not isinstance(found, expected_type):
            raise self._field_error(name, expected)
        return found

    def _read_valid(
        self,
        name: str,
        default: float | None,
        is_valid: Callable[[Any], bool],
        expected: str,
    ) -> Any:
        found = self._table.get(name, default)
        if not is_valid(found):
            raise self._field_error(name, expected)
        return found

    def _field_error(self, name: str, expected: str) -> ConfigurationError:
        found = self._table.get(name, 'nothing')
        return ConfigurationError(
            f'{self._path}.{name}',
            f'expected {expected}, got {found!r:.60}',
        )


def _is_number(found: Any) -> bool:
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return found >= 0


def _is_count(found: Any) -> bool:
    return _is_number(found) and isinstance(found, int)
