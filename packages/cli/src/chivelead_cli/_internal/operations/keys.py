"""API keys in the documents of organisations."""

import configparser
import io
import secrets

from chivelead_config import key_digest
from chivelead_protocol import ConfigurationError

_KEY_BYTES = 24


def add_key(text: str, key_name: str) -> tuple[str, str]:
    """Add a new API key to an organisation's document.

    Returns:
        The new text, which contains only the digest of the key, and the key.

    Raises:
        ConfigurationError: The name is in use.
    """
    parser = _parse(text)
    section = f'key {key_name}'
    if parser.has_section(section):
        raise ConfigurationError(
            f'issue {key_name}',
            'the organisation already has a key with this name',
            'choose another name',
        )
    key = secrets.token_urlsafe(_KEY_BYTES)
    parser[section] = {'digest_sha256': key_digest(key)}
    return _format(parser), key


def withdraw_key(text: str, key_name: str) -> str:
    """Return an organisation's document with a key marked as withdrawn.

    Raises:
        ConfigurationError: There is no key with this name.
    """
    parser = _parse(text)
    section = f'key {key_name}'
    if not parser.has_section(section):
        raise ConfigurationError(
            f'withdraw {key_name}',
            'the organisation has no key with this name',
            'see `chivelead key list`',
        )
    parser[section]['withdrawn'] = 'yes'
    return _format(parser)


def list_keys(text: str) -> dict[str, bool]:
    """Return, by key name, whether the key is withdrawn."""
    parser = _parse(text)
    return {
        title.removeprefix('key '): parser.getboolean(
            title,
            'withdrawn',
            fallback=False,
        )
        for title in parser.sections()
        if title.startswith('key ')
    }


def _parse(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parser


def _format(parser: configparser.ConfigParser) -> str:
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()
