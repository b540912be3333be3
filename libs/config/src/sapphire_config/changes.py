"""Differences between two deployment documents."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from sapphire_config.document import Document


class Kind(enum.StrEnum):
    """Kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    REORDERED = "reordered"


@dataclass(frozen=True)
class Change:
    """One difference between two documents.

    Accepted writes are also called changes; one write can contain many
    differences.

    Attributes:
        kind: Kind of the difference.
        path: Path of the field. List items are identified by name or address:
            `services[toxdesk].leaf.slots` is a field of the service `toxdesk`.
        old: JSON value in the old document; None if added. For a reordered
            list, the old order of the items that are in both documents, each
            given by its name or address.
        new: JSON value in the new document; None if removed. For a reordered
            list, the new order of the same items.
    """

    kind: Kind
    path: str
    old: Any = None
    new: Any = None


def differences(old: Document, new: Document) -> list[Change]:
    """Returns the differences; empty if and only if the two are equal."""
    return _diff_objects(
        "", old.model_dump(mode="json"), new.model_dump(mode="json")
    )


def _diff_objects(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> list[Change]:
    # Both are dumps of the same model, so they have the same fields.
    found = []
    for name, before in old.items():
        field_path = f"{path}.{name}" if path else name
        found += _diff_values(field_path, before, new[name])
    return found


def _diff_values(path: str, old: Any, new: Any) -> list[Change]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        return _diff_objects(path, old, new)
    if isinstance(old, list) and isinstance(new, list):
        return _diff_lists(path, old, new)
    return [Change(Kind.CHANGED, path, old, new)]


def _diff_lists(path: str, old: list[Any], new: list[Any]) -> list[Change]:
    before = {_item_key(item): item for item in old}
    after = {_item_key(item): item for item in new}
    removed = [
        Change(Kind.REMOVED, f"{path}[{key}]", item)
        for key, item in before.items()
        if key not in after
    ]
    added = [
        Change(Kind.ADDED, f"{path}[{key}]", None, item)
        for key, item in after.items()
        if key not in before
    ]
    changed = [
        change
        for key, item in before.items()
        if key in after
        for change in _diff_values(f"{path}[{key}]", item, after[key])
    ]
    kept_before = [key for key in before if key in after]
    kept_after = [key for key in after if key in before]
    # The order of items is visible to operators, so a new order is a change.
    reordered = (
        [Change(Kind.REORDERED, path, kept_before, kept_after)]
        if kept_before != kept_after
        else []
    )
    return removed + added + changed + reordered


def _item_key(item: Any) -> str:
    # Items of validated lists are unique names, or objects with a unique name
    # or address.
    if isinstance(item, dict):
        return str(item["name"] if "name" in item else item["address"])
    return str(item)
