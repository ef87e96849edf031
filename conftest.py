"""Strict xfail marks for the tests listed in KNOWN-RED.txt.

The listed tests run and are reported as xfailed.
"""

import pathlib

import pytest
from hypothesis import strategies

_KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def _read_known_failures():
    if not _KNOWN_FAILURES_PATH.exists():
        return set()
    lines = _KNOWN_FAILURES_PATH.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    }


@pytest.fixture(scope='session', autouse=True)
def _unicode_tables():
    """Build the Unicode tables that hypothesis makes when it first draws text.

    They take seconds on a busy machine, for which the health check of the first
    test that draws text would blame its strategy.
    """
    strategies.text().validate()


def pytest_collection_modifyitems(items):
    """Mark the known failures; if one of them passes, the run fails."""
    known_failures = _read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True),
            )
