"""Fixtures: configuration documents and the fake platform."""

import importlib.util
import pathlib

import pytest
from sapphire_config.document import Document, StoredDocument, parse

_HERE = pathlib.Path(__file__).parent


def _load(name):
    spec = importlib.util.spec_from_file_location(name, _HERE / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="session")
def fake():
    return _load("fakeplatform")


@pytest.fixture(scope="session")
def kohsar():
    path = _HERE.parents[2] / "examples" / "kohsar.json"
    return path.read_text(encoding="utf-8")


@pytest.fixture(scope="session")
def stored(kohsar):
    return StoredDocument(
        revision=7,
        change_id="seventh",
        recent_changes=["sixth", "seventh"],
        document=parse(Document, kohsar),
    )
