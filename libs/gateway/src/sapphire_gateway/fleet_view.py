"""A VM's local view of the fleet, built from entries read from the store."""

from __future__ import annotations

import functools
from dataclasses import dataclass

from sapphire_core.freshness import Freshness
from sapphire_core.leafset import LeafEntry, LeafRegistry
from sapphire_core.members import Member, Members
from sapphire_core.routing import Configuration, RouteTable, SplitChooser

from sapphire_gateway import telemetry
from sapphire_gateway.crashes import CrashTracker


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A configuration that the operators published."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LeafUpdate:
    """A leaf's entry was written."""

    entry: LeafEntry


@dataclass(frozen=True, slots=True)
class LeafRemoval:
    """A leaf's entry was removed or cannot be decoded."""

    leaf_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """A failure domain was taken out of service or returned to service."""

    domain: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A member's entry was written."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberRemoval:
    """A member's entry was removed or has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class UnreadableValue:
    """A value could not be decoded."""

    key: str
    reason: str


Update = (
    ConfigurationUpdate
    | LeafUpdate
    | LeafRemoval
    | EvacuationUpdate
    | MemberUpdate
    | MemberRemoval
    | UnreadableValue
)


class FleetView:
    """Latest known configuration, leaves, members and evacuated domains.

    Attributes:
        registry: Leaves and evacuated domains.
        members: The VMs that run the gateway.
        splits: Chooses the service of a request whose route has several.
        crashes: Requests under which leaves crashed, at this VM or another.
        freshness: How current the view is.
        revision: Revision of the change that is applied, for the log.
        is_own_entry_missing: Whether this VM's entry was removed from the
            store and has not been written again.
    """

    def __init__(self, self_name: str) -> None:
        self.registry = LeafRegistry()
        self.members = Members(self_name)
        self.splits = SplitChooser()
        self.crashes = CrashTracker(self_name)
        self._configuration: Configuration | None = None
        self._table = RouteTable(())
        self.freshness = Freshness()
        self.revision = 0
        self.is_own_entry_missing = False
        self._self_name = self_name

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration, or None before the first one."""
        return self._configuration

    @property
    def table(self) -> RouteTable:
        """Routes of the active configuration."""
        return self._table

    @property
    def self_name(self) -> str:
        """Name of this VM among the members."""
        return self._self_name

    def adopt(self, configuration: Configuration) -> bool:
        """Activates a configuration if its version is newer.

        Returns:
            Whether the configuration was activated.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        self._table = RouteTable(configuration.routes)
        self.splits.forget_unused(configuration.routes)
        telemetry.CONFIG_VERSION.set(configuration.version)
        return True


@functools.singledispatch
def apply_update(update: Update, view: FleetView, now: float) -> None:
    """Applies one change to the view and logs the result."""
    raise TypeError(f"no handler registered for {type(update).__name__}")


@apply_update.register
def _(update: ConfigurationUpdate, view: FleetView, now: float) -> None:
    version = update.configuration.version
    adopted = view.adopt(update.configuration)
    telemetry.event(
        "configuration_adopted" if adopted else "configuration_ignored",
        version=version,
        routes=len(update.configuration.routes),
        revision=view.revision,
    )


@apply_update.register
def _(update: LeafUpdate, view: FleetView, now: float) -> None:
    entry = update.entry
    is_accepted = view.registry.put(entry, now)
    telemetry.event(
        "leaf_entry" if is_accepted else "leaf_entry_ignored",
        leaf=entry.leaf_id,
        service=entry.service,
        domain=entry.domain,
        state=entry.state.value,
        born_ms=entry.born_ms,
        sequence=entry.sequence,
        warmup_left_s=entry.warmup_left_s,
        revision=view.revision,
    )


@apply_update.register
def _(update: LeafRemoval, view: FleetView, now: float) -> None:
    view.registry.record_missing(update.leaf_id, now)
    telemetry.event(
        "leaf_gone",
        leaf=update.leaf_id,
        reason=update.reason,
        revision=view.revision,
    )


@apply_update.register
def _(update: EvacuationUpdate, view: FleetView, now: float) -> None:
    domains = set(view.registry.stated_evacuations)
    if update.is_out:
        domains.add(update.domain)
    else:
        domains.discard(update.domain)
    view.registry.set_evacuated(domains)
    telemetry.event(
        "domain_out" if update.is_out else "domain_back",
        domain=update.domain,
        revision=view.revision,
    )


@apply_update.register
def _(update: MemberUpdate, view: FleetView, now: float) -> None:
    view.members.put(update.member)
    if update.member.name == view.self_name:
        view.is_own_entry_missing = False
    # The own entry may have been written before a restart.
    view.crashes.merge(update.member.suspects, update.member.name, now)
    telemetry.event(
        "member",
        member=update.member.name,
        domain=update.member.domain,
        leaving=update.member.leaving,
        suspects=len(update.member.suspects),
        revision=view.revision,
    )


@apply_update.register
def _(update: MemberRemoval, view: FleetView, now: float) -> None:
    view.members.record_missing(update.name, now)
    if update.name == view.self_name:
        view.is_own_entry_missing = True
    telemetry.event("member_gone", member=update.name, revision=view.revision)


@apply_update.register
def _(update: UnreadableValue, view: FleetView, now: float) -> None:
    telemetry.event(
        "value_unreadable",
        key=update.key,
        reason=update.reason,
        revision=view.revision,
    )
