"""Requests that crash leaves: who is blamed, and what the VMs share of it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from sapphire_core.quarantine import Quarantine, Record, Verdict

# A request that crashed leaves twice is refused for this time.
QUARANTINE_S = 60.0
# Leaves that crash within this time of each other count as one crash: one
# search runs on many leaves at once, and a failure domain falls as a whole.
ONE_CRASH_S = 0.4
# Members' entries carry at most this many records.
MAX_SHARED = 50


def fingerprint(
    method: bytes, target: bytes, body: bytes, caller_host: str
) -> str:
    """Returns what is equal when a caller sends the same request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (method, target, caller_host.encode(), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class CrashWatch:
    """Counts the crashes that each request was running in.

    All VMs share what they have seen through their members' entries, so that
    a request that comes again at any VM crashes no third leaf.
    """

    def __init__(self) -> None:
        self._quarantine = Quarantine(QUARANTINE_S)
        self._last_crash: dict[str, float] = {}
        self._has_news = False

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not reach a leaf."""
        verdict = self._quarantine.verdict(fingerprint, now)
        return verdict is Verdict.QUARANTINED

    def crashed(self, fingerprint: str, now: float) -> Verdict:
        """Counts a leaf that crashed while it ran the request."""
        last = self._last_crash.get(fingerprint)
        is_another = last is None or now - last >= ONE_CRASH_S
        self._forget_old(now)
        self._last_crash[fingerprint] = now
        self._has_news = self._has_news or is_another
        return self._quarantine.crashed(fingerprint, now, alone=is_another)

    def take_unshared(self, now: float) -> tuple[Record, ...] | None:
        """Returns the records to share, or None if there is nothing new."""
        if not self._has_news:
            return None
        self._has_news = False
        records = self._quarantine.records(now)
        records.sort(key=lambda record: -record.expires_in_s)
        return tuple(records[:MAX_SHARED])

    def learn(self, records: Iterable[Record], now: float) -> None:
        """Adopts what another VM has seen."""
        self._quarantine.merge(records, now)

    def _forget_old(self, now: float) -> None:
        old = [
            name
            for name, at in self._last_crash.items()
            if now - at > QUARANTINE_S
        ]
        for name in old:
            del self._last_crash[name]
