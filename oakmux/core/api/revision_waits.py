"""Requests that wait for the replica to have all changes up to a revision of the store."""

from collections.abc import Callable
from typing import NamedTuple

from oakmux import constants
from oakmux.core import messages
from oakmux.core.api.answers import (
    RECORDS_NOT_CURRENT,
    TOO_MANY_REQUESTS,
    Answers,
    RequestId,
)
from oakmux.core.context import Context
from oakmux.core.state.keys import TERM_KEY

CONFLICT = 409
"""Status of a transaction whose conditions failed; the result is (revision, failed keys)."""


class _Request(NamedTuple):
    """A request, and what continues it."""

    request_id: RequestId
    resume: Callable[[], None]


class _RevisionWait(NamedTuple):
    """A request that continues once the replica has reached a revision."""

    revision: int
    deadline: float
    request: _Request


class RevisionWaits:
    """Continues requests once the watch has delivered all changes up to their revision."""

    def __init__(self, context: Context, answers: Answers) -> None:
        self.context = context
        self.answers = answers
        self.waiting: list[_RevisionWait] = []

    def add(self, revision: int, request_id: RequestId, resume: Callable[[], None]) -> None:
        """Call `resume` now or once the replica has a revision; refuse if there are too many."""
        if self.context.replica.revision >= revision:
            resume()
        elif len(self.waiting) >= constants.MAX_WAITING_REQUESTS:
            self.answers.unavailable(request_id, TOO_MANY_REQUESTS)
        else:
            deadline = self.context.now + constants.STORE_TIMEOUT_S
            self.waiting.append(_RevisionWait(revision, deadline, _Request(request_id, resume)))

    def resume_due(self) -> None:
        """Continue requests whose revision the replica has; refuse those past their deadline."""
        if not self.waiting:
            return
        waits, self.waiting = self.waiting, []
        for wait in waits:
            if self.context.replica.revision >= wait.revision:
                wait.request.resume()
            elif self.context.now > wait.deadline:
                self.answers.unavailable(wait.request.request_id, RECORDS_NOT_CURRENT)
            else:
                self.waiting.append(wait)


class CurrentRevision:
    """Continues requests once the replica has all changes made before they arrived.

    One query of the store's revision at a time serves all requests that arrived before it.
    """

    def __init__(self, context: Context, answers: Answers, waits: RevisionWaits) -> None:
        self.context = context
        self.answers = answers
        self.waits = waits
        self.queued: list[_Request] = []
        self.in_flight = False

    def wait(self, request_id: RequestId, resume: Callable[[], None]) -> None:
        """Call `resume` with current records, or refuse the request if the query fails."""
        if len(self.queued) >= constants.MAX_WAITING_REQUESTS:
            self.answers.unavailable(request_id, TOO_MANY_REQUESTS)
            return
        self.queued.append(_Request(request_id, resume))
        self._send_query()

    def _send_query(self) -> None:
        if self.in_flight or not self.queued:
            return
        batch, self.queued = self.queued, []
        self.in_flight = True
        self.context.call(
            lambda status, result: self._on_answer(batch, status, result),
            messages.Transaction,
            [(TERM_KEY, self.context.replica.term.mod_revision)],
            [],
            0,
        )

    def _on_answer(
        self, batch: list[_Request], status: int, result: tuple[int, list[str]]
    ) -> None:
        self.in_flight = False
        self._send_query()
        for request in batch:
            if status in (200, CONFLICT):
                self.waits.add(result[0], request.request_id, request.resume)
            else:
                self.answers.unavailable(request.request_id, RECORDS_NOT_CURRENT)
