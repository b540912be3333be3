"""The aggregator daemon: starts and stops its parts."""

from __future__ import annotations

import itertools
from typing import Any

import trio
from sapphire_config.document import StoredDocument, parse
from sapphire_config.settings import AggregatorSettings
from sapphire_core.errors import LeafError
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import Frame, Part, ShardResult, ShardStatus
from sapphire_wire.leaf import LeafClient, LeafQuery
from sapphire_wire.platform import PlatformClient


def main(settings: AggregatorSettings) -> None:
    """Runs the daemon."""
    trio.run(_run, settings)


async def _run(settings: AggregatorSettings) -> None:
    platform = PlatformClient(settings.platform, settings.vm_list)
    item = await platform.get("config")
    document = parse(StoredDocument, item.value).document
    clients = {
        (service.name, leaf.address): LeafClient(
            leaf.address, service.leaf.slots + 2
        )
        for service in document.services
        for leaf in service.leaves
    }
    ids = itertools.count(1)

    async def handle(frame: Any, reply: channel.Reply) -> None:
        scatter = frame.scatter
        if scatter is None:
            return
        deadline = trio.current_time() + scatter.remaining_ms / 1000
        results: list[Any] = []
        matches: list[Any] = []

        async def ask(target: Any) -> None:
            result = ShardResult(
                shard=target.shard,
                leaf=target.leaf,
                status=ShardStatus.FAILED,
                documents=0,
                leaf_ms=0.0,
                wait_ms=0.0,
            )
            results.append(result)
            client = clients[(scatter.service_name, target.leaf)]
            try:
                answer = await client.search(
                    f"b{next(ids)}",
                    scatter.version,
                    target.shard,
                    [LeafQuery("0", scatter.text, scatter.k)],
                    remaining=lambda: deadline - trio.current_time(),
                )
            except LeafError:
                return
            result.status = ShardStatus.OK
            result.documents = answer.documents
            matches.extend(answer.matches[0])

        async with trio.open_nursery() as nursery:
            for target in scatter.targets:
                nursery.start_soon(ask, target)
        matches.sort(key=lambda m: (-m.score, m.document))
        part = Part(results=results, matches=matches[: scatter.k], last=True)
        reply(Frame(part=part))

    host, _, port = settings.frames.rpartition(":")
    async with trio.open_nursery() as nursery:
        await nursery.start(channel.serve, handle, host, int(port))
