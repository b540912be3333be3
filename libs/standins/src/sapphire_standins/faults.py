"""Behaviour and faults that can be changed while a stand-in runs."""

from __future__ import annotations

import enum

from pydantic import Field

from sapphire_standins.calls import Model

Share = float


class Action(enum.StrEnum):
    """Things that happen to a leaf once."""

    TURN_COLD = "turn_cold"
    TURN_WARM = "turn_warm"
    CRASH = "crash"


class Version(Model):
    """One index version and this leaf's shard of it."""

    version: str
    shards: int = Field(1, ge=1)
    shard: int = Field(0, ge=0)


class LeafFaults(Model):
    """Behaviour of a leaf; the defaults are free of faults."""

    versions: tuple[Version, ...] = (Version(version="v1"),)
    slots: int = Field(2, ge=1, description="Calls that run at once.")
    queue_limit: int = Field(8, ge=0, description="Calls that wait.")
    connections: int = Field(25, ge=1, description="Open at once.")
    connect_ms: float = Field(6.0, ge=0, description="Per new connection.")
    service_ms: float = Field(4.0, ge=0, description="Of a single query.")
    spread: float = Field(
        0.2, ge=0, le=1, description="Share by which times differ."
    )
    batch_share: float = Field(
        0.25, ge=0, le=1, description="Cost of each further query of a call."
    )
    multi_search: bool = True

    draining: bool = False
    cold_bears: int = Field(1, ge=1, description="Calls at once while cold.")
    unnoticed_bears: int | None = Field(
        None,
        ge=1,
        description="The same until the first slow reply after an"
        " unannounced turn; None: cold_bears.",
    )
    cold_factor: float = Field(10.0, ge=1, description="Of the service time.")
    cold_refuses: bool = Field(
        False, description="Answer 503 cold instead of falling over."
    )
    warm_after: int = Field(20, ge=1, description="Finished calls.")
    fall_over_ms: float = Field(1_000.0, ge=0, description="Out of reach.")
    restart_ms: float = Field(1_000.0, ge=0, description="After a crash.")
    crash_word: str | None = Field(
        None, description="A query with this word crashes the leaf."
    )

    slow_factor: float = Field(1.0, gt=0, description="Of the service time.")
    slow_share: Share = Field(1.0, ge=0, le=1, description="Calls slowed.")
    health_lag_ms: float = Field(0.0, ge=0)
    health_says: str | None = Field(None, description="Instead of the truth.")
    load_lag_ms: float = Field(0.0, ge=0)
    load_says: float | None = Field(None, description="Instead of the truth.")

    crossed_share: Share = Field(
        0.0, ge=0, le=1, description="Replies with the body of another call."
    )
    late_share: Share = Field(0.0, ge=0, le=1)
    late_ms: float = Field(500.0, ge=0, description="Added to late replies.")
    duplicated_share: Share = Field(0.0, ge=0, le=1)
    truncated_share: Share = Field(0.0, ge=0, le=1)
    garbage_share: Share = Field(0.0, ge=0, le=1)


class PlatformFaults(Model):
    """Behaviour of the platform; the defaults are free of faults."""

    down: bool = Field(False, description="Calls are cut without an answer.")
    refuse: bool = Field(
        False, description="Refuse connections; undone at the control address."
    )
    slow_ms: float = Field(0.0, ge=0, description="Added to each answer.")
    lose_next: int = Field(
        0, ge=0, description="Applied writes whose answer is lost."
    )
    lose_share: Share = Field(0.0, ge=0, le=1, description="The same.")
    drop_next: int = Field(
        0, ge=0, description="Writes cut before they take effect."
    )
    old_share: Share = Field(
        0.0, ge=0, le=1, description="Reads that see the value before."
    )
    cut_off: tuple[str, ...] = Field((), description="Source IP addresses.")
    read_rate: float = Field(2_000.0, gt=0, description="Per second.")
    write_rate: float = Field(500.0, gt=0, description="Per second.")
