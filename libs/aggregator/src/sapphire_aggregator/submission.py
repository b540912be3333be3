"""Execution of submissions: at most one call to the leaf, never retried."""

from __future__ import annotations

import json
from typing import Any

import trio
from sapphire_core.errors import SapphireError
from sapphire_wire.gen.ttypes import Submit, SubmitReply

from sapphire_aggregator import log, metrics
from sapphire_aggregator.errormap import RightLostError
from sapphire_aggregator.leaves import LeafSet

NOT_HOLDER = "not_holder"
LEAVING = "leaving"


class SubmitHandler:
    """Runs submissions on the leaves of this daemon."""

    def __init__(self, leaves: LeafSet) -> None:
        self._leaves = leaves
        self.is_leaving = False

    async def run(self, submit: Submit) -> SubmitReply:
        """Runs one submission.

        The call is not cancelled with the request of the entry, since its
        outcome would then be unknown. It ends at the deadline.
        """
        with trio.CancelScope(shield=True):
            reply = await self._run(submit)
        metrics.SUBMISSIONS.labels(_outcome(reply)).inc()
        return reply

    async def _run(self, submit: Submit) -> SubmitReply:
        scheduler = self._leaves.find(submit.service_name, submit.leaf)
        if self.is_leaving:
            return _unsent(LEAVING)
        if scheduler is None or not scheduler.is_held:
            return _unsent(NOT_HOLDER)
        deadline = trio.current_time() + submit.remaining_ms / 1000
        send_calls: list[bool] = []
        try:
            answer = await scheduler.submit(
                submit.key,
                submit.body,
                deadline,
                on_send=lambda: send_calls.append(True),
            )
        except Exception as error:
            return _failed(error, send_started=bool(send_calls))
        return SubmitReply(
            sent=True, known=True, outcome=json.dumps(answer), reason=""
        )


def _failed(error: Exception, *, send_started: bool) -> SubmitReply:
    reason = error.kind if isinstance(error, SapphireError) else "internal"
    if isinstance(error, RightLostError):
        reason = NOT_HOLDER
    elif not isinstance(error, SapphireError):
        metrics.UNEXPECTED_ERRORS.labels("submit").inc()
        log.unexpected_error("submit", error)
    if not send_started or reason == "leaf_unreachable":
        return _unsent(reason)
    return SubmitReply(sent=True, known=False, outcome="", reason=reason)


def _unsent(reason: str) -> SubmitReply:
    return SubmitReply(sent=False, known=False, outcome="", reason=reason)


def _outcome(reply: Any) -> str:
    if reply.known:
        return "known"
    return "unknown" if reply.sent else "not_sent"
