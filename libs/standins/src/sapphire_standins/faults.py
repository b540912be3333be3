"""Behaviour of the stand-ins and injected faults, changeable at run time."""

from __future__ import annotations

import enum

from pydantic import Field

from sapphire_standins.endpoints import Model

# Fraction of calls or replies, from 0 to 1, chosen at random.
Share = float


class Action(enum.StrEnum):
    """One-time actions on a leaf.

    Attributes:
        TURN_COLD: Makes the leaf cold without an outage.
        TURN_WARM: Makes the leaf warm.
        CRASH: Stops all jobs, closes all connections, refuses new ones for
            restart_ms and makes the leaf cold.
    """

    TURN_COLD = "turn_cold"
    TURN_WARM = "turn_warm"
    CRASH = "crash"


class Version(Model):
    """An index version, and which of its shards the leaf serves.

    Attributes:
        version: Name of the index version.
        shards: Number of shards of the index.
        shard: Number of the served shard, counted from 0. A number that is not
            below shards gives an index without documents.
    """

    version: str
    shards: int = Field(1, ge=1)
    shard: int = Field(0, ge=0)


class LeafFaults(Model):
    """Capacity, timing and faults of a leaf; by default, without any fault.

    The calls below are search and submit calls, which need a slot. A leaf is
    cold after an outage, after the action turn_cold and, if set, from its
    start; it becomes warm after warm_after finished calls. More calls at once
    than a cold leaf handles (cold_bears) cause an outage.
    """

    versions: tuple[Version, ...] = (Version(version="v1"),)
    slots: int = Field(2, ge=1, description="Calls that run at once.")
    queue_limit: int = Field(
        8,
        ge=0,
        description="Calls that wait for a slot; further ones get 503.",
    )
    connections: int = Field(
        25,
        ge=1,
        description="Open connections; further ones are closed at once.",
    )
    connect_ms: float = Field(
        6.0, ge=0, description="Set-up time per connection, one after another."
    )
    service_ms: float = Field(
        4.0, ge=0, description="Service time of one query."
    )
    spread: float = Field(
        0.2, ge=0, le=1, description="Relative jitter of the service time."
    )
    batch_share: float = Field(
        0.25,
        ge=0,
        le=1,
        description="Service time of each further query in a call, relative"
        " to the first.",
    )
    multi_search: bool = Field(
        True,
        description="Whether a search call may contain several queries;"
        " otherwise it gets 400.",
    )

    draining: bool = Field(False, description="Refuse new calls with 503.")
    cold_bears: int = Field(
        1,
        ge=1,
        description="Concurrent calls that a cold leaf handles; one more"
        " causes an outage of fall_over_ms, unless cold_refuses is set.",
    )
    unnoticed_bears: int | None = Field(
        None,
        ge=1,
        description="Used instead of cold_bears after the action turn_cold,"
        " until a call has finished that arrived after the action; None"
        " means cold_bears.",
    )
    cold_factor: float = Field(
        10.0, ge=1, description="Service time multiplier while cold."
    )
    cold_refuses: bool = Field(
        False,
        description="Refuse calls above cold_bears or unnoticed_bears with 503,"
        " instead of the outage.",
    )
    warm_after: int = Field(
        20,
        ge=1,
        description="Number of finished calls after which a cold leaf is warm;"
        " calls that arrived before it was cold don't count.",
    )
    fall_over_ms: float = Field(
        1_000.0,
        ge=0,
        description="Duration of the outage when a cold leaf gets more calls"
        " at once than it handles.",
    )
    restart_ms: float = Field(
        1_000.0, ge=0, description="Duration of the outage after a crash."
    )
    crash_word: str | None = Field(
        None, description="A query that contains this word crashes the leaf."
    )

    slow_factor: float = Field(
        1.0, gt=0, description="Service time multiplier of slowed calls."
    )
    slow_share: Share = Field(
        1.0,
        ge=0,
        le=1,
        description="Share of calls that are slowed by slow_factor.",
    )
    health_lag_ms: float = Field(
        0.0, ge=0, description="Age of the health that GET /health reports."
    )
    health_says: str | None = Field(
        None, description="Reported instead of the actual health, if set."
    )
    load_lag_ms: float = Field(
        0.0, ge=0, description="Age of the load that GET /load reports."
    )
    load_says: float | None = Field(
        None,
        description="Reported instead of the actual number of jobs per slot,"
        " if set.",
    )

    crossed_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of replies with the body of the previous reply.",
    )
    late_share: Share = Field(
        0.0, ge=0, le=1, description="Share of replies delayed by late_ms."
    )
    late_ms: float = Field(500.0, ge=0, description="Delay of late replies.")
    duplicated_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of replies sent twice on their connection.",
    )
    truncated_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of replies cut off in the body by closing the"
        " connection.",
    )
    garbage_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of replies with random bytes as the body.",
    )


class PlatformFaults(Model):
    """Limits and faults of the key-value service; by default, without a fault.

    Calls other than gets and watches are writes, also those of leases.
    """

    down: bool = Field(
        False,
        description="Close open connections; accept new ones but close them"
        " without a reply to their first operation.",
    )
    refuse: bool = Field(
        False,
        description="Close open connections and refuse new ones. Only the"
        " control address can then be reached, to undo this.",
    )
    slow_ms: float = Field(
        0.0, ge=0, description="Delay of replies, except for 400 and 429."
    )
    lose_next: int = Field(
        0,
        ge=0,
        description="Number of coming writes that are applied but get no"
        " reply.",
    )
    lose_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of writes that are applied but get no reply.",
    )
    drop_next: int = Field(
        0,
        ge=0,
        description="Number of coming writes that are neither applied nor"
        " answered.",
    )
    old_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of GET /kv calls that return the previous value.",
    )
    cut_off: tuple[str, ...] = Field(
        (),
        description="IP addresses of the clients whose connections are closed"
        " without a reply.",
    )
    read_rate: float = Field(
        2_000.0, gt=0, description="Reads per second; further ones get 429."
    )
    write_rate: float = Field(
        500.0, gt=0, description="Writes per second; further ones get 429."
    )
