"""An in-memory key-value service with scripted faults."""

import enum
import json

from sapphire_core.errors import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from sapphire_wire.platform import VersionedValue


class Fault(enum.Enum):
    """What happens to one call."""

    NONE = enum.auto()
    # The call fails and has no effect.
    DOWN = enum.auto()
    # A write takes effect and its answer is lost.
    ANSWER_LOST = enum.auto()
    # A write's answer is lost; it takes effect after the next write.
    DELAYED = enum.auto()
    # Another operator's write comes first.
    RACE = enum.auto()
    # A read returns the value before the newest.
    STALE = enum.auto()


class FakePlatform:
    """Holds the history of one key."""

    def __init__(self, values=(), faults=()) -> None:
        self.history = ["", *values]
        self._faults = iter(faults)
        self._late = []

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
        if fault is Fault.RACE:
            self._other_change()
        if fault is Fault.DELAYED:
            self._late.append((value, expect))
            raise WriteUnknownError("lost.")
        applied = self._swap(value, expect)
        self.deliver_late_writes()
        if fault is Fault.ANSWER_LOST:
            raise WriteUnknownError("lost.")
        if not applied:
            raise WriteConflictError(key, expect, len(self.history) - 1)
        return len(self.history) - 1

    async def aclose(self):
        pass

    def deliver_late_writes(self):
        for value, expect in self._late:
            self._swap(value, expect)
        self._late.clear()

    def _swap(self, value, expect):
        if expect != len(self.history) - 1:
            return False
        self.history.append(value)
        return True

    def _other_change(self):
        if len(self.history) == 1:
            return
        fields = json.loads(self.history[-1])
        fields["revision"] += 1
        fields["change_id"] = f"other{fields['revision']}"
        fields["recent_changes"].append(fields["change_id"])
        fields["document"]["out_vms"].append(f"10.9.0.{len(self.history)}")
        self.history.append(json.dumps(fields))
