"""Formats results and errors as text for people and as JSON for programs."""

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

from sapphire_ctl.fleet import DaemonResult, StatusReport
from sapphire_ctl.operations import (
    AcceptedChange,
    CheckResult,
    DiffResult,
    FindResult,
)

# Longer JSON values are truncated in text output.
MAX_VALUE_CHARS = 70


@functools.singledispatch
def to_text(result: object) -> str:
    """Formats a result as human-readable text."""
    return json.dumps(to_jsonable_python(result), indent=2)


@to_text.register
def _check_text(result: CheckResult) -> str:
    if not result.errors:
        return "The document is valid."
    lines = [f"error: {error}" for error in result.errors]
    return "\n".join([*lines, f"{len(lines)} error(s); nothing was changed."])


@to_text.register
def _accepted_text(result: AcceptedChange) -> str:
    line = (
        f"Accepted as revision {result.revision} (change {result.change_id})."
        " 'sapphirecross-ctl status' shows whether every daemon"
        " has adopted it."
    )
    return f"{line}\nNote: {result.note}" if result.note else line


@to_text.register
def _diff_text(result: DiffResult) -> str:
    if not result.changes:
        return f"No difference to revision {result.revision}, in force."
    return "\n".join(
        [
            f"Differences to revision {result.revision}, in force:",
            *(f"  {_change_line(c)}" for c in result.changes),
            f"To apply: --expected-revision={result.revision}",
        ]
    )


@to_text.register
def _find_text(result: FindResult) -> str:
    if result.accepted:
        return (
            f"Change {result.change_id} was accepted; revision"
            f" {result.revision} is in force and includes it or replaced it."
        )
    return (
        f"Change {result.change_id} is not among the recent changes of"
        f" revision {result.revision}. If that is the revision you expected to"
        " replace, the write may still be in progress: try again in a minute."
        " If it is a later one, the change was not accepted, unless at least"
        " 50 changes followed it."
    )


@to_text.register
def _stored_text(result: StoredDocument) -> str:
    document = result.document
    lines = [
        f"{document.name}: revision {result.revision},"
        f" change {result.change_id}",
        f"out of service: {_comma_separated(document.out_failure_domains)}",
        f"VMs out of service: {_comma_separated(document.out_vms)}",
    ]
    for region in document.regions:
        lines.append(
            f"region {region.name}: {_comma_separated(region.failure_domains)}"
        )
    for service in document.services:
        classes = _comma_separated([c.name for c in service.classes])
        lines.append(
            f"service {service.name}: {len(service.leaves)} leaves,"
            f" classes {classes}"
        )
    return "\n".join(lines)


@to_text.register
def _document_text(result: Document) -> str:
    return result.model_dump_json(indent=2)


@to_text.register
def _status_text(result: StatusReport) -> str:
    lines = [f"revision {result.revision}", "daemons:"]
    lines += [f"  {_daemon_line(a)}" for a in result.answers]
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


def _daemon_line(result: DaemonResult) -> str:
    status = result.status
    if status is None:
        return f"{result.address} {result.problem}"
    return (
        f"{result.address} {status.role}"
        f" {status.failure_domain or '(no domain)'}"
        f" revision {status.revision or 'none'},"
        f" out: {_comma_separated(status.out_failure_domains + status.out_vms)}"
    )


def _change_line(change: Change) -> str:
    if change.kind is Kind.CHANGED:
        return f"changed {change.path}: {_truncated(change.old)} ->" + (
            f" {_truncated(change.new)}"
        )
    if change.kind is Kind.REORDERED:
        return f"reordered {change.path}"
    return f"{change.kind} {change.path}"


def _truncated(value: Any) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return f"{text[:MAX_VALUE_CHARS]}..."


def _comma_separated(names: list[str]) -> str:
    return ", ".join(names) or "none"


@functools.singledispatch
def to_json(result: Any) -> Any:
    """Converts a result to JSON-compatible values."""
    return to_jsonable_python(result)


@to_json.register
def _check_result_fields(result: CheckResult) -> Any:
    return {
        "valid": not result.errors,
        "errors": [to_json(e) for e in result.errors],
    }


@to_json.register
def _model_fields(result: BaseModel) -> Any:
    return result.model_dump(mode="json")


@to_json.register
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
