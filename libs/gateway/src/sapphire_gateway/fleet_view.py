"""What a VM believes of the fleet, from facts that it read in the store."""

from __future__ import annotations

import functools
from dataclasses import dataclass

from sapphire_core.leafset import LeafEntry, LeafRegistry
from sapphire_core.members import Member, Members
from sapphire_core.routing import Configuration, RouteTable, SplitChooser

from sapphire_gateway import telemetry
from sapphire_gateway.crashes import CrashWatch


@dataclass(frozen=True, slots=True)
class ConfigurationFact:
    """The operators' newest configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LeafFact:
    """A leaf's entry."""

    entry: LeafEntry


@dataclass(frozen=True, slots=True)
class LeafGoneFact:
    """A leaf has no entry that can be read."""

    leaf_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class EvacuationFact:
    """A failure domain is taken out of service, or put back."""

    domain: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class MemberFact:
    """A member's entry."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberGoneFact:
    """A member's entry has vanished."""

    name: str


@dataclass(frozen=True, slots=True)
class UnreadableFact:
    """A value that says nothing usable."""

    key: str
    reason: str


Fact = (
    ConfigurationFact
    | LeafFact
    | LeafGoneFact
    | EvacuationFact
    | MemberFact
    | MemberGoneFact
    | UnreadableFact
)


class FleetView:
    """Configuration, leaves, members and evacuations, as last learned."""

    def __init__(self, self_name: str) -> None:
        self.registry = LeafRegistry()
        self.members = Members(self_name)
        self.splits = SplitChooser()
        self.crashes = CrashWatch()
        self._configuration: Configuration | None = None
        self._table = RouteTable(())
        self.revision = 0
        self.updated_at = 0.0
        self.self_vanished = False
        self._self_name = self_name

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._configuration

    @property
    def table(self) -> RouteTable:
        """Routes of the configuration in force."""
        return self._table

    @property
    def self_name(self) -> str:
        """Name of this VM among the members."""
        return self._self_name

    def adopt(self, configuration: Configuration) -> bool:
        """Puts a configuration in force unless it is an older version."""
        present = self._configuration
        if present is not None and configuration.version <= present.version:
            return False
        self._configuration = configuration
        self._table = RouteTable(configuration.routes)
        self.splits.forget_unused(configuration.routes)
        telemetry.CONFIG_VERSION.set(configuration.version)
        return True


@functools.singledispatch
def apply(fact: Fact, view: FleetView, now: float) -> None:
    """Changes the belief by one fact and logs what it changed."""
    raise TypeError(f"no rule for {type(fact).__name__}")


@apply.register
def _(fact: ConfigurationFact, view: FleetView, now: float) -> None:
    version = fact.configuration.version
    adopted = view.adopt(fact.configuration)
    telemetry.event(
        "configuration_adopted" if adopted else "configuration_ignored",
        version=version,
        routes=len(fact.configuration.routes),
        revision=view.revision,
    )


@apply.register
def _(fact: LeafFact, view: FleetView, now: float) -> None:
    entry = fact.entry
    taken = view.registry.put(entry, now)
    telemetry.event(
        "leaf_entry" if taken else "leaf_entry_ignored",
        leaf=entry.leaf_id,
        service=entry.service,
        domain=entry.domain,
        state=entry.state.value,
        born_ms=entry.born_ms,
        sequence=entry.sequence,
        warmup_left_s=entry.warmup_left_s,
        revision=view.revision,
    )


@apply.register
def _(fact: LeafGoneFact, view: FleetView, now: float) -> None:
    view.registry.remove(fact.leaf_id, now)
    telemetry.event(
        "leaf_gone",
        leaf=fact.leaf_id,
        reason=fact.reason,
        revision=view.revision,
    )


@apply.register
def _(fact: EvacuationFact, view: FleetView, now: float) -> None:
    domains = set(view.registry.evacuated)
    if fact.is_out:
        domains.add(fact.domain)
    else:
        domains.discard(fact.domain)
    view.registry.set_evacuated(domains)
    telemetry.event(
        "domain_out" if fact.is_out else "domain_back",
        domain=fact.domain,
        revision=view.revision,
    )


@apply.register
def _(fact: MemberFact, view: FleetView, now: float) -> None:
    view.members.put(fact.member)
    if fact.member.name == view.self_name:
        view.self_vanished = False
    else:
        view.crashes.learn(fact.member.suspects, now)
    telemetry.event(
        "member",
        member=fact.member.name,
        domain=fact.member.domain,
        leaving=fact.member.leaving,
        suspects=len(fact.member.suspects),
        revision=view.revision,
    )


@apply.register
def _(fact: MemberGoneFact, view: FleetView, now: float) -> None:
    view.members.remove(fact.name, now)
    if fact.name == view.self_name:
        view.self_vanished = True
    telemetry.event("member_gone", member=fact.name, revision=view.revision)


@apply.register
def _(fact: UnreadableFact, view: FleetView, now: float) -> None:
    telemetry.event(
        "value_unreadable",
        key=fact.key,
        reason=fact.reason,
        revision=view.revision,
    )
