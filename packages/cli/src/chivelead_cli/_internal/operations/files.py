"""Configuration documents in files."""

import configparser
import pathlib
from collections.abc import Iterable

from chivelead_protocol import ConfigurationError


def read_files(paths: Iterable[pathlib.Path]) -> dict[str, str]:
    """Return the contents of files by document name.

    Raises:
        ConfigurationError: A file cannot be read or is not a document, or
            two files contain the same document.
    """
    texts: dict[str, str] = {}
    for path in paths:
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigurationError(f'read {path}', str(error)) from error
        name = document_name(text, str(path))
        if name in texts:
            raise ConfigurationError(
                f'read {path}',
                f'another file also contains {name}',
            )
        texts[name] = text
    return texts


def document_name(text: str, source: str) -> str:
    """Return the name of a document, derived from its sections.

    Raises:
        ConfigurationError: The text is not a document.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        reason = ' '.join(str(error).split())
        raise ConfigurationError(f'read {source}', reason) from error
    if parser.has_section('fleet'):
        return 'fleet'
    for kind in ('service', 'organisation'):
        name = parser.get(kind, 'name', fallback='')
        if name:
            return f'{kind}/{name}'
    raise ConfigurationError(
        f'read {source}',
        'not a configuration document',
        'expected a section [fleet], or [service] or [organisation] with name',
    )
