"""Known failures are run, printed and passed over, nothing else is."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _known_red():
    if not _LIST.exists():
        return set()
    lines = _LIST.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    }


def pytest_collection_modifyitems(items):
    """Mark the listed tests; one that passes again fails the run."""
    listed = _known_red()
    for entry in items:
        if entry.nodeid in listed:
            entry.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True),
            )
