"""Results and errors as text for people and as JSON for programs."""

from __future__ import annotations

import functools
import json
from typing import Any

from pydantic import BaseModel
from pydantic_core import to_jsonable_python
from sapphire_config.changes import Change, Kind
from sapphire_config.document import Document, StoredDocument
from sapphire_core.errors import (
    ChangeUnknownError,
    ConfigConflictError,
    SapphireError,
    SettingsError,
)

from sapphire_ctl.fleet import Answer, StatusReport
from sapphire_ctl.operator import Accepted, Checked, Compared, Found

# Longest JSON value in a line of text, in characters.
MAX_SHOWN = 70


@functools.singledispatch
def text(result: object) -> str:
    """Returns a result as text for people."""
    return json.dumps(to_jsonable_python(result), indent=2)


@text.register
def _checked(result: Checked) -> str:
    if not result.errors:
        return "The document is valid."
    lines = [f"error: {error}" for error in result.errors]
    return "\n".join([*lines, f"{len(lines)} error(s); nothing was changed."])


@text.register
def _accepted(result: Accepted) -> str:
    line = (
        f"Accepted as revision {result.revision} (change {result.change_id})."
        " 'sapphirecross-ctl status' shows when every daemon has it."
    )
    return f"{line}\nNote: {result.note}" if result.note else line


@text.register
def _compared(result: Compared) -> str:
    if not result.changes:
        return f"No difference to revision {result.revision}, in force."
    return "\n".join(
        [
            f"Differences to revision {result.revision}, in force:",
            *(f"  {_change(c)}" for c in result.changes),
            f"To apply: --expected-revision={result.revision}",
        ]
    )


@text.register
def _found(result: Found) -> str:
    if result.accepted:
        return (
            f"Change {result.change_id} was accepted; revision"
            f" {result.revision} is in force and includes it or replaced it."
        )
    return (
        f"Change {result.change_id} is not among the recent changes of"
        f" revision {result.revision}. If that is the revision you expected to"
        " replace, the write may still be under way: look again in a minute."
        " If it is a later one, the change was not accepted, unless at least"
        " 50 changes followed it."
    )


@text.register
def _stored(result: StoredDocument) -> str:
    document = result.document
    lines = [
        f"{document.name}: revision {result.revision},"
        f" change {result.change_id}",
        f"out of service: {_listing(document.out_failure_domains)}",
        f"VMs out of service: {_listing(document.out_vms)}",
    ]
    for region in document.regions:
        lines.append(
            f"region {region.name}: {_listing(region.failure_domains)}"
        )
    for service in document.services:
        classes = _listing([c.name for c in service.classes])
        lines.append(
            f"service {service.name}: {len(service.leaves)} leaves,"
            f" classes {classes}"
        )
    return "\n".join(lines)


@text.register
def _document(result: Document) -> str:
    return result.model_dump_json(indent=2)


@text.register
def _status(result: StatusReport) -> str:
    lines = [f"revision {result.revision}", "daemons:"]
    lines += [f"  {_answer(a)}" for a in result.answers]
    lines.append("leaves:")
    lines += [
        f"  {c.service or '(no service)'} {c.state}: {c.leaves}"
        for c in result.leaf_counts
    ] or ["  none reported"]
    if not result.problems:
        return "\n".join([*lines, "No problem."])
    return "\n".join(
        [*lines, "problems:", *(f"  {p}" for p in result.problems)]
    )


def _answer(answer: Answer) -> str:
    status = answer.status
    if status is None:
        return f"{answer.address} {answer.problem}"
    return (
        f"{answer.address} {status.role}"
        f" {status.failure_domain or '(no domain)'}"
        f" revision {status.revision or 'none'},"
        f" out: {_listing(status.out_failure_domains + status.out_vms)}"
    )


def _change(change: Change) -> str:
    if change.kind is Kind.CHANGED:
        return f"changed {change.path}: {_brief(change.old)} ->" + (
            f" {_brief(change.new)}"
        )
    if change.kind is Kind.REORDERED:
        return f"reordered {change.path}"
    return f"{change.kind} {change.path}"


def _brief(value: Any) -> str:
    shown = json.dumps(value)
    return shown if len(shown) <= MAX_SHOWN else f"{shown[:MAX_SHOWN]}..."


def _listing(names: list[str]) -> str:
    return ", ".join(names) or "none"


@functools.singledispatch
def fields(result: Any) -> Any:
    """Returns a result as JSON values for programs."""
    return to_jsonable_python(result)


@fields.register
def _checked_fields(result: Checked) -> Any:
    return {
        "valid": not result.errors,
        "errors": [fields(e) for e in result.errors],
    }


@fields.register
def _model_fields(result: BaseModel) -> Any:
    return result.model_dump(mode="json")


@fields.register
def _error_fields(error: SapphireError) -> Any:
    return {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "run": error.run,
        **_details(error),
    }


@functools.singledispatch
def _details(error: SapphireError) -> dict[str, Any]:
    return {}


@_details.register
def _setting_details(error: SettingsError) -> dict[str, Any]:
    return {"field": error.field, "value": error.value}


@_details.register
def _conflict_details(error: ConfigConflictError) -> dict[str, Any]:
    return {"revision": error.revision}


@_details.register
def _unknown_details(error: ChangeUnknownError) -> dict[str, Any]:
    return {"change_id": error.change_id}
