"""Fakes for the tests of the aggregator."""

import trio
from sapphire_aggregator.context import LeafContext
from sapphire_aggregator.scheduler import LeafScheduler
from sapphire_core.errors import SapphireError
from sapphire_core.quarantine import Quarantine
from sapphire_core.window import LeafLimits
from sapphire_wire.leaf import Hit, IndexVersion, LeafIndex, SearchReply


class Rights:
    """Send rights that end at a time set by the test."""

    until = 1e9

    def right_until(self, leaf, now, failure_domain):
        return self.until if now < self.until else None


class FakeClient:
    """A leaf client that records batches and replies as the test has set."""

    def __init__(self, seconds=0.01) -> None:
        self.seconds = seconds
        self.batches = []
        self.deadlines = []
        self.cancelled = []
        self.submissions = []
        self.errors = {}
        self.running = 0
        self.max_running = 0
        self.concurrent = {}
        self.draining = False

    async def search(self, batch_id, version, shard, queries, *, remaining):
        self.deadlines.append(trio.current_time() + remaining())
        texts = [query.text for query in queries]
        self.batches.append(texts)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        for text in texts:
            self.concurrent[text] = self.running - 1
        try:
            await trio.sleep(self.seconds)
        finally:
            self.running -= 1
        for text in texts:
            if text in self.errors:
                raise self.errors[text]
        matches = [[Hit(-1.0 - shard, f"{shard}-{text}", "")] for text in texts]
        return SearchReply(10, matches)

    async def submit(self, key, body, *, remaining):
        remaining()
        self.submissions.append(key)
        await trio.sleep(self.seconds)
        if key in self.errors:
            raise self.errors[key]
        return {"key": key}

    async def index(self, timeout_s):
        if "index" in self.errors:
            raise self.errors["index"]
        return LeafIndex((IndexVersion("v1", 0, 1, 10),), self.draining)

    async def cancel(self, batch_id, timeout_s):
        self.cancelled.append(batch_id)

    async def aclose(self):
        pass


def make_context(nursery, rights=None):
    return LeafContext(
        rights=rights or Rights(),
        quarantine=Quarantine(600.0),
        nursery=nursery,
        on_crash=lambda: None,
    )


def make_scheduler(context, client, limits=None, address="10.0.0.1:1"):
    scheduler = LeafScheduler(
        context, "s", address, "a", limits or LeafLimits(), client
    )
    scheduler.refresh_right(trio.current_time())
    return scheduler


def error_of(kind: type[SapphireError]) -> SapphireError:
    return kind("for a test")
