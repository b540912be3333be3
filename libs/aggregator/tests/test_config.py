"""Tests of the adoption of configurations."""

import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from sapphire_aggregator.config import MIN_WATCH_INTERVAL_S, ConfigStore
from sapphire_core.adoption import Source
from sapphire_core.errors import PlatformUnavailableError, SettingsError
from sapphire_wire.gen.ttypes import Frame
from sapphire_wire.platform import VersionedValue
from trio.testing import MockClock


def _text(revision):
    leaf = {"address": "10.1.0.1:1", "failure_domain": "a"}
    service = {
        "name": "s",
        "leaves": [leaf],
        "classes": [{"name": "c", "priority": 0}],
    }
    document = {
        "name": "d",
        "regions": [{"name": "r", "failure_domains": ["a"]}],
        "services": [service],
    }
    return json.dumps(
        {"revision": revision, "change_id": "x", "document": document}
    )


@given(st.lists(st.integers(1, 20), min_size=1))
def test_revision_never_decreases(revisions):
    """Guards against reverting to an older configuration."""
    seen = []
    store = ConfigStore(lambda stored: seen.append(stored.revision))
    for revision in revisions:
        store.offer(_text(revision), Source.WATCH)
    assert seen == sorted(set(seen))
    assert store.revision == max(revisions)
    assert json.loads(store.reply().document)["revision"] == store.revision


def test_invalid_document_is_refused_and_the_previous_one_kept():
    """Guards against losing the configuration to an invalid document."""
    store = ConfigStore(lambda stored: None)
    store.offer(_text(3), Source.WATCH)
    with pytest.raises(SettingsError):
        store.offer('{"revision": 4}', Source.WATCH)
    assert store.revision == 3


class _Platform:
    """Returns or raises the given answers in turn, then blocks."""

    def __init__(self, answers) -> None:
        self.answers = answers
        self.times = []

    async def get(self, key):
        self.times.append(trio.current_time())
        if not self.answers:
            await trio.sleep_forever()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def watch(self, key, after):
        return await self.get(key)


def test_watch_survives_outages_and_bad_values():
    """Guards against a watch that ends or busy-loops during an outage."""
    down = [PlatformUnavailableError("for a test") for _ in range(20)]
    platform = _Platform(
        [
            *down,
            VersionedValue("not json", 1),
            VersionedValue(_text(2), 2),
            VersionedValue(_text(1), 3),
        ]
    )
    store = ConfigStore(lambda stored: None)

    async def main():
        with trio.move_on_after(600):
            await store.run_watch(platform)

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert store.revision == 2
    assert not platform.answers
    assert platform.times[20] - platform.times[0] > 20


def test_watch_that_is_answered_at_once_does_not_busy_loop():
    """Guards against a flood of calls if the platform does not wait."""
    platform = _Platform([VersionedValue(_text(2), 2)] * 1000)
    store = ConfigStore(lambda stored: None)

    async def main():
        with trio.move_on_after(10):
            await store.run_watch(platform)

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert len(platform.times) <= 10 / MIN_WATCH_INTERVAL_S + 1


def test_revision_announced_by_a_peer_is_fetched():
    """Guards against an outdated configuration while the platform is down."""
    peer = ConfigStore(lambda stored: None)
    peer.offer(_text(5), Source.WATCH)
    store = ConfigStore(lambda stored: None)

    async def ask(address, frame):
        assert address == "10.0.0.1:1"
        return Frame(config_reply=peer.reply())

    async def main():
        with trio.move_on_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run_peers, ask)
                await trio.sleep(1)
                store.on_peer_revision(5, "10.0.0.1:1")

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert store.revision == 5
