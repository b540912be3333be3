"""Operations that the commands of `sapphirecross-ctl` run."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sapphire_config.changes import Change, differences
from sapphire_config.document import Document, StoredDocument
from sapphire_config.parsing import parse, validation_errors
from sapphire_config.schema import document_schema
from sapphire_core.errors import (
    ChangeRefusedError,
    ConfigConflictError,
    PlatformUnavailableError,
    SettingsError,
    WriteConflictError,
)

from sapphire_ctl import fleet, revisions
from sapphire_ctl.fleet import DaemonResult, StatusReport
from sapphire_ctl.revisions import Edit, ReadResult, Target
from sapphire_ctl.store import Backoff, ConfigStore

# Attempts of one command; each failed attempt conflicted with another change.
MAX_ATTEMPTS = 10


class StatusClient(Protocol):
    """The part of `DaemonClient` that this module uses."""

    async def addresses(self, entry: str) -> list[str]:
        """Asks one entry process for the addresses of all that are in service.

        Args:
            entry: Address of the entry process to ask.
        """

    async def statuses(self, addresses: list[str]) -> list[DaemonResult]:
        """Queries the daemons at the given addresses."""


@dataclass(frozen=True)
class CheckResult:
    """Validation result: one error per invalid setting, empty if valid."""

    errors: list[SettingsError]


@dataclass(frozen=True)
class DiffResult:
    """Differences between a document and the revision in force."""

    revision: int
    changes: list[Change]


@dataclass(frozen=True)
class AcceptedChange:
    """A change that was accepted: the compare-and-swap took effect.

    Attributes:
        revision: The new revision.
        change_id: Id of the change.
        note: Additional information for the operator; may be empty.
    """

    revision: int
    change_id: str
    note: str = ""


@dataclass(frozen=True)
class FindResult:
    """Result of looking for a change in a single read.

    Attributes:
        change_id: Id of the change.
        accepted: Whether the id is among the recent changes.
        revision: Revision that was read.
    """

    change_id: str
    accepted: bool
    revision: int


class Operations:
    """Validates, changes and shows the configuration; shows fleet status.

    A revision is the number of a configuration, stored in its value and shown
    to people. A version is the number that the platform assigns to each write
    of the key; it orders reads and detects write conflicts.
    """

    def __init__(
        self,
        store: ConfigStore,
        status_client: StatusClient,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._store = store
        self._status_client = status_client
        self._new_id = new_id

    @staticmethod
    def check(text: str) -> CheckResult:
        """Returns all validation errors of a document."""
        return CheckResult(validation_errors(Document, text))

    @staticmethod
    def schema() -> dict[str, Any]:
        """Returns the JSON Schema of the document."""
        return document_schema()

    async def show(self) -> StoredDocument:
        """Returns the configuration in force.

        Raises:
            ChangeRefusedError: No valid configuration is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        return _require_stored(await self._store.read())

    async def diff(self, text: str) -> DiffResult:
        """Compares a document with the configuration in force.

        Raises:
            SettingsError: The document is not valid.
            ChangeRefusedError: No valid configuration is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        document = parse(Document, text)
        stored = _require_stored(await self._store.read())
        return DiffResult(
            stored.revision, differences(stored.document, document)
        )

    async def apply(self, text: str, expected_revision: int) -> AcceptedChange:
        """Replaces the configuration if it has the expected revision.

        Args:
            text: The new document.
            expected_revision: Revision that the document is based on; 0 if
                no configuration is stored yet.

        Raises:
            SettingsError: The document is not valid.
            ChangeRefusedError: The stored configuration is not valid, or the
                failure domain of an existing leaf changes.
            ConfigConflictError: Another revision is in force.
            PlatformUnavailableError: Nothing was changed.
            ChangeUnknownError: The write may or may not have taken effect.
        """
        document = parse(Document, text)
        change_id = self._new_id()
        min_version = 0
        for _ in range(MAX_ATTEMPTS):
            base = await self._read_base(min_version, expected_revision)
            if base.revision != expected_revision:
                raise _revision_conflict(base, expected_revision)
            if base.stored is not None:
                revisions.check_leaf_domains(base.stored.document, document)
            try:
                return await self._replace(base, document, change_id)
            except WriteConflictError as error:
                min_version = error.current
        raise _too_many_conflicts(expected_revision)

    async def edit(self, edit: Edit) -> AcceptedChange:
        """Applies an edit to the revision in force, whichever that is.

        After a write conflict, the edit is applied to the newer revision.

        Raises:
            SettingsError: Unknown failure domain, or not an IP address.
            ChangeRefusedError: No valid configuration is stored, or no failure
                domain would remain in service.
            ConfigConflictError: Every attempt conflicted with another change.
            PlatformUnavailableError: Nothing was changed.
            ChangeUnknownError: The write may or may not have taken effect.
        """
        min_version = 0
        # The loop is limited by the number of attempts, not by time.
        backoff = Backoff(float("inf"))
        for _ in range(MAX_ATTEMPTS):
            base = await self._store.read(min_version=min_version)
            document = _require_stored(base).document
            new_document = revisions.apply_edit(edit, document)
            # The read may be stale, so an edit that seems to be applied is
            # written anyway: only a successful write proves what is in force.
            is_applied = edit.is_applied(document)
            note = _already_applied_note(edit) if is_applied else ""
            try:
                return await self._replace(
                    base, new_document, self._new_id(), note
                )
            except WriteConflictError as error:
                min_version = error.current
            await backoff.wait()
        raise _too_many_conflicts(base.revision)

    async def find_change(self, change_id: str) -> FindResult:
        """Returns whether a change is among the recent ones.

        Raises:
            ChangeRefusedError: No valid configuration is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        stored = _require_stored(await self._store.read())
        return FindResult(
            change_id,
            change_id in revisions.listed_change_ids(stored),
            stored.revision,
        )

    async def status(
        self, daemons: list[str], entry: str | None
    ) -> StatusReport:
        """Queries the status of the daemons.

        Args:
            daemons: HTTP addresses of entries and aggregators.
            entry: HTTP address of an entry. If daemons is empty, the entries
                that it lists are queried, but no aggregators.

        Raises:
            SettingsError: No daemon is specified, or the entry did not
                respond.
        """
        if not daemons and entry is None:
            raise SettingsError(
                "--daemons",
                None,
                "no daemon is specified",
                "Specify daemons with --daemons or an entry with --entry.",
            )
        addresses = daemons or await self._status_client.addresses(entry or "")
        results = await self._status_client.statuses(addresses)
        revision, problem = await self._platform_revision()
        return fleet.summarise(revision, problem, results)

    async def _platform_revision(self) -> tuple[int | None, str | None]:
        try:
            return (await self._store.read()).revision, None
        except (PlatformUnavailableError, ChangeRefusedError) as error:
            # The daemons' status is most needed during a platform outage. It
            # does not depend on the stored configuration either, which is not
            # valid if `read` raises ChangeRefusedError.
            return None, error.message

    async def _read_base(
        self, min_version: int, expected_revision: int
    ) -> ReadResult:
        """Reads the value that a change is based on.

        Args:
            min_version: Version reported by a write conflict; 0 for the first
                read.
            expected_revision: Revision that the operator specified.
        """
        try:
            return await self._store.read(
                min_version=min_version, expected_revision=expected_revision
            )
        except PlatformUnavailableError as error:
            if not min_version:
                raise
            raise ConfigConflictError(
                "another change came first; its revision could not be read.",
                "Nothing was changed. Type 'sapphirecross-ctl show' when the"
                " platform answers, merge the other change into FILE, and apply"
                " it with --expected-revision=N for the revision N shown.",
                None,
            ) from error

    async def _replace(
        self,
        base: ReadResult,
        document: Document,
        change_id: str,
        note: str = "",
    ) -> AcceptedChange:
        stored = revisions.next_value(base, document, change_id)
        await self._store.replace(base, stored)
        return AcceptedChange(stored.revision, change_id, note)


def domain_edit(name: str, *, out: bool) -> Edit:
    """Returns an edit that takes a failure domain out of or into service."""
    return Edit(Target.DOMAIN, name, out)


def vm_edit(address: str, *, out: bool) -> Edit:
    """Returns an edit that takes a VM out of or into service."""
    return Edit(Target.VM, address, out)


def _require_stored(read: ReadResult) -> StoredDocument:
    if read.stored is None:
        raise ChangeRefusedError(
            "no configuration is stored.",
            "Store the first one with 'sapphirecross-ctl apply FILE"
            " --expected-revision=0'.",
        )
    return read.stored


def _already_applied_note(edit: Edit) -> str:
    state = "out of" if edit.out else "in"
    return f"{edit.name} was already {state} service."


def _revision_conflict(base: ReadResult, expected: int) -> ConfigConflictError:
    if base.stored is None:
        message = f"no configuration is stored, expected revision {expected}."
        remedy = "Nothing was changed. Use --expected-revision=0."
    else:
        message = (
            f"revision {base.revision} (change {base.stored.change_id}) is in"
            f" force, expected {expected}."
        )
        remedy = (
            "Nothing was changed. Type 'sapphirecross-ctl diff FILE', merge"
            " the other change into FILE, and apply it with"
            f" --expected-revision={base.revision}."
        )
    return ConfigConflictError(message, remedy, base.revision)


def _too_many_conflicts(revision: int) -> ConfigConflictError:
    return ConfigConflictError(
        f"all {MAX_ATTEMPTS} attempts conflicted with other changes; the last"
        f" revision read is {revision}.",
        "Nothing was changed. Repeat the command when fewer changes are"
        " being made.",
        revision,
    )
