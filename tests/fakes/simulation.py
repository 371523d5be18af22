"""Controllers and fakes, driven step by step in simulated time.

All randomness comes from one seed, so that every run is repeatable.
"""

import random
from collections.abc import Callable
from typing import Any

import msgspec

from oakmux import constants
from oakmux.codec.peers import decode_message, encode_message
from oakmux.core import messages
from oakmux.core.controller import Controller
from oakmux.core.model import Heartbeat
from oakmux.core.peer_messages import MachineView, PeerMessage
from oakmux.core.state.formats import value_limit
from oakmux.settings import SchedulingOptions, Settings, StoreLimits, Team, UpcomingLimits
from tests.fakes import deployment
from tests.fakes.consistency import check_counts, check_no_exception, check_unsettled_records
from tests.fakes.network import RequestKind
from tests.fakes.objectives import Objectives
from tests.fakes.store import FakeStore
from tests.fakes.worker import FakeWorker


def behave_as_first_version(core: Controller) -> None:
    """Make a controller handle records as the first version does.

    It neither records the formats that it can read nor follows the record format of the cluster.
    """
    core.leadership.format.tick = lambda: None  # type: ignore[method-assign]
    core.scheduler.buffer.strictest_value_bytes = value_limit(core.context.facts.store)
    replica, apply = core.context.replica, core.context.replica.apply

    def apply_known_records(key: str, value: Any, mod_revision: int) -> None:
        if key.partition("/")[2].partition("/")[0] not in ("version", "format"):
            apply(key, value, mod_revision)

    replica.apply = apply_known_records  # type: ignore[method-assign]


def use_single_terms(core: Controller) -> None:
    """Make a controller command and forget as the version before ranges of terms does."""
    context = core.context
    context.range_end = lambda first_term: first_term  # type: ignore[method-assign]
    core.agents.terms.for_forgets = (  # type: ignore[method-assign]
        lambda tracked, machine, exited, start_pending: context.term
    )


class Simulation(Objectives):
    """Controllers with all fakes; the protocol rules are checked at every event."""

    def __init__(
        self,
        seed: int = 1,
        count: int = 3,
        upcoming_limits: UpcomingLimits | None = None,
        first_version: tuple[str, ...] = (),
        subsystems: tuple = (),
        scheduling: SchedulingOptions | None = None,
        teams: tuple[Team, ...] = deployment.TEAMS,
        known_format: int | None = None,
        single_terms: tuple[str, ...] = (),
        store_limits: StoreLimits = deployment.STORE_LIMITS,
    ) -> None:
        labels = [f"h{i}" for i in range(count)]
        super().__init__(seed, labels, teams)
        self.subsystems = subsystems
        self.scheduling = scheduling or SchedulingOptions()
        self.upcoming_limits = upcoming_limits
        self.store_limits = store_limits
        self.first_version = set(first_version)
        # Controllers of a version that has one term for all workers.
        self.single_terms = set(single_terms)
        # By label of a controller of an earlier version: the latest format that it can read.
        self.known_formats: dict[str, int] = {}
        if known_format is not None:
            self.known_formats = {f"h{i}": known_format for i in range(count)}
        self.incarnations: dict[str, int] = dict.fromkeys(labels, 0)
        self.frozen: dict[str, list[tuple]] = {}
        self.stalled_watches: set[str] = set()  # controllers whose watch delivers no events
        self.late_copy_share = 0.0  # share of heartbeats of which a copy arrives much later
        # Share of heartbeats of which a copy is delivered to the next controller that wins a role.
        self.stale_heartbeat_share = 0.0
        self.stale_heartbeats: list[Heartbeat] = []
        # Shares of transactions that get no answer: carried out 2 to 12 s later, or at once.
        self.late_write_share = 0.0
        self.lost_answer_share = 0.0
        self.verify_counts = False
        # Whether controllers may log exceptions: only where a test raises them on purpose.
        self.expects_exceptions = False
        # Direct commands that a worker carried out and answered.
        self.answered_commands: list[tuple[FakeWorker, messages.SendWorkerCommands]] = []
        # By sender, its incarnation and the peer: the incarnation in the peer's last answer.
        self.peer_incarnations: dict[tuple[str, int, str], int] = {}
        self.store = FakeStore(self)
        self.boot_all()
        self.tick_environment()

    def boot_all(self) -> None:
        for label in self.labels:
            self.boot(label)

    def boot(self, label: str) -> None:
        self.incarnations[label] += 1
        incarnation = self.incarnations[label]
        core = Controller(
            self.settings(label), random.Random(self.rng.random()), 0, self.subsystems
        )
        if label in self.first_version:
            behave_as_first_version(core)
        if label in self.single_terms:
            use_single_terms(core)
        if label in self.known_formats:
            core.context.replica.known_format = self.known_formats[label]
        self.cores[label] = core
        if not self.cloud_down:
            self.command(label, messages.UpdateMachineTypes([deployment.TYPE]))
        self.poll_watch(label, incarnation, None)
        self.tick(label, incarnation)

    def settings(self, label: str) -> Settings:
        """Return a controller's settings."""
        settings = deployment.settings_for(
            label,
            len(self.labels),
            self.upcoming_limits,
            tuple(self.teams.values()),
            self.store_limits,
        )
        return msgspec.structs.replace(settings, scheduling=self.scheduling)

    def crash(self, label: str, restart_s: float | None = 3.0) -> None:
        self.cores[label] = None
        self.incarnations[label] += 1
        if restart_s is not None:
            self.after(restart_s, lambda: self.boot(label) if self.cores[label] is None else None)

    def freeze(self, label: str, seconds: float) -> None:
        """Freeze a controller while time passes; commands to it are queued until it resumes."""
        self.frozen[label] = []
        self.after(seconds, lambda: self.step(label, self.frozen.pop(label)))

    def tick(self, label: str, incarnation: int) -> None:
        if self.incarnations[label] == incarnation:
            self.step(label, self.clock_commands(label))
            self.after(constants.TICK_S, lambda: self.tick(label, incarnation))

    def clock_commands(self, label: str) -> list[messages.Command]:
        """Return the commands with the time of day that a controller receives at a tick."""
        return []

    def poll_watch(self, label: str, incarnation: int, since: int | None) -> None:
        """Simulate the watch: deliver events every 20 ms while the store is reachable."""
        if self.incarnations[label] != incarnation:
            return
        store, sent_at = self.store, self.now
        if not (
            store.down
            or label in store.refused
            or self.is_cut(label, "state")
            or label in self.stalled_watches
        ):
            store.expire()
            if since is None:
                rows = [(k, v[0], v[1]) for k, v in store.rows.items()]
                self.command(label, messages.LoadSnapshot(rows, store.revision, sent_at))
            else:
                start = len(store.log)
                while start and store.log[start - 1][2] > since:
                    start -= 1
                events = store.log[start:]
                self.command(label, messages.ApplyWatchEvents(events, store.revision, sent_at))
            since = store.revision
        delay = self.rng.uniform(0.0, self.store_delay_s) if self.store_delay_s else 0.0
        self.after(0.02 + delay, lambda: self.poll_watch(label, incarnation, since))

    def command(self, label: str, command: messages.Command) -> None:
        self.step(label, [command])

    def step(self, label: str, commands: list[messages.Command]) -> None:
        core, incarnation = self.cores[label], self.incarnations[label]
        if core is None:
            return
        if label in self.frozen:
            self.frozen[label] += commands
            return
        for effect in core.step(self.now, commands):
            self.carry_out(label, incarnation, effect)
        check_no_exception(self.expects_exceptions)
        check_unsettled_records(core)
        if self.verify_counts:
            check_counts(core)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if isinstance(effect, messages.Answer):
            if effect.status == 200 and effect.body[0] == "orders":
                self.check_start_commands(label, effect.body[2])
            effect.request(effect.status, effect.body)
            return
        if isinstance(effect, messages.SendToPeer):
            self.send_to_peer(label, incarnation, effect.controller_id, effect.message)
            return

        def complete(value: tuple) -> None:
            if self.incarnations[label] == incarnation:
                self.command(label, messages.OperationDone(effect.operation, *value))

        if isinstance(effect, messages.SendWorkerCommands):
            addr, commands = effect.addr, effect.commands
            self.check_start_commands(label, commands)
            worker = self.workers.get(addr)
            if worker is not None:

                def commands_answered(value: tuple) -> None:
                    if value[0] == "ok":
                        self.answered_commands.append((worker, effect))
                    complete(value)

                self.call(
                    label,
                    addr,
                    lambda: (
                        worker.receive_commands(effect.fencing_token, effect.agent_epoch, commands)
                        if not worker.dead
                        else ("lost", None)
                    ),
                    commands_answered,
                    ("lost", None),
                    2.0,
                    RequestKind.WORKER,
                    worker.run_when_awake,
                )
        elif isinstance(effect, messages.CloudOperation):
            self.call(
                label,
                "cloud",
                lambda: self.cloud(effect),
                complete,
                (0, None),
                5.0,
                RequestKind.CLOUD,
            )
        else:
            self.send_to_store(label, effect, complete)

    def repeat_answered_commands(self) -> None:
        """Deliver a copy of each direct command that was carried out and answered."""
        for worker, effect in self.answered_commands:
            if not worker.dead:
                worker.run_when_awake(
                    lambda worker=worker, effect=effect: worker.receive_commands(
                        effect.fencing_token, effect.agent_epoch, effect.commands
                    )
                )

    def send_to_store(
        self, label: str, effect: messages.StoreOperation, complete: Callable[[tuple], None]
    ) -> None:
        """Send an operation to the store; some transactions run late and get no answer."""

        def serve() -> tuple[int, Any]:
            return self.store.serve(label, effect)

        transaction = isinstance(effect, messages.Transaction)
        if transaction and self.late_write_share and self.rng.random() < self.late_write_share:
            self.after(self.rng.uniform(2.0, 12.0), serve)
            self.after(constants.STORE_TIMEOUT_S, lambda: complete((0, None)))
        elif transaction and self.lost_answer_share and self.rng.random() < self.lost_answer_share:
            self.after(self.delay(), serve)
            # The sender notices when its connection is closed, or by the timeout.
            noticed_s = self.rng.choice([0.02, 0.3, constants.STORE_TIMEOUT_S])
            self.after(noticed_s, lambda: complete((0, None)))
        else:
            self.call(
                label,
                "state",
                serve,
                complete,
                (0, None),
                constants.STORE_TIMEOUT_S,
                RequestKind.STORE,
            )

    def send_to_peer(self, label: str, incarnation: int, peer: str, message: PeerMessage) -> None:
        sent_at, sender = self.now, self.cores[label]
        since = sender.agents.cancellations.revision if sender is not None else -1

        def serve() -> Any:
            if self.cores.get(peer) is None:
                return None
            answers: list[tuple] = []
            self.command(
                peer,
                messages.ReceivePeerMessages(
                    lambda *a: answers.append(a),
                    label,
                    [decode_message(encode_message(message))],
                    since,
                ),
            )
            return answers[0][1] if answers else None

        def complete(answer: Any) -> None:
            if self.incarnations[label] != incarnation:
                return
            if answer is None:
                if isinstance(message, MachineView):
                    self.after(
                        0.5,
                        lambda: (
                            self.incarnations[label] == incarnation
                            and self.command(label, messages.ResendViews(peer, [message.machine]))
                        ),
                    )
                return
            restarted = self.peer_incarnations.get((label, incarnation, peer)) != answer[2]
            self.peer_incarnations[(label, incarnation, peer)] = answer[2]
            self.command(
                label,
                messages.PeerAnswered(peer, answer[2], answer[3], answer[4], sent_at, answer[5]),
            )
            if restarted:
                self.command(label, messages.PeerRestarted(peer))

        self.call(label, peer, serve, complete, None, 2.0, RequestKind.PEER)

    def on_write(self, key: str, value: Any) -> None:
        """Called when the store writes a key; a new role holder gets the stale heartbeats."""
        if key.startswith("ox/own/"):
            heartbeats, self.stale_heartbeats = self.stale_heartbeats, []
            for heartbeat in heartbeats:
                self.after(
                    self.rng.uniform(0.0, 1.0),
                    lambda heartbeat=heartbeat: self.command(
                        value[0], messages.ReceiveHeartbeat(lambda *a: None, heartbeat)
                    ),
                )

    def tick_environment(self) -> None:
        """Record the cloud's machine list and check cancelled tasks, twice a second."""
        self.record_machines()
        self.check_cancelled()
        self.after(0.5, self.tick_environment)
