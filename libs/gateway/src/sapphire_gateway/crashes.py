"""Requests that may crash leaves: fingerprints, log lines and sharing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import trio
from sapphire_core.crashsuspects import (
    SETTLING_S,
    CrashedLeaf,
    CrashRecord,
    CrashSuspects,
    CrashVerdict,
)

from sapphire_gateway import telemetry

# Records in a member's entry and in a message to another VM.
MAX_SHARED_RECORDS = 50


def request_fingerprint(
    method: bytes, host: bytes, target: bytes, body: bytes, caller_host: str
) -> str:
    """Returns a hash that is equal for repeated requests of one caller.

    Args:
        method: Method of the request.
        host: Its header Host; other headers are not part of the hash.
        target: Its target.
        body: Its body.
        caller_host: IP address of the caller.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (method, host.lower(), target, caller_host.encode(), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class CrashTracker:
    """The suspected requests of this VM, with log lines for each change.

    Attributes:
        suspects: Decides which requests may run.
    """

    def __init__(self, self_name: str) -> None:
        self.suspects = CrashSuspects(self_name)
        self._is_unpublished = False
        self._news = trio.Event()
        # Time at which the verdict on the last canary that crashed is due.
        self._settles_at = math.inf

    def verdict(self, fingerprint: str, now: float) -> CrashVerdict:
        """Returns whether and how a request may run."""
        return self.suspects.verdict(fingerprint, now)

    def record_crash(
        self, fingerprint: str, leaf: CrashedLeaf, is_canary: bool, now: float
    ) -> None:
        """Records that a leaf crashed while it ran a request."""
        is_new = self.suspects.record_crash(fingerprint, leaf, is_canary, now)
        verdict = self.suspects.verdict(fingerprint, now)
        telemetry.leaf_event(
            now,
            "leaf_crashed",
            leaf=leaf.incarnation,
            service=leaf.service,
            fingerprint=fingerprint,
            canary=is_canary,
            known=not is_new,
            verdict=verdict.value,
        )
        telemetry.CRASH_SUSPECTS.labels(verdict.value).inc()
        if is_canary:
            self._settles_at = now + SETTLING_S
        if is_new:
            self._is_unpublished = True
            self._news.set()

    def record_survival(
        self, fingerprint: str, service: str, is_canary: bool, now: float
    ) -> None:
        """Records that a leaf has answered a request."""
        if self.suspects.record_survival(fingerprint, service, is_canary):
            telemetry.leaf_event(
                now,
                "suspect_cleared",
                fingerprint=fingerprint,
                service=service,
                canary=is_canary,
            )
            # Other VMs hold the request back until they know.
            self._news.set()

    def merge(
        self, records: Iterable[CrashRecord], source: str, now: float
    ) -> None:
        """Merges the records of another VM, which is named for the log."""
        for fingerprint, verdict in self.suspects.merge(records, now):
            telemetry.leaf_event(
                now,
                "crash_records_merged",
                fingerprint=fingerprint,
                member=source,
                verdict=verdict.value,
            )

    def shared_records(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns up to MAX_SHARED_RECORDS, quarantined requests first."""
        records = self.suspects.records(MAX_SHARED_RECORDS, now)
        left_out = len(self.suspects) - len(records)
        telemetry.CRASH_RECORDS_LEFT_OUT.inc(left_out)
        return tuple(records)

    def take_unpublished(self, now: float) -> tuple[CrashRecord, ...] | None:
        """Returns the records for the store if this VM saw a new crash.

        Returns None otherwise: what other VMs have told is no reason for
        another call to the store.
        """
        if not self._is_unpublished:
            return None
        self._is_unpublished = False
        return tuple(
            record
            for record in self.shared_records(now)
            if record.leaves or record.is_quarantined
        )

    async def wait_for_news(self) -> None:
        """Waits until this VM has something to tell since the last call.

        That is also the case once a canary may have led to a quarantine, of
        which other VMs must know before they run one.
        """
        with trio.move_on_at(self._settles_at) as settling:
            await self._news.wait()
            self._news = trio.Event()
        if settling.cancelled_caught:
            self._settles_at = math.inf
