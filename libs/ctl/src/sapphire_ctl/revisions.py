"""Creates and compares revisions of the configuration, without I/O."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from typing import Any

from sapphire_config.document import (
    MAX_DOCUMENT_BYTES,
    RECENT_CHANGES,
    Document,
    StoredDocument,
)
from sapphire_config.parsing import parse
from sapphire_core.adoption import Resolution, resolve_write
from sapphire_core.errors import ChangeRefusedError, SettingsError

# Time within which all daemons use (adopt) an accepted change.
ADOPTION_LIMIT_S = 10


@dataclass(frozen=True)
class ReadResult:
    """Result of reading the configuration key.

    Attributes:
        version: Version that the platform assigned to the key at its last
            write; 0 if the key is absent.
        stored: The value; None if the key is absent.
    """

    version: int
    stored: StoredDocument | None

    @property
    def revision(self) -> int:
        """Revision of the document; 0 if there is none."""
        return 0 if self.stored is None else self.stored.revision


def next_value(
    base: ReadResult, document: Document, change_id: str
) -> StoredDocument:
    """Returns the value to store as the revision after base."""
    earlier = [] if base.stored is None else base.stored.recent_changes
    return StoredDocument(
        revision=base.revision + 1,
        change_id=change_id,
        recent_changes=[*earlier, change_id][-RECENT_CHANGES:],
        document=document,
    )


def encode(stored: StoredDocument) -> str:
    """Encodes the value as compact JSON.

    Raises:
        SettingsError: The value exceeds the platform's limit.
    """
    text = stored.model_dump_json()
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise SettingsError(
            "document",
            f"{size} bytes",
            f"larger than the platform's limit of {MAX_DOCUMENT_BYTES} bytes",
            "Remove leaves or services that are no longer used.",
        )
    return text


def listed_change_ids(stored: StoredDocument) -> list[str]:
    """Returns the ids of the last change and of the recent changes.

    The recent changes of a value from next_value include the last change, whose
    id is then listed twice.
    """
    return [stored.change_id, *stored.recent_changes]


def resolve(
    base: ReadResult, written: StoredDocument, found: ReadResult
) -> Resolution:
    """Determines whether a write that replaces base took effect.

    Args:
        base: The value that the write replaces.
        written: The value that was sent.
        found: Result of a read after the write.
    """
    stored = found.stored
    return resolve_write(
        written.change_id,
        base.revision,
        found_revision=found.revision,
        found_changes=[] if stored is None else listed_change_ids(stored),
        max_change_ids=RECENT_CHANGES,
    )


def check_leaf_domains(old: Document, new: Document) -> None:
    """Rejects a change of an existing leaf's failure domain.

    The failure domain of a leaf determines which aggregator holds the right to
    send to it. Daemons start to use a new configuration at different times, so
    two aggregators could hold the right for the same leaf until all daemons
    use the new configuration.

    Raises:
        ChangeRefusedError: The failure domain of a leaf changes.
    """
    before, after = _leaf_domains(old), _leaf_domains(new)
    moved = [
        address
        for address, domain in sorted(before.items())
        if after.get(address, domain) != domain
    ]
    if moved:
        raise ChangeRefusedError(
            f"the failure domain of {', '.join(moved)} can't be changed while"
            " the address stays the same.",
            "Nothing was changed. Remove the leaf in one change and add it"
            f" in a later one, at least {ADOPTION_LIMIT_S} s later.",
        )


def _leaf_domains(document: Document) -> dict[str, str]:
    return {
        leaf.address: leaf.failure_domain
        for service in document.services
        for leaf in service.leaves
    }


class Target(enum.StrEnum):
    """What can be taken out of service; the values name document fields."""

    DOMAIN = "out_failure_domains"
    VM = "out_vms"


@dataclass(frozen=True)
class Edit:
    """Takes a failure domain or VM out of service or puts it back.

    Attributes:
        target: Whether the edit applies to a failure domain or a VM.
        name: Name of the failure domain or IP address of the VM.
        out: True to take it out of service, False to put it back.
    """

    target: Target
    name: str
    out: bool

    def is_applied(self, document: Document) -> bool:
        """Returns whether the document already has the requested state."""
        return (self.name in getattr(document, self.target)) == self.out


def apply_edit(edit: Edit, document: Document) -> Document:
    """Returns a copy of the document with only the edit applied.

    Raises:
        SettingsError: Unknown failure domain, or not an IP address.
        ChangeRefusedError: No failure domain would remain in service.
    """
    if edit.target is Target.DOMAIN:
        _check_domain(edit, document)
    fields: dict[str, Any] = document.model_dump(mode="json")
    names = [n for n in fields[edit.target] if n != edit.name]
    fields[edit.target] = [*names, edit.name] if edit.out else names
    return parse(Document, json.dumps(fields))


def _check_domain(edit: Edit, document: Document) -> None:
    known = [d for r in document.regions for d in r.failure_domains]
    if edit.name not in known:
        raise SettingsError(
            "failure domain",
            edit.name,
            "unknown failure domain",
            f"Use one of {', '.join(known)}.",
        )
    others = set(known) - {edit.name} - set(document.out_failure_domains)
    if edit.out and not others:
        raise ChangeRefusedError(
            f"{edit.name} is the last failure domain in service.",
            "Put another one back first with 'sapphirecross-ctl domain-in'.",
        )
