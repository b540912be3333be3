"""Tests of the generated reference page and the schema."""

import pathlib

from sapphire_config import reference, schema

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "configuration.md"


def test_page_equals_the_generated_one():
    """Guards against a page that was not generated again after a change."""
    assert PAGE.read_text(encoding="utf-8") == reference.render()


def test_schema_describes_every_field_for_a_form(snapshot):
    """Guards against fields whose label or bounds a form can't show."""
    assert schema.document_schema() == snapshot
