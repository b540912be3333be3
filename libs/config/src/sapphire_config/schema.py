"""JSON Schema of the deployment document, for tools that generate forms."""

from __future__ import annotations

import json
from typing import Any

from sapphire_config.document import Document

DIALECT = "https://json-schema.org/draft/2020-12/schema"


def document_schema() -> dict[str, Any]:
    """Returns the JSON Schema of the deployment document.

    A document that satisfies the schema can still violate a rule between
    fields; `sapphirecross-ctl check` checks both.
    """
    schema = Document.model_json_schema(mode="validation")
    return {"$schema": DIALECT, "title": "Deployment document", **schema}


def render() -> str:
    """Returns the schema as indented JSON with a trailing newline."""
    return json.dumps(document_schema(), indent=2) + "\n"
