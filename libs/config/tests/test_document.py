"""Tests of document validation."""

import json
import pathlib

import pytest
from sapphire_config.document import (
    Document,
    StoredDocument,
    parse,
    validation_errors,
)
from sapphire_core.errors import SettingsError

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLES = sorted(ROOT.glob("examples/*.json"))


def _bad_documents():
    """Yields names and texts; each text has at least one invalid setting."""
    text = EXAMPLES[1].read_text(encoding="utf-8")

    def edited(change):
        fields = json.loads(text)
        change(fields, fields["services"][0])
        return json.dumps(fields)

    first, second = "10.10.1.10:8001", "10.10.1.10:8002"
    yield "syntax", text[:-3]
    yield "twice", text.replace("{", '{"name": "x",', 1)
    yield "infinite", text.replace("6.0", "Infinity", 1)
    yield "octet", text.replace(first, "10.10.1.256:8001")
    yield "port", text.replace(first, "10.10.1.1:70000")
    yield "port zero", text.replace(first, "10.10.1.1:0")
    yield "port spelling", text.replace(first, "10.10.1.10:08002")
    yield "shared address", text.replace(first, second)
    yield "misspelt", text.replace('"slots"', '"slot"', 1)
    yield "unknown domain", text.replace('"pk-north-b"}', '"west"}', 1)
    yield "missing", edited(lambda d, s: s.pop("classes"))
    yield "two errors", edited(lambda d, s: s["leaf"].update(slots=0, x=1))
    yield "connections", edited(lambda d, s: s["leaf"].update(connections=1))
    yield "cold", edited(lambda d, s: s["leaf"].update(cold_concurrency=3))
    yield "objective", edited(lambda d, s: s["classes"][0].update(objective=1))
    yield "class twice", edited(lambda d, s: s["classes"].extend(s["classes"]))
    yield "VM name", edited(lambda d, s: d.update(out_vms=["vm-17"]))
    yield (
        "all out",
        edited(
            lambda d, s: d.update(
                out_failure_domains=d["regions"][0]["failure_domains"]
            )
        ),
    )


def test_each_bad_setting_is_one_clear_error(snapshot):
    """Guards against errors without the field, the value or the remedy."""
    found = {
        name: [str(e) for e in validation_errors(Document, text)]
        for name, text in _bad_documents()
    }
    assert all(found.values())
    assert found == snapshot


def test_rule_errors_have_the_full_path_in_the_stored_value():
    """Guards against a path that is relative to a nested object."""
    text = next(t for name, t in _bad_documents() if name == "port zero")
    stored = {"revision": 1, "change_id": "c", "document": json.loads(text)}
    with pytest.raises(SettingsError) as caught:
        parse(StoredDocument, json.dumps(stored))
    assert caught.value.field == "document.services.0.leaves.0.address"


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.stem)
def test_examples_have_the_current_sizes(path, snapshot):
    """Guards against examples that differ from docs/design.md, section 1.4."""
    document = parse(Document, path.read_text(encoding="utf-8"))
    assert [
        (
            s.name,
            len({x.address.partition(":")[0] for x in s.leaves}),
            len(s.leaves),
            s.leaf.slots,
            s.leaf.connections,
            s.leaf.connect_ms,
            [c.name for c in s.classes],
        )
        for s in document.services
    ] == snapshot
    assert all(
        x.address.startswith("10.") for s in document.services for x in s.leaves
    )
