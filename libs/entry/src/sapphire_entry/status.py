"""The status document of an entry."""

from __future__ import annotations

from typing import Any

import trio
from sapphire_core.shardmap import Replica

from sapphire_entry.entry import Entry


def status(entry: Entry) -> dict[str, Any]:
    """Returns the state of the entry as JSON fields."""
    return {
        "role": "entry",
        "failure_domain": entry.settings.failure_domain,
        **_config(entry),
        "address": entry.address,
        "vm": entry.settings.vm,
        "phase": entry.lifecycle.phase.value,
        "running": entry.admission.running,
        "hedge_tokens": round(entry.budget.tokens, 3),
        "suspects": entry.crash_tracker.suspect_count(trio.current_time()),
        "aggregators": _aggregators(entry),
        "entries": [
            {
                "address": record.address,
                "failure_domain": record.failure_domain,
                "ready": record.ready,
            }
            for record in entry.aggregator_pool.entries().values()
        ],
        "services": {
            name: _service(entry, name)
            for name in entry.aggregator_pool.table.services()
        },
    }


def _config(entry: Entry) -> dict[str, Any]:
    current = entry.config.current
    if current is None:
        return {"revision": 0, "out_failure_domains": [], "out_vms": []}
    return {
        "revision": current.revision,
        "out_failure_domains": current.document.out_failure_domains,
        "out_vms": current.document.out_vms,
    }


def _aggregators(entry: Entry) -> list[dict[str, Any]]:
    now = trio.current_time()
    return [
        {
            "address": address,
            "reached": aggregator.is_reachable,
            "leaving": aggregator.is_leaving,
            "config_revision": aggregator.config_revision,
            "last_reply_ms": round((now - aggregator.last_reply) * 1000),
        }
        for address, aggregator in sorted(
            entry.aggregator_pool.aggregators.items()
        )
    ]


def _service(entry: Entry, name: str) -> dict[str, Any]:
    table = entry.aggregator_pool.table
    shard_map = table.shard_map(name)
    return {
        "version": shard_map.version if shard_map else None,
        "whole": shard_map.is_complete if shard_map else False,
        "shards": len(shard_map.shards) if shard_map else 0,
        "shards_served": shard_map.served_count if shard_map else 0,
        "documents": sum(shard_map.documents) if shard_map else 0,
        "hedge_after_ms": round(entry.searcher.quantile(name).value_ms, 3),
        "leaves": [
            _leaf(replica)
            for _, replica in sorted(table.replicas(name).items())
        ],
    }


def _leaf(replica: Replica) -> dict[str, Any]:
    return {
        "address": replica.address,
        "holder": replica.holder,
        "failure_domain": replica.failure_domain,
        "state": replica.state.name.lower(),
        "in_service": replica.in_service,
        "latency_ms": round(replica.latency_ms, 3),
        "queued": replica.queued,
        "versions": [
            {"version": held.version, "shard": held.shard}
            for held in replica.versions
        ],
    }
