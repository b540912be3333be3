"""In-memory key-value service with scripted faults."""

import enum
import json

from sapphire_core.errors import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnconfirmedError,
)
from sapphire_wire.platform import VersionedValue


class Fault(enum.Enum):
    """Fault injected into one call."""

    NONE = enum.auto()
    # The call fails and has no effect.
    DOWN = enum.auto()
    # A write takes effect, but its response is lost.
    RESPONSE_LOST = enum.auto()
    # A write's response is lost; it takes effect after the next write.
    DELAYED = enum.auto()
    # Another operator's write takes effect first.
    CONFLICT = enum.auto()
    # A read returns the previous value.
    STALE = enum.auto()


class FakePlatform:
    """Key-value service with the full history of a single key."""

    def __init__(self, values=(), faults=()) -> None:
        self.history = ["", *values]
        self._faults = iter(faults)
        self._delayed_writes = []

    @property
    def revisions(self):
        return [json.loads(v)["revision"] for v in self.history[1:]]

    @property
    def change_ids(self):
        return [json.loads(v)["change_id"] for v in self.history[1:]]

    @property
    def document(self):
        return json.loads(self.history[-1])["document"]

    async def get(self, key):
        fault = next(self._faults, Fault.NONE)
        if fault is Fault.DOWN:
            raise PlatformUnavailableError("down.")
        version = len(self.history) - 1
        if fault is Fault.STALE and version > 0:
            version -= 1
        return VersionedValue(self.history[version], version)

    async def put(self, key, value, expect):
        fault = next(self._faults, Fault.NONE)
        if fault is Fault.DOWN:
            raise PlatformUnavailableError("down.")
        if fault is Fault.CONFLICT:
            self._write_other_change()
        if fault is Fault.DELAYED:
            self._delayed_writes.append((value, expect))
            raise WriteUnconfirmedError("lost.")
        applied = self._swap(value, expect)
        self.apply_delayed_writes()
        if fault is Fault.RESPONSE_LOST:
            raise WriteUnconfirmedError("lost.")
        if not applied:
            raise WriteConflictError(key, expect, len(self.history) - 1)
        return len(self.history) - 1

    async def aclose(self):
        pass

    def apply_delayed_writes(self):
        for value, expect in self._delayed_writes:
            self._swap(value, expect)
        self._delayed_writes.clear()

    def _swap(self, value, expect):
        if expect != len(self.history) - 1:
            return False
        self.history.append(value)
        return True

    def _write_other_change(self):
        if len(self.history) == 1:
            return
        fields = json.loads(self.history[-1])
        fields["revision"] += 1
        fields["change_id"] = f"other{fields['revision']}"
        fields["recent_changes"].append(fields["change_id"])
        fields["document"]["out_vms"].append(f"10.9.0.{len(self.history)}")
        self.history.append(json.dumps(fields))
