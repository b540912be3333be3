"""Tests of the views that are sent to entries."""

import types

import trio
from sapphire_aggregator.announcements import RETENTION_S
from sapphire_aggregator.view import DIGEST_INTERVAL_S, ViewHandler
from sapphire_core.window import CallOutcome
from sapphire_wire.gen.ttypes import EntryRecord, LeafState, View
from trio.testing import MockClock

from .fakes import FakeClient, make_context, make_scheduler


def test_sequence_changes_only_with_the_content():
    """Guards against a full view in each reply, and against outdated ones."""

    async def main():
        async with trio.open_nursery() as nursery:
            context = make_context(nursery)
            scheduler = make_scheduler(context, FakeClient())
            cell_member = types.SimpleNamespace(
                member="m",
                config_revision=1,
                member_addresses=["m"],
                is_in_service=True,
            )
            handler = ViewHandler([scheduler], cell_member, context.quarantine)
            known = 0
            seen = []

            async def ask():
                nonlocal known
                await trio.sleep(2 * DIGEST_INTERVAL_S)
                reply = handler.run(View(known=known, config_revision=1))
                known = reply.sequence
                assert bool(reply.leaves) == reply.changed
                seen.append(reply)
                return reply.changed

            assert await ask()
            assert not await ask()
            await scheduler.poll()
            assert await ask()
            assert seen[-1].leaves[0].versions[0].version == "v1"
            assert not await ask()
            context.quarantine.record_crash(
                "f", trio.current_time(), alone=True
            )
            assert await ask()
            scheduler.window.observe(
                CallOutcome.UNREACHABLE, trio.current_time()
            )
            assert await ask()
            assert seen[-1].leaves[0].state == LeafState.DOWN
            assert not seen[-1].leaves[0].versions
            assert not await ask()
            handler.is_leaving = True
            assert await ask()
            assert seen[-1].leaving

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_announced_entries_are_sent_to_every_entry():
    """Guards against lists that contain only the requesting entry."""

    async def main():
        async with trio.open_nursery() as nursery:
            context = make_context(nursery)
            cell_member = types.SimpleNamespace(
                member="m",
                config_revision=1,
                member_addresses=["m"],
                is_in_service=True,
            )
            handler = ViewHandler([], cell_member, context.quarantine)

            def ask(address, known=None):
                entry = EntryRecord(address=address, ready=True, stamp=1)
                view = View(known=0, entry=entry, known_entries=known)
                return handler.run(view)

            ask("a")
            reply = ask("b")
            assert [r.address for r in reply.entries] == ["a", "b"]
            again = ask("a", reply.entries_sequence)
            assert again.entries is None
            assert again.entries_sequence == reply.entries_sequence
            await trio.sleep(RETENTION_S)
            later = ask("a", reply.entries_sequence)
            assert [r.address for r in later.entries] == ["a"]

    trio.run(main, clock=MockClock(autojump_threshold=0))
