"""Encoding of rosters and crash records, for storage and for the wire."""

from __future__ import annotations

import json
from collections.abc import Iterable

from sapphire_core.quarantine import CrashCount
from sapphire_core.rights import Roster
from sapphire_wire.gen.ttypes import CrashRecord, RosterMember


def parse_roster(text: str) -> Roster:
    """Parses a roster stored on the platform.

    Raises:
        ValueError: The text is not a roster.
    """
    fields = json.loads(text)
    domains = {str(m): str(d) for m, d in fields["members"].items()}
    return Roster(
        int(fields["revision"]), tuple(domains), tuple(domains.values())
    )


def format_roster(roster: Roster) -> str:
    """Formats a roster for storage on the platform."""
    members = {m: roster.domain_of(m) for m in roster.members}
    return json.dumps({"revision": roster.revision, "members": members})


def roster_to_wire(roster: Roster) -> list[RosterMember]:
    """Returns the members of a roster as wire structs."""
    return [
        RosterMember(address=m, failure_domain=roster.domain_of(m))
        for m in roster.members
    ]


def records_to_wire(records: Iterable[CrashCount]) -> list[CrashRecord]:
    """Returns quarantine records as wire structs."""
    return [
        CrashRecord(
            fingerprint=record.fingerprint,
            crashes=record.crashes,
            expires_in_ms=record.expires_in_s * 1000,
        )
        for record in records
    ]


def records_from_wire(
    records: Iterable[CrashRecord] | None,
) -> list[CrashCount]:
    """Returns the quarantine records of wire structs."""
    return [
        CrashCount(r.fingerprint, r.crashes, r.expires_in_ms / 1000)
        for r in records or ()
    ]


def vm_of(member: str) -> str:
    """Returns the IP address of a member's VM."""
    return member.rpartition(":")[0]
