"""Users who submit, cancel and query jobs and retry until they get an answer."""

from collections.abc import Callable
from typing import Any

from oakmux.core import messages
from oakmux.core.model import JobSpec
from oakmux.settings import Team
from tests.fakes.checks import ProtocolChecks
from tests.fakes.network import RequestKind


class FakeUsers(ProtocolChecks):
    """Sends users' requests to random controllers and checks each answer."""

    def __init__(self, seed: int, labels: list[str], teams: tuple[Team, ...]) -> None:
        super().__init__(seed, labels, teams)
        # Share of state changes after which all controllers are queried.
        self.query_burst_share = 0.0
        self.submitted: dict[str, float] = {}

    def command(self, label: str, command: messages.Command) -> None:
        """Hand a command to a controller."""
        raise NotImplementedError

    def submit(self, job_id: str, job: JobSpec) -> None:
        self.specs[job_id] = job
        self.submitted.setdefault(job_id, self.now)
        self._request_until_answered(
            job_id,
            lambda rid: messages.SubmitJob(rid, job_id, job, ""),
            lambda s, a: s in (200, 201, 400, 422),
        )

    def cancel(self, job_id: str) -> None:
        self.cancel_requested.add(job_id)
        self._request_until_answered(
            job_id, lambda rid: messages.CancelJob(rid, job_id), lambda s, a: s == 200
        )

    def query(self, job_id: str) -> None:
        self._request_until_answered(
            job_id, lambda rid: messages.QueryJob(rid, job_id), lambda s, a: True
        )

    def send_request(
        self, label: str, command: type[messages.Command], job_id: str, *fields: Any
    ) -> list[tuple[int, tuple]]:
        """Send one request to one controller; return the list to which answers are added."""
        answers: list[tuple[int, tuple]] = []
        previous, sent = self.reported_state.get(job_id), self.now

        def on_answer(status: int, answer: tuple) -> None:
            answers.append((status, answer))
            self.check_answer(job_id, status, answer, previous, sent)

        self.command(label, command(on_answer, job_id, *fields))
        return answers

    def on_new_state(self, job_id: str) -> None:
        if self.query_burst_share and self.rng.random() < self.query_burst_share:
            self.query_all_controllers(job_id)

    def query_all_controllers(self, job_id: str) -> None:
        """Query a job at all controllers within 20 ms after a new state was reported.

        Each controller gets two queries and one more submission; some jobs are cancelled as well.
        """
        for label in self.labels * 2:
            self.after(
                self.rng.uniform(0.001, 0.02),
                lambda label=label: self.send_request(label, messages.QueryJob, job_id),
            )
        for label in self.labels:
            self.after(
                self.rng.uniform(0.001, 0.02),
                lambda label=label: self.send_request(
                    label, messages.SubmitJob, job_id, self.specs[job_id], ""
                ),
            )
        if self.reported_state[job_id] == "accepted" and self.rng.random() < 0.25:
            self.after(self.rng.uniform(0.001, 0.02), lambda: self.cancel(job_id))

    def _request_until_answered(self, job_id: str, make: Callable, is_final: Callable) -> None:
        label = self.rng.choice(self.labels)
        state = {"open": True}
        previous, sent = self.reported_state.get(job_id), self.now

        def on_answer(status: int, answer: tuple) -> None:
            self.check_answer(job_id, status, answer, previous, sent)
            if state["open"]:
                state["open"] = False
                self.copy_later(
                    RequestKind.USER, lambda: self.command(label, make(lambda *answer: None))
                )
                if not is_final(status, answer):
                    self.after(1.0, lambda: self._request_until_answered(job_id, make, is_final))

        def retry() -> None:
            if state["open"]:
                state["open"] = False
                self.after(1.0, lambda: self._request_until_answered(job_id, make, is_final))

        self.after(5.0, retry)
        self.command(label, make(on_answer))
