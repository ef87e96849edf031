"""Tests of the validation of documents and settings."""

import pytest
from chivelead_config import (
    build_document_set,
    check_documents,
    key_digest,
    parse_settings,
)
from chivelead_protocol import ConfigurationError
from hypothesis import given, settings
from hypothesis import strategies as st

SERVICE = """
[service]
name = stock
[route check]
method = GET
path = /check
importance = 3
idempotent = yes
timeout_ms = 500
[route deep]
method = GET
path = /check/deep
importance = 7
idempotent = no
timeout_ms = 900
"""

ORGANISATION = f"""
[organisation]
name = mill
rate_per_s = 10
burst_requests = 5
[key first]
digest_sha256 = {key_digest('k')}
"""

SETTINGS = """
[node]
vm = a
failure_domain = d
region = r
host = 127.0.0.1
caller_port = 1
local_port = 2
peer_port = 3
fleet_secret = s
[store]
url = http://127.0.0.1:4
"""


def problems_of(name, text):
    """Return the problems of one document, formatted."""
    return [str(problem) for problem in check_documents({name: text})]


def test_route_with_the_longest_path_is_found():
    documents = build_document_set(1, {}, {'service/stock': SERVICE})
    service = documents.services['stock']
    assert service.find_route('GET', '/check/deep/x').importance == 7
    assert service.find_route('GET', '/check/x').importance == 3
    assert service.find_route('GET', '/checks') is None
    assert service.find_route('POST', '/check') is None


def test_withdrawn_key_is_not_indexed():
    text = f'{ORGANISATION}withdrawn = yes\n'
    documents = build_document_set(1, {}, {'organisation/mill': text})
    assert not documents.organisations_by_digest


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('importance = 3', 'importance = 10', 'from 0 to 9'),
        ('timeout_ms = 500', 'timeout_ms = 1s', 'a whole number'),
        ('idempotent = yes', 'idempotent = maybe', 'yes or no'),
        ('path = /check\n', 'path = check\n', 'starts with /'),
        ('method = GET\npath = /check\n', 'path = /check\n', 'method: missing'),
        ('[route check]', '[rout check]', 'unknown section'),
        ('name = stock', 'name = stok', "expected 'stock'"),
        ('name = stock', 'nme = stock', 'unknown field'),
    ],
)
def test_invalid_document_is_reported(old, new, expected):
    assert any(
        expected in problem
        for problem in problems_of('service/stock', SERVICE.replace(old, new))
    )


def test_limit_for_an_unknown_organisation_is_reported():
    text = f'{SERVICE}[organisation x]\nrate_per_s = 1\nburst_requests = 1\n'
    assert 'no document organisation/x' in problems_of('service/stock', text)[0]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=200))
def test_any_text_is_either_valid_or_reported(text):
    for name in ('fleet', 'service/stock', 'organisation/mill', text):
        check_documents({name: text})


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('vm = a\n', '', '[node] vm: missing'),
        ('peer_port = 3', 'peer_port = x', 'peer_port: expected a whole'),
        ('[store]', '[stor]', 'unknown section'),
        ('vm = a', 'vm = a\nage = 3', 'age: unknown field'),
    ],
)
def test_settings_error_names_file_section_and_field(old, new, expected):
    with pytest.raises(ConfigurationError, match='node.ini') as caught:
        parse_settings(SETTINGS.replace(old, new), 'node.ini')
    assert expected in str(caught.value)
    assert '\n' not in str(caught.value)
