"""Tests that the reference documentation lists every field."""

import dataclasses
import pathlib
import typing

import pytest
from chivelead_config._internal import documents
from chivelead_config._internal.fields import describe, spec_of
from chivelead_config._internal.settings import SECTIONS

ROOT = pathlib.Path(__file__).parents[4]
SECTION_CLASSES = (
    *SECTIONS.values(),
    documents.ServiceSection,
    documents.Route,
    documents.RateLimit,
    documents.OrganisationSection,
    documents.Key,
    documents.FleetSection,
    documents.FailureDomain,
)


@pytest.mark.parametrize('section_class', SECTION_CLASSES)
def test_every_field_is_documented(section_class):
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
    hints = typing.get_type_hints(section_class)
    for field in dataclasses.fields(section_class):
        spec = spec_of(field)
        default = 'required' if spec.required else f'`{field.default}`'
        accepts = describe(hints[field.name], spec)
        row = f'| `{field.name}` | {accepts} | {default} | {spec.description} |'
        assert row in page
