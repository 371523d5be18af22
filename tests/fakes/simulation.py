"""Controllers with fakes around them, driven step by step in simulated time.

Chance comes from one seed, so that every run repeats.
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
from oakmux.settings import SchedulingOptions, Settings, Team, UpcomingLimits
from tests.fakes import deployment
from tests.fakes.consistency import check_counts
from tests.fakes.objectives import Objectives
from tests.fakes.store import FakeStore


def make_old(core: Controller) -> None:
    """Let a controller behave as the first version does where records are concerned: it neither
    says what it can read nor takes note of the format."""
    core.leadership.format.tick = lambda: None  # type: ignore[method-assign]
    core.scheduler.buffer.strictest_value_bytes = value_limit(core.context.facts.store)
    replica, apply = core.context.replica, core.context.replica.apply

    def old_apply(key: str, value: Any, mod_revision: int) -> None:
        if key.partition("/")[2].partition("/")[0] not in ("version", "format"):
            apply(key, value, mod_revision)

    replica.apply = old_apply  # type: ignore[method-assign]


class Simulation(Objectives):
    """Controllers, fakes and the rules, checked whenever something happens."""

    def __init__(
        self,
        seed: int = 1,
        count: int = 3,
        coming: UpcomingLimits | None = None,
        old: tuple[str, ...] = (),
        parts: tuple = (),
        scheduling: SchedulingOptions | None = None,
        teams: tuple[Team, ...] = deployment.TEAMS,
        formats: int | None = None,
    ) -> None:
        labels = [f"h{i}" for i in range(count)]
        super().__init__(seed, labels, teams)
        self.parts = parts
        self.scheduling = scheduling or SchedulingOptions()
        self.coming = coming
        self.old = set(old)
        # The latest format that a controller of an earlier version knows, by its label.
        self.formats: dict[str, int] = {}
        if formats is not None:
            self.formats = {f"h{i}": formats for i in range(count)}
        self.incarnations: dict[str, int] = dict.fromkeys(labels, 0)
        self.frozen: dict[str, list[tuple]] = {}
        self.stuck: set[str] = set()  # controllers whose watch brings nothing for now
        self.late_copy_share = 0.0  # share of reports of which a copy comes much later
        # share of reports of which a copy comes to whoever next wins a role
        self.stale_heartbeat_share = 0.0
        self.stale_heartbeats: list[Heartbeat] = []
        self.late_writes = 0.0  # share of transactions carried out 2 to 12 s later, unanswered
        self.lost_answers = 0.0  # share of transactions carried out at once, unanswered
        self.recount = False
        # By who asked, its life and the peer: the life that the peer last answered with.
        self.peer_incarnations: dict[tuple[str, int, str], int] = {}
        self.state = FakeStore(self)
        self.boot_all()
        self.list_machines()

    def boot_all(self) -> None:
        for label in self.labels:
            self.boot(label)

    def boot(self, label: str) -> None:
        self.incarnations[label] += 1
        incarnation = self.incarnations[label]
        core = Controller(self.settings(label), random.Random(self.rng.random()), 0, self.parts)
        if label in self.old:
            make_old(core)
        if label in self.formats:
            core.context.replica.known_format = self.formats[label]
        self.cores[label] = core
        if not self.cloud_down:
            self.command(label, messages.UpdateMachineTypes([deployment.TYPE]))
        self.follow(label, incarnation, None)
        self.tick(label, incarnation)

    def settings(self, label: str) -> Settings:
        """Return a controller's settings."""
        conf = deployment.settings_for(
            label, len(self.labels), self.coming, tuple(self.teams.values())
        )
        return msgspec.structs.replace(conf, scheduling=self.scheduling)

    def crash(self, label: str, back: float | None = 3.0) -> None:
        self.cores[label] = None
        self.incarnations[label] += 1
        if back is not None:
            self.after(back, lambda: self.boot(label) if self.cores[label] is None else None)

    def freeze(self, label: str, seconds: float) -> None:
        """Let a controller stand still while its clock runs on; what comes waits for it."""
        self.frozen[label] = []
        self.after(seconds, lambda: self.step(label, self.frozen.pop(label)))

    def tick(self, label: str, incarnation: int) -> None:
        if self.incarnations[label] == incarnation:
            self.step(label, self.clock_commands(label))
            self.after(constants.TICK_S, lambda: self.tick(label, incarnation))

    def clock_commands(self, label: str) -> list[messages.Command]:
        """Return what a controller hears of the time of day at a tick."""
        return []

    def follow(self, label: str, incarnation: int, since: int | None) -> None:
        """Stand in for the watch: news every 20 ms while the state service can be reached."""
        if self.incarnations[label] != incarnation:
            return
        state, asked = self.state, self.now
        if not (
            state.down or label in state.refused or self.cut(label, "state") or label in self.stuck
        ):
            state.expire()
            if since is None:
                rows = [(k, v[0], v[1]) for k, v in state.rows.items()]
                self.command(label, messages.LoadSnapshot(rows, state.revision, asked))
            else:
                start = len(state.log)
                while start and state.log[start - 1][2] > since:
                    start -= 1
                events = state.log[start:]
                self.command(label, messages.ApplyWatchEvents(events, state.revision, asked))
            since = state.revision
        late = self.rng.uniform(0.0, self.state_slow) if self.state_slow else 0.0
        self.after(0.02 + late, lambda: self.follow(label, incarnation, since))

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
        if self.recount:
            check_counts(core)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if isinstance(effect, messages.Answer):
            if effect.status == 200 and effect.body[0] == "orders":
                self.check_start_commands(label, effect.body[2])
            effect.request(effect.status, effect.body)
            return
        if isinstance(effect, messages.SendToPeer):
            self.send(label, incarnation, effect.controller_id, effect.message)
            return

        def done(value: tuple) -> None:
            if self.incarnations[label] == incarnation:
                self.command(label, messages.OperationDone(effect.operation, *value))

        if isinstance(effect, messages.SendWorkerCommands):
            addr, commands = effect.addr, effect.commands
            self.check_start_commands(label, commands)
            worker = self.workers.get(addr)
            if worker is not None:
                self.ask(
                    label,
                    addr,
                    lambda: (
                        worker.orders(effect.fencing_token, effect.agent_epoch, commands)
                        if not worker.dead
                        else ("lost", None)
                    ),
                    done,
                    ("lost", None),
                    2.0,
                    worker.run_when_awake,
                )
        elif isinstance(effect, messages.CloudOperation):
            self.ask(label, "cloud", lambda: self.cloud(effect), done, (0, None), 5.0)
        else:
            self.to_state(label, effect, done)

    def to_state(
        self, label: str, effect: messages.StoreOperation, done: Callable[[tuple], None]
    ) -> None:
        """Carry an operation to the state service; some are carried out late and unanswered."""

        def serve() -> tuple[int, Any]:
            return self.state.serve(label, effect)

        transaction = isinstance(effect, messages.Transaction)
        if transaction and self.late_writes and self.rng.random() < self.late_writes:
            self.after(self.rng.uniform(2.0, 12.0), serve)
            self.after(constants.STORE_TIMEOUT_S, lambda: done((0, None)))
        elif transaction and self.lost_answers and self.rng.random() < self.lost_answers:
            self.after(self.delay(), serve)
            self.after(constants.STORE_TIMEOUT_S, lambda: done((0, None)))
        else:
            self.ask(label, "state", serve, done, (0, None), constants.STORE_TIMEOUT_S)

    def send(self, label: str, incarnation: int, peer: str, message: PeerMessage) -> None:
        asked, mine = self.now, self.cores[label]
        since = mine.agents.cancellations.revision if mine is not None else -1

        def serve() -> Any:
            if self.cores.get(peer) is None:
                return None
            box: list[tuple] = []
            self.command(
                peer,
                messages.ReceivePeerMessages(
                    lambda *a: box.append(a),
                    label,
                    [decode_message(encode_message(message))],
                    since,
                ),
            )
            return box[0][1] if box else None

        def done(word: Any) -> None:
            if self.incarnations[label] != incarnation:
                return
            if word is None:
                if isinstance(message, MachineView):
                    self.after(
                        0.5,
                        lambda: (
                            self.incarnations[label] == incarnation
                            and self.command(label, messages.ResendViews(peer, [message.machine]))
                        ),
                    )
                return
            new = self.peer_incarnations.get((label, incarnation, peer)) != word[2]
            self.peer_incarnations[(label, incarnation, peer)] = word[2]
            self.command(
                label, messages.PeerAnswered(peer, word[2], word[3], word[4], asked, word[5])
            )
            if new:
                self.command(label, messages.PeerRestarted(peer))

        self.ask(label, peer, serve, done, None, 2.0)

    def written(self, key: str, value: Any) -> None:
        """The state service wrote a key: of a role, its holder gets the reports kept for it."""
        if key.startswith("ox/own/"):
            heartbeats, self.stale_heartbeats = self.stale_heartbeats, []
            for heartbeat in heartbeats:
                self.after(
                    self.rng.uniform(0.0, 1.0),
                    lambda heartbeat=heartbeat: self.command(
                        value[0], messages.ReceiveHeartbeat(lambda *a: None, heartbeat)
                    ),
                )

    def list_machines(self) -> None:
        """Let the cloud's list go on, twice a second, and look for cancelled tasks."""
        self.record_machines()
        self.check_cancelled()
        self.after(0.5, self.list_machines)
