"""Validated access to fields of decoded JSON and TOML."""

import math
from collections.abc import Callable
from typing import Any, TypeVar

from chivelead_protocol import ConfigurationError

_FieldType = TypeVar('_FieldType')


class FieldReader:
    """Read typed fields of one table: a JSON object or a TOML table.

    Methods that read a field raise ``ConfigurationError`` if the field has
    another type, or is missing and has no default.

    Args:
        path: Path of the table in its document, for error messages.
        table: The decoded table.
    """

    def __init__(self, path: str, table: Any) -> None:
        """Check that ``table`` is a table.

        Raises:
            ConfigurationError: It has another type.
        """
        if not isinstance(table, dict):
            raise ConfigurationError(path, 'expected a table of fields')
        self._path = path
        self._table = table

    def has(self, name: str) -> bool:
        """Return whether the table has the field ``name``."""
        return name in self._table

    def names(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return tuple(self._table)

    def table(self, name: str) -> 'FieldReader':
        """Return a nested table; an absent one is empty."""
        return FieldReader(f'{self._path}.{name}', self._table.get(name, {}))

    def string(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        return self._read_typed(name, str, default, 'a string')

    def boolean(self, name: str, *, default: bool = False) -> bool:
        """Return a Boolean; the default is False."""
        return self._read_typed(name, bool, default, 'true or false')

    def number(self, name: str, default: float | None = None) -> float:
        """Return a non-negative number."""
        return float(
            self._read_valid(name, default, _is_number, 'a number >= 0')
        )

    def count(self, name: str, default: int | None = None) -> int:
        """Return a non-negative integer."""
        found = self._read_valid(name, default, _is_count, 'an integer >= 0')
        return int(found)

    def entries(self, name: str) -> list[Any]:
        """Return a list; an absent one is empty."""
        return self._read_typed(name, list, [], 'a list')

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; an absent one is empty."""
        found = self.entries(name)
        if not all(isinstance(string, str) for string in found):
            raise self._field_error(name, 'a list of strings')
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
    return 0 <= found < math.inf


def _is_count(found: Any) -> bool:
    return _is_number(found) and isinstance(found, int)
