"""Requests that may crash leaves: fingerprints, log lines and sharing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Container, Iterable

import trio
from sapphire_core.crashsuspects import (
    SETTLING_S,
    CrashedLeaf,
    CrashRecord,
    CrashSuspects,
    CrashVerdict,
)

from sapphire_gateway import telemetry

# Records in a message to another VM.
MAX_SHARED_RECORDS = 50
# Records in a member's entry: each VM reads each other's entry as a whole.
MAX_PUBLISHED_RECORDS = 8
# Shortest interval between two writes of the entry because of new crashes.
PUBLISH_INTERVAL_S = 1.0
# Requests that other VMs know to be suspected; those told first are forgotten.
MAX_TOLD = 4_000


def request_fingerprint(
    method: bytes, host: bytes, target: bytes, body: bytes
) -> str:
    """Returns a hash that is equal for repeated requests, whoever sends them.

    The address of the caller is not part of it: leaves do not see it, and a
    caller may repeat a request from another one.

    Args:
        method: Method of the request.
        host: Its header Host; other headers are not part of the hash.
        target: Its target.
        body: Its body.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (method, host.lower(), target, body):
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
        self._published_at = -math.inf
        self._news = trio.Event()
        # Requests of which this VM has learned something by itself since it
        # last told others.
        self._own_news: dict[str, None] = {}
        # Suspected requests that other VMs know of.
        self._told: dict[str, None] = {}
        # Time at which the verdict on the last canary that crashed is due, and
        # the requests of such canaries.
        self._settles_at = math.inf
        self._settling: dict[str, None] = {}

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
            self._settling[fingerprint] = None
        if is_new:
            self._is_unpublished = True
            self._add_own_news(fingerprint)

    def record_unexplained_loss(
        self, fingerprint: str, leaf: CrashedLeaf, is_canary: bool, now: float
    ) -> None:
        """Records that a leaf may have crashed while it ran a request."""
        crashed = self.suspects.record_unexplained_loss(
            fingerprint, leaf, is_canary, now
        )
        telemetry.leaf_event(
            now,
            "leaf_loss_unexplained",
            leaf=leaf.incarnation,
            service=leaf.service,
            fingerprint=fingerprint,
            canary=is_canary,
            counted=len(crashed),
            verdict=self.suspects.verdict(fingerprint, now).value,
        )
        if crashed:
            self._is_unpublished = True
            self._add_own_news(fingerprint)

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
            self._add_own_news(fingerprint)

    def merge(
        self, records: Iterable[CrashRecord], source: str, now: float
    ) -> None:
        """Merges the records of another VM, which is named for the log."""
        for fingerprint, verdict in self.suspects.merge(records, now):
            self._record_told(fingerprint)
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

    def records_unlike(
        self, digests: Container[bytes], now: float
    ) -> tuple[CrashRecord, ...]:
        """Returns the shared records without those that a VM knows already.

        Args:
            digests: Digests of the records that the other VM has.
            now: Current time in seconds.
        """
        return tuple(
            record
            for record in self.shared_records(now)
            if record.digest not in digests
        )

    def take_own_news(self, now: float) -> tuple[CrashRecord, ...]:
        """Returns what this VM has seen since the last call.

        A request that was suspected and cleared since then is left out.
        """
        own_news, self._own_news = self._own_news, {}
        records = []
        for record in self.suspects.records_of(own_news, now):
            is_suspected = bool(record.leaves) or record.is_quarantined
            if is_suspected or record.fingerprint in self._told:
                self._record_told(record.fingerprint)
                records.append(record)
        return tuple(records)

    def take_unpublished(self, now: float) -> tuple[CrashRecord, ...] | None:
        """Returns the records for the store if this VM saw a new crash.

        Returns None otherwise, or if the last call was less than
        PUBLISH_INTERVAL_S ago. What other VMs have told is no reason for
        another call to the store.
        """
        is_due = now - self._published_at >= PUBLISH_INTERVAL_S
        if not self._is_unpublished or not is_due:
            return None
        self._is_unpublished = False
        self._published_at = now
        records = self.suspects.records(MAX_PUBLISHED_RECORDS, now)
        return tuple(r for r in records if r.leaves or r.is_quarantined)

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
            self._own_news.update(self._settling)
            self._settling.clear()

    def _add_own_news(self, fingerprint: str) -> None:
        self._own_news[fingerprint] = None
        self._news.set()

    def _record_told(self, fingerprint: str) -> None:
        self._told[fingerprint] = None
        while len(self._told) > MAX_TOLD:
            del self._told[next(iter(self._told))]
