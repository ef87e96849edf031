"""Xfail marks for the tests listed in KNOWN-RED.txt.

The listed tests run and are reported as xfailed.  The marks are strict, except
for tests whose entry has a line "sometimes:" with how often they fail.
"""

import pathlib

import pytest
from hypothesis import strategies

_KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _read_known_failures():
    """Return whether each of the listed tests always fails."""
    if not _KNOWN_FAILURES_PATH.exists():
        return {}
    entries = _KNOWN_FAILURES_PATH.read_text(encoding='utf-8').split('\n\n')
    known_failures = {}
    for entry in entries:
        lines = entry.strip().splitlines()
        if lines and lines[0].startswith('test: '):
            known_failures[lines[0].removeprefix('test: ').strip()] = not any(
                line.startswith('sometimes: ') for line in lines
            )
    return known_failures


@pytest.fixture(scope='session', autouse=True)
def _unicode_tables():
    """Build the Unicode tables that hypothesis makes when it first draws text.

    They take seconds on a busy machine, for which the health check of the first
    test that draws text would blame its strategy.
    """
    strategies.text().validate()


def pytest_collection_modifyitems(items):
    """Mark the known failures; a run fails if one passes that always fails."""
    known_failures = _read_known_failures()
    for item in items:
        always_fails = known_failures.get(item.nodeid)
        if always_fails is not None:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=always_fails),
            )
