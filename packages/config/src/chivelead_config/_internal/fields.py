"""Typed INI sections, declared as dataclasses.

A section is a frozen dataclass whose fields carry a ``FieldSpec`` with a
description, a range and a default.  Loading collects all problems of a file
instead of stopping at the first one.
"""

import configparser
import dataclasses
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

_Section = TypeVar('_Section')
_SPEC_KEY = 'spec'
_TRUE_WORDS = frozenset(('yes', 'true', 'on', '1'))
_FALSE_WORDS = frozenset(('no', 'false', 'off', '0'))


@dataclasses.dataclass(frozen=True)
class FieldSpec:
    """Description and valid values of a field.

    Attributes:
        description: Meaning of the field, for the reference documentation.
        low: Minimum of a number.
        high: Maximum of a number.
        choices: Allowed values; any text if empty.
        required: Whether the field must be given.
    """

    description: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    required: bool = True


@dataclasses.dataclass(frozen=True)
class Problem:
    """A problem in a settings file or document.

    Attributes:
        source: Name of the file or document.
        section: Section with the problem; empty for the whole file.
        field: Field with the problem; empty for the whole section.
        message: Description of the problem.
    """

    source: str
    section: str
    field: str
    message: str

    def __str__(self) -> str:
        """Format the problem on one line."""
        location = f'[{self.section}]' if self.section else 'file'
        field = f' {self.field}' if self.field else ''
        return f'{self.source}: {location}{field}: {self.message}'


def required(description: str, **constraints: Any) -> Any:
    """Declare a field that must be given; see ``FieldSpec``."""
    spec = FieldSpec(description=description, **constraints)
    return dataclasses.field(metadata={_SPEC_KEY: spec})


def optional(default: Any, description: str, **constraints: Any) -> Any:
    """Declare a field with a default; see ``FieldSpec``."""
    spec = FieldSpec(description=description, required=False, **constraints)
    return dataclasses.field(default=default, metadata={_SPEC_KEY: spec})


def spec_of(field: dataclasses.Field[Any]) -> FieldSpec:
    """Return the specification of a dataclass field."""
    return typing.cast('FieldSpec', field.metadata[_SPEC_KEY])


def parse_ini(
    text: str,
    source: str,
    problems: list[Problem],
) -> configparser.ConfigParser | None:
    """Parse INI text; on a syntax error, add a problem and return None."""
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=True,
        default_section='',
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        reason = ' '.join(str(error).split())
        problems.append(Problem(source, '', '', f'invalid INI: {reason}'))
        return None
    return parser


def load_section(
    section_class: type[_Section],
    raw: Mapping[str, str],
    location: tuple[str, str],
    problems: list[Problem],
) -> _Section | None:
    """Create a section from its raw field values.

    Args:
        section_class: Frozen dataclass of the section.
        raw: Field names and their texts.
        location: Source and section name, for error messages.
        problems: List to which problems are appended.

    Returns:
        The section, or None if there was a problem.
    """
    problem_count = len(problems)
    hints = typing.get_type_hints(section_class)
    fields = dataclasses.fields(typing.cast('Any', section_class))
    known = {field.name for field in fields}
    for name in sorted(set(raw) - known):
        names = ', '.join(sorted(known))
        problems.append(
            Problem(*location, name, f'unknown field; one of {names}')
        )
    field_values: dict[str, Any] = {}
    for field in fields:
        spec = spec_of(field)
        text = raw.get(field.name)
        if text is not None:
            try:
                field_values[field.name] = _convert(
                    hints[field.name], spec, text
                )
            except ValueError as error:
                problems.append(Problem(*location, field.name, str(error)))
        elif spec.required:
            message = f'missing; expected {describe(hints[field.name], spec)}'
            problems.append(Problem(*location, field.name, message))
    return (
        None if len(problems) > problem_count else section_class(**field_values)
    )


def describe(value_type: type, spec: FieldSpec) -> str:
    """Describe the values that a field accepts."""
    if spec.choices:
        return 'one of {0}'.format(', '.join(spec.choices))
    if value_type is bool:
        return 'yes or no'
    if value_type is str:
        return 'a text'
    type_name = 'a whole number' if value_type is int else 'a number'
    if spec.low is None or spec.high is None:
        return type_name
    return f'{type_name} from {spec.low:g} to {spec.high:g}'


def _convert(value_type: type, spec: FieldSpec, text: str) -> Any:
    expected = f'expected {describe(value_type, spec)}, got {text!r}'
    converted = _CONVERTERS[value_type](text, expected)
    if spec.choices and converted not in spec.choices:
        raise ValueError(expected)
    if value_type in {int, float} and spec.low is not None:
        high = float('inf') if spec.high is None else spec.high
        if not spec.low <= converted <= high:
            raise ValueError(expected)
    return converted


def _to_bool(text: str, expected: str) -> bool:
    lowered = text.lower()
    if lowered in _TRUE_WORDS:
        return True
    if lowered in _FALSE_WORDS:
        return False
    raise ValueError(expected)


def _to_int(text: str, expected: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise ValueError(expected) from error


def _to_float(text: str, expected: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise ValueError(expected) from error


def _to_str(text: str, expected: str) -> str:
    if not text.strip():
        raise ValueError(f'{expected}; it is empty')
    return text.strip()


_CONVERTERS: Mapping[type, Callable[[str, str], Any]] = types.MappingProxyType(
    {bool: _to_bool, int: _to_int, float: _to_float, str: _to_str},
)
