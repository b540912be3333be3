"""HTTP endpoints for operators: metrics, status and readiness."""

from __future__ import annotations

import json
from typing import Any

import prometheus_client
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sapphire_aggregator.cellmember import CellMember
from sapphire_aggregator.config import ConfigStore
from sapphire_aggregator.leaves import LeafSet
from sapphire_aggregator.scheduler import LeafScheduler
from sapphire_aggregator.view import leaf_state


class Admin:
    """HTTP application that reports the state of the daemon."""

    def __init__(
        self, config: ConfigStore, cell_member: CellMember, leaves: LeafSet
    ) -> None:
        self._config = config
        self._cell_member = cell_member
        self._leaves = leaves
        self.is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has a configuration and isn't shutting down."""
        return self._config.stored is not None and not self.is_leaving

    def status(self) -> dict[str, Any]:
        """Returns the body of /v1/status."""
        cell_member = self._cell_member
        stored = self._config.stored
        document = stored.document if stored is not None else None
        return {
            "role": "aggregator",
            "failure_domain": cell_member.failure_domain,
            "revision": self._config.revision,
            "out_failure_domains": (
                document.out_failure_domains if document else []
            ),
            "out_vms": document.out_vms if document else [],
            "member": cell_member.member,
            "ready": self.is_ready,
            "leaving": self.is_leaving,
            "in_service": cell_member.is_in_service,
            "roster_revision": cell_member.roster.revision,
            "members": list(cell_member.roster.members),
            "granted": cell_member.is_granted,
            "fenced": sorted(cell_member.fenced),
            "leaves": [_leaf_status(scheduler) for scheduler in self._leaves],
        }

    def build_app(self) -> Starlette:
        """Returns the ASGI app."""
        return Starlette(
            routes=[
                Route("/metrics", self._get_metrics),
                Route("/v1/status", self._get_status),
                Route("/readyz", self._get_ready),
            ]
        )

    async def _get_metrics(self, request: Request) -> Response:
        return Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def _get_status(self, request: Request) -> Response:
        return _json(200, self.status())

    async def _get_ready(self, request: Request) -> Response:
        return _json(200 if self.is_ready else 503, {"ready": self.is_ready})


def _leaf_status(scheduler: LeafScheduler) -> dict[str, Any]:
    window = scheduler.window
    return {
        "service": scheduler.service,
        "address": scheduler.address,
        "failure_domain": scheduler.failure_domain,
        "held": scheduler.is_held,
        "out": scheduler.is_out,
        "state": leaf_state(scheduler).name.lower(),
        "running": window.running,
        "queued": scheduler.queued,
        "latency_ms": round(window.expected_s(1) * 1000, 3),
        "versions": [
            item.version
            for item in (scheduler.index.versions if scheduler.index else ())
        ],
        "calls": scheduler.dispatcher.batches,
        "queries": scheduler.dispatcher.queries,
        "failures": scheduler.dispatcher.failures,
    }


def _json(status: int, body: Any) -> Response:
    return Response(json.dumps(body), status, media_type="application/json")
