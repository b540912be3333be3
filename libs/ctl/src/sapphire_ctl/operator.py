"""The facade over everything that operators can do."""

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

from sapphire_ctl import decisions, fleet
from sapphire_ctl.decisions import Edit, Reading, Target
from sapphire_ctl.fleet import Answer, StatusReport
from sapphire_ctl.store import Backoff, ConfigStore

# Bounds the work of one command; each attempt loses to another change.
MAX_ATTEMPTS = 10


class Daemons(Protocol):
    """The part of the daemon client that this module uses."""

    async def addresses(self, entry: str) -> list[str]:
        """Returns the entries that an entry tells callers to use."""

    async def statuses(self, addresses: list[str]) -> list[Answer]:
        """Returns the answers of all daemons."""


@dataclass(frozen=True)
class Checked:
    """Result of a check: one error per bad setting, empty if valid."""

    errors: list[SettingsError]


@dataclass(frozen=True)
class Compared:
    """How a document differs from the revision in force."""

    revision: int
    changes: list[Change]


@dataclass(frozen=True)
class Accepted:
    """A change that was accepted: the compare-and-swap took effect.

    Attributes:
        revision: The new revision.
        change_id: Its id.
        note: What the operator may want to know.
    """

    revision: int
    change_id: str
    note: str = ""


@dataclass(frozen=True)
class Found:
    """Whether a change was accepted, as far as one read tells.

    Attributes:
        change_id: The id looked for.
        accepted: Whether it is among the recent changes.
        revision: The revision read.
    """

    change_id: str
    accepted: bool
    revision: int


class Operator:
    """Checks, changes and shows the configuration and the fleet."""

    def __init__(
        self,
        store: ConfigStore,
        daemons: Daemons,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._store = store
        self._daemons = daemons
        self._new_id = new_id

    @staticmethod
    def check(text: str) -> Checked:
        """Returns every error of a document."""
        return Checked(validation_errors(Document, text))

    @staticmethod
    def schema() -> dict[str, Any]:
        """Returns the JSON Schema of the document."""
        return document_schema()

    async def show(self) -> StoredDocument:
        """Returns the configuration in force.

        Raises:
            ChangeRefusedError: None is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        return _stored(await self._store.read())

    async def diff(self, text: str) -> Compared:
        """Compares a document with the configuration in force.

        Raises:
            SettingsError: The document is not valid.
            ChangeRefusedError: No configuration is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        document = parse(Document, text)
        stored = _stored(await self._store.read())
        return Compared(stored.revision, differences(stored.document, document))

    async def apply(self, text: str, expected_revision: int) -> Accepted:
        """Replaces the configuration of the expected revision.

        Args:
            text: The new document.
            expected_revision: The revision that the document was made from;
                0 if there was none.

        Raises:
            SettingsError: The document is not valid.
            ChangeRefusedError: A leaf that stays changes its failure domain.
            ConfigConflictError: Another revision is in force.
            PlatformUnavailableError: Nothing was changed.
            ChangeUnknownError: The result is not known.
        """
        document = parse(Document, text)
        change_id = self._new_id()
        seen = 0
        for _ in range(MAX_ATTEMPTS):
            base = await self._read_after_race(seen, expected_revision)
            if base.revision != expected_revision:
                raise _conflict(base, expected_revision)
            if base.stored is not None:
                decisions.check_leaf_domains(base.stored.document, document)
            try:
                return await self._replace(base, document, change_id)
            except WriteConflictError as error:
                seen = error.current
        raise _gave_up(expected_revision)

    async def edit(self, edit: Edit) -> Accepted:
        """Applies a small change to whatever revision is in force.

        After a lost race, the change is applied to the winner's revision.

        Raises:
            SettingsError: The entry is not known or not an address.
            ChangeRefusedError: The change can't be made.
            ConfigConflictError: Too many races were lost.
            PlatformUnavailableError: Nothing was changed.
            ChangeUnknownError: The result is not known.
        """
        seen = 0
        # Only the number of attempts bounds this loop.
        backoff = Backoff(float("inf"))
        for _ in range(MAX_ATTEMPTS):
            base = await self._store.read(at_least=seen)
            document = _stored(base).document
            changed = decisions.edited(edit, document)
            # The read may be old, so that an edit that looks done is
            # written all the same; the write proves what is in force.
            note = _done_note(edit) if edit.is_done(document) else ""
            try:
                return await self._replace(base, changed, self._new_id(), note)
            except WriteConflictError as error:
                seen = error.current
            await backoff.wait()
        raise _gave_up(base.revision)

    async def find_change(self, change_id: str) -> Found:
        """Returns whether a change is among the recent ones.

        Raises:
            ChangeRefusedError: No configuration is stored.
            PlatformUnavailableError: The platform did not answer.
        """
        stored = _stored(await self._store.read())
        return Found(
            change_id,
            change_id in decisions.known_changes(stored),
            stored.revision,
        )

    async def status(
        self, daemons: list[str], entry: str | None
    ) -> StatusReport:
        """Asks the daemons for their status.

        Args:
            daemons: HTTP addresses; if empty, the entry is asked for them.
            entry: HTTP address of an entry.

        Raises:
            SettingsError: No daemon is named and no entry answers.
        """
        if not daemons and entry is None:
            raise SettingsError(
                "--daemons",
                None,
                "no daemon is named",
                "Name daemons with --daemons or an entry with --entry.",
            )
        asked = daemons or await self._daemons.addresses(entry or "")
        answers = await self._daemons.statuses(asked)
        revision, problem = await self._platform_revision()
        return fleet.summarise(revision, problem, answers)

    async def _platform_revision(self) -> tuple[int | None, str | None]:
        try:
            return (await self._store.read()).revision, None
        except (PlatformUnavailableError, ChangeRefusedError) as error:
            # The daemons' answers matter most while the platform fails.
            return None, error.message

    async def _read_after_race(self, seen: int, revision: int) -> Reading:
        try:
            return await self._store.read(at_least=seen, revision=revision)
        except PlatformUnavailableError as error:
            if not seen:
                raise
            raise ConfigConflictError(
                "another change came first; its revision could not be read.",
                "Nothing was changed. Type 'sapphirecross-ctl show' when the"
                " platform answers, then apply to the revision shown.",
                None,
            ) from error

    async def _replace(
        self,
        base: Reading,
        document: Document,
        change_id: str,
        note: str = "",
    ) -> Accepted:
        stored = decisions.successor(base, document, change_id)
        await self._store.replace(base, stored)
        return Accepted(stored.revision, change_id, note)


def domain_edit(name: str, *, out: bool) -> Edit:
    """Returns the edit that takes a failure domain out or puts it back."""
    return Edit(Target.DOMAIN, name, out)


def vm_edit(address: str, *, out: bool) -> Edit:
    """Returns the edit that takes a VM out or puts it back."""
    return Edit(Target.VM, address, out)


def _stored(reading: Reading) -> StoredDocument:
    if reading.stored is None:
        raise ChangeRefusedError(
            "no configuration is stored.",
            "Store the first one with 'sapphirecross-ctl apply FILE"
            " --expected-revision=0'.",
        )
    return reading.stored


def _done_note(edit: Edit) -> str:
    state = "out of" if edit.out else "in"
    return f"{edit.entry} was already {state} service."


def _conflict(base: Reading, expected: int) -> ConfigConflictError:
    if base.stored is None:
        message = f"no configuration is stored, expected revision {expected}."
        remedy = "Nothing was changed. Use --expected-revision=0."
    else:
        message = (
            f"revision {base.revision} (change {base.stored.change_id}) is in"
            f" force, expected {expected}."
        )
        remedy = (
            "Nothing was changed. Type 'sapphirecross-ctl diff FILE', take"
            " over what the other change did, and apply with"
            f" --expected-revision={base.revision}."
        )
    return ConfigConflictError(message, remedy, base.revision)


def _gave_up(revision: int) -> ConfigConflictError:
    return ConfigConflictError(
        f"other changes came first {MAX_ATTEMPTS} times; the last revision"
        f" seen is {revision}.",
        "Nothing was changed. Repeat the command when fewer changes are"
        " being made.",
        revision,
    )
