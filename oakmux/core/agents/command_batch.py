"""Commands for one worker: which tasks to start, stop and forget, in order."""

from enum import StrEnum
from typing import Any, NamedTuple

from oakmux.codec.workers import command_body
from oakmux.core.machine import Task


class CommandKind(StrEnum):
    """What a command makes a worker do with one attempt at a task."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


class WorkerCommand(NamedTuple):
    """A command for one attempt at a task; only a stop has a grace period (s)."""

    kind: CommandKind
    task: Task
    grace_s: float = 0.0


class CommandBatch:
    """The commands of one request or answer, in the order in which the worker executes them.

    `term` is the fencing token that they are given under.
    """

    def __init__(self, term: int) -> None:
        self.term = term
        self.commands: list[WorkerCommand] = []

    def __bool__(self) -> bool:
        return bool(self.commands)

    def start(self, task: Task) -> None:
        """Add the start of an attempt."""
        self.commands.append(WorkerCommand(CommandKind.START, task))

    def stop(self, task: Task, grace_s: float) -> None:
        """Add a stop with a grace period (s) in which the task may save a checkpoint."""
        self.commands.append(WorkerCommand(CommandKind.STOP, task, grace_s))

    def forget(self, task: Task) -> None:
        """Add a command that removes an exited attempt from the worker's heartbeats."""
        self.commands.append(WorkerCommand(CommandKind.FORGET, task))

    def raise_term(self, term: int) -> None:
        """Give the commands under a higher term, without starts: their bindings name the lower."""
        if term > self.term:
            self.term = term
            self.commands = [
                command for command in self.commands if command.kind != CommandKind.START
            ]

    def tasks(self, kind: CommandKind) -> list[Task]:
        """Return the tasks that the commands of one kind are for."""
        return [command.task for command in self.commands if command.kind == kind]

    def bodies(self) -> list[dict[str, Any]]:
        """Return the commands in the form in which they are sent."""
        return [command_body(kind, *task, grace_s) for kind, task, grace_s in self.commands]
