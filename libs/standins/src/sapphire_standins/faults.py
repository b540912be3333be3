"""Behaviour and injected faults, configurable at run time."""

from __future__ import annotations

import enum

from pydantic import Field

from sapphire_standins.endpoints import Model

Share = float


class Action(enum.StrEnum):
    """One-time actions on a leaf."""

    TURN_COLD = "turn_cold"
    TURN_WARM = "turn_warm"
    CRASH = "crash"


class Version(Model):
    """An index version and the shard of it that the leaf serves."""

    version: str
    shards: int = Field(1, ge=1)
    shard: int = Field(0, ge=0)


class LeafFaults(Model):
    """Behaviour of a leaf; no fault is active by default."""

    versions: tuple[Version, ...] = (Version(version="v1"),)
    slots: int = Field(2, ge=1, description="Concurrent calls.")
    queue_limit: int = Field(8, ge=0, description="Queued calls.")
    connections: int = Field(25, ge=1, description="Maximum open.")
    connect_ms: float = Field(
        6.0, ge=0, description="Set-up time per connection."
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
        description="Cost of each further query in a call, relative to the"
        " first.",
    )
    multi_search: bool = Field(
        True, description="Accept several queries in a call."
    )

    draining: bool = False
    cold_bears: int = Field(
        1, ge=1, description="Concurrent calls handled while cold."
    )
    unnoticed_bears: int | None = Field(
        None,
        ge=1,
        description="Concurrent calls handled after an unannounced turn to"
        " cold, until the first call that arrived after it has finished;"
        " None means cold_bears.",
    )
    cold_factor: float = Field(
        10.0, ge=1, description="Service time multiplier while cold."
    )
    cold_refuses: bool = Field(
        False, description="Answer 503 cold instead of failing on excess calls."
    )
    warm_after: int = Field(
        20, ge=1, description="Finished calls until a cold leaf is warm."
    )
    fall_over_ms: float = Field(
        1_000.0, ge=0, description="Outage after excess calls while cold."
    )
    restart_ms: float = Field(
        1_000.0, ge=0, description="Outage after a crash."
    )
    crash_word: str | None = Field(
        None, description="A query that contains this word crashes the leaf."
    )

    slow_factor: float = Field(
        1.0, gt=0, description="Service time multiplier of slowed calls."
    )
    slow_share: Share = Field(
        1.0, ge=0, le=1, description="Share of slowed calls."
    )
    health_lag_ms: float = Field(0.0, ge=0)
    health_says: str | None = Field(
        None, description="Reported instead of the actual health."
    )
    load_lag_ms: float = Field(0.0, ge=0)
    load_says: float | None = Field(
        None, description="Reported instead of the actual load."
    )

    crossed_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Replies that carry the body of another call.",
    )
    late_share: Share = Field(0.0, ge=0, le=1)
    late_ms: float = Field(500.0, ge=0, description="Delay of late replies.")
    duplicated_share: Share = Field(0.0, ge=0, le=1)
    truncated_share: Share = Field(0.0, ge=0, le=1)
    garbage_share: Share = Field(0.0, ge=0, le=1)


class PlatformFaults(Model):
    """Behaviour of the platform; no fault is active by default."""

    down: bool = Field(False, description="Close connections without a reply.")
    refuse: bool = Field(
        False,
        description="Refuse connections; reset it at the control address.",
    )
    slow_ms: float = Field(0.0, ge=0, description="Delay of each reply.")
    lose_next: int = Field(
        0, ge=0, description="Number of next applied writes without a reply."
    )
    lose_share: Share = Field(
        0.0, ge=0, le=1, description="Share of applied writes without a reply."
    )
    drop_next: int = Field(
        0, ge=0, description="Number of next writes dropped before they apply."
    )
    old_share: Share = Field(
        0.0,
        ge=0,
        le=1,
        description="Share of GET /kv calls that return the previous value.",
    )
    cut_off: tuple[str, ...] = Field(
        (), description="Blocked client IP addresses."
    )
    read_rate: float = Field(2_000.0, gt=0, description="Reads per second.")
    write_rate: float = Field(500.0, gt=0, description="Writes per second.")
