"""Log of the commands sent to workers: by which way, under which term, on which knowledge."""

from collections import Counter

from oakmux import constants
from oakmux.core.agents.command_batch import CommandBatch, CommandKind
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.model import CommandOutcome, Heartbeat
from oakmux.logs import event

DIRECT = "direct"
ANSWER = "answer"

# Field of each kind of command in log events.
_FIELDS = {
    CommandKind.START: "starts",
    CommandKind.STOP: "stops",
    CommandKind.FORGET: "forgets",
}


def _listed(tasks: list[Task]) -> str:
    """Return attempts as text: `job-1/0@2,...`, with the number of those left out."""
    shown = ",".join(f"{task}@{attempt}" for task, attempt in tasks[: constants.LOG_TASKS])
    left_out = len(tasks) - constants.LOG_TASKS
    return f"{shown},+{left_out}" if left_out > 0 else shown


class CommandLog:
    """Logs each batch of commands, and counts of heartbeats and commands every few seconds."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.counts: Counter[str] = Counter()
        self.next_summary_at = 0.0

    def sent(self, machine: Machine, way: str, batch: CommandBatch) -> None:
        """Log commands that are sent to a worker, and the state that they were decided on."""
        context = self.context
        if not batch:
            return
        tasks = {field: batch.tasks(kind) for kind, field in _FIELDS.items()}
        for field, listed in tasks.items():
            self.counts[f"{field}_{way}"] += len(listed)
        event(
            "worker_commands",
            machine=machine.name,
            way=way,
            term=batch.term,
            agent_epoch=machine.agent_epoch,
            shown_term=machine.fencing_token,
            sequence=machine.sequence,
            revision=context.replica.revision,
            store_age_s=round(context.now - context.store_seen_at, 2),
            **{field: _listed(listed) for field, listed in tasks.items() if listed},
        )

    def answered(
        self, name: str, term: int, outcome: CommandOutcome, heartbeat: Heartbeat | None
    ) -> None:
        """Log the outcome of a direct request, and the heartbeat that it was answered with."""
        self.counts[f"direct_{outcome}"] += 1
        shown = {}
        if heartbeat is not None:
            shown = {
                "agent_epoch": heartbeat.agent_epoch,
                "shown_term": heartbeat.fencing_token,
                "sequence": heartbeat.sequence,
            }
        event("worker_commands_done", machine=name, term=term, outcome=outcome, **shown)

    def heartbeat(self, answer: str) -> None:
        """Count a heartbeat by how it was answered: `heartbeats_own_term` and so on."""
        self.counts[answer] += 1

    def tick(self) -> None:
        """Log the counts since the last time, at most every WORKER_TRAFFIC_LOG_S."""
        context = self.context
        if context.now < self.next_summary_at:
            return
        self.next_summary_at = context.now + constants.WORKER_TRAFFIC_LOG_S
        if not self.counts:
            return
        event(
            "worker_traffic",
            term=context.term,
            revision=context.replica.revision,
            store_age_s=round(context.now - context.store_seen_at, 2),
            **dict(sorted(self.counts.items())),
        )
        self.counts.clear()
