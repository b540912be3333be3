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


class Belief:
    """Configuration, leaves, members and evacuations, as last learned."""

    def __init__(self, self_name: str) -> None:
        self.registry = LeafRegistry()
        self.members = Members(self_name)
        self.splits = SplitChooser()
        self.crashes = CrashWatch()
        self._configuration: Configuration | None = None
        self._table = RouteTable(())
        self.revision = 0
        self.learned_at = 0.0
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
def apply(fact: Fact, belief: Belief, now: float) -> None:
    """Changes the belief by one fact and logs what it changed."""
    raise TypeError(f"no rule for {type(fact).__name__}")


@apply.register
def _(fact: ConfigurationFact, belief: Belief, now: float) -> None:
    version = fact.configuration.version
    adopted = belief.adopt(fact.configuration)
    telemetry.event(
        "configuration_adopted" if adopted else "configuration_ignored",
        version=version,
        routes=len(fact.configuration.routes),
        revision=belief.revision,
    )


@apply.register
def _(fact: LeafFact, belief: Belief, now: float) -> None:
    entry = fact.entry
    taken = belief.registry.put(entry, now)
    telemetry.event(
        "leaf_entry" if taken else "leaf_entry_ignored",
        leaf=entry.leaf_id,
        service=entry.service,
        domain=entry.domain,
        state=entry.state.value,
        born_ms=entry.born_ms,
        sequence=entry.sequence,
        warmup_left_s=entry.warmup_left_s,
        revision=belief.revision,
    )


@apply.register
def _(fact: LeafGoneFact, belief: Belief, now: float) -> None:
    belief.registry.remove(fact.leaf_id, now)
    telemetry.event(
        "leaf_gone",
        leaf=fact.leaf_id,
        reason=fact.reason,
        revision=belief.revision,
    )


@apply.register
def _(fact: EvacuationFact, belief: Belief, now: float) -> None:
    domains = set(belief.registry.evacuated)
    if fact.is_out:
        domains.add(fact.domain)
    else:
        domains.discard(fact.domain)
    belief.registry.set_evacuated(domains)
    telemetry.event(
        "domain_out" if fact.is_out else "domain_back",
        domain=fact.domain,
        revision=belief.revision,
    )


@apply.register
def _(fact: MemberFact, belief: Belief, now: float) -> None:
    belief.members.put(fact.member)
    if fact.member.name == belief.self_name:
        belief.self_vanished = False
    else:
        belief.crashes.learn(fact.member.suspects, now)
    telemetry.event(
        "member",
        member=fact.member.name,
        domain=fact.member.domain,
        leaving=fact.member.leaving,
        suspects=len(fact.member.suspects),
        revision=belief.revision,
    )


@apply.register
def _(fact: MemberGoneFact, belief: Belief, now: float) -> None:
    belief.members.remove(fact.name, now)
    if fact.name == belief.self_name:
        belief.self_vanished = True
    telemetry.event("member_gone", member=fact.name, revision=belief.revision)


@apply.register
def _(fact: UnreadableFact, belief: Belief, now: float) -> None:
    telemetry.event(
        "value_unreadable",
        key=fact.key,
        reason=fact.reason,
        revision=belief.revision,
    )
