"""Detection and quarantine of requests that crash leaves."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from sapphire_core.quarantine import CrashCount, Quarantine, Verdict

from sapphire_gateway import telemetry

# A request that was running in two separate crashes is refused for this long.
QUARANTINE_S = 60.0
# A crash counts only if it comes at least this long after the previous one
# during the same request: a search runs on many leaves at once, and the leaves
# of a failure domain can fail together.
CRASH_GROUPING_S = 0.4
# Maximum number of CrashCount records in a member's entry.
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
    """Counts the leaf crashes during which each request was running.

    VMs exchange these counts through their member entries, so that a request
    with two crashes is refused at every VM that has received the counts.
    """

    def __init__(self) -> None:
        self._quarantine = Quarantine(QUARANTINE_S)
        self._last_crash_at: dict[str, float] = {}
        self._has_unshared = False

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is quarantined."""
        verdict = self._quarantine.verdict(fingerprint, now)
        return verdict is Verdict.QUARANTINED

    def since_last_crash_s(self, fingerprint: str, now: float) -> float | None:
        """Returns the age of the last crash of a request, counted or not."""
        last = self._last_crash_at.get(fingerprint)
        return None if last is None else now - last

    def record_crash(self, fingerprint: str, now: float) -> Verdict:
        """Records that a leaf crashed while it ran the request."""
        last = self._last_crash_at.get(fingerprint)
        is_separate = last is None or now - last >= CRASH_GROUPING_S
        self._forget_expired(now)
        self._last_crash_at[fingerprint] = now
        self._has_unshared = self._has_unshared or is_separate
        # A separate crash counts even if the leaf ran other requests too, so
        # `alone` does not have the meaning that Quarantine documents.
        return self._quarantine.record_crash(
            fingerprint, now, alone=is_separate
        )

    def take_unshared(self, now: float) -> tuple[CrashCount, ...] | None:
        """Returns all records if a crash was counted since the last call.

        Returns None otherwise. Records merged from other VMs are included, but
        are no reason to share. If there are more than MAX_SHARED_RECORDS, those
        that expire last are returned.
        """
        if not self._has_unshared:
            return None
        self._has_unshared = False
        records = self._quarantine.records(now)
        records.sort(key=lambda record: -record.expires_in_s)
        return tuple(records[:MAX_SHARED_RECORDS])

    def merge(self, records: Iterable[CrashCount], now: float) -> None:
        """Merges the records of another VM."""
        for record in records:
            before = self._quarantine.verdict(record.fingerprint, now)
            self._quarantine.merge([record], now)
            after = self._quarantine.verdict(record.fingerprint, now)
            if after is not before:
                telemetry.event(
                    "crash_count_merged",
                    fingerprint=record.fingerprint,
                    crashes=record.crashes,
                    before=before.value,
                    verdict=after.value,
                )

    def _forget_expired(self, now: float) -> None:
        expired = [
            name
            for name, at in self._last_crash_at.items()
            if now - at > QUARANTINE_S
        ]
        for name in expired:
            del self._last_crash_at[name]
