"""A simulated machine and its worker: fencing token, lease, agent epoch and tasks."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from oakmux.core import messages
from oakmux.core.model import Heartbeat
from tests.fakes import deployment

if TYPE_CHECKING:
    from tests.fakes.simulation import Simulation


class FakeWorker:
    """One machine and its worker, which follows the protocol's rules for workers."""

    def __init__(self, sim: "Simulation", name: str, zone: str, spot: bool) -> None:
        self.sim, self.name, self.zone, self.spot = sim, name, zone, spot
        self.agent_epoch, self.sequence, self.fencing_token = 1, 0, 0
        # By task and attempt: [state, exit reason, time of the next change].
        self.tasks: dict[tuple[str, int], list] = {}
        self.controller_index = sim.rng.randrange(len(sim.labels))
        self.lease_renewed_at = sim.now
        self.dead = False
        self.images: set[str] = set()
        self.fails_tasks = False
        self.reclaim_at: float | None = None
        self.heartbeat_turn = 0  # rises with each heartbeat sent, answered or timed out
        self.early_heartbeat_at = -1e9
        self.up = False
        self.hung_since = self.hung_until = -1.0
        self.queued_messages: list[Callable[[], None]] = []  # messages that arrived during a hang

    def start(self) -> None:
        if not self.dead:
            self.up = True
            self.lease_renewed_at = self.sim.now
            self.heartbeat()

    def snapshot(self) -> Heartbeat:
        self.advance()
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.name,
            "big",
            self.zone,
            self.spot,
            self.agent_epoch,
            self.sequence,
            self.fencing_token,
            self.notice_s(),
            {k: (v[0], v[1], False) for k, v in self.tasks.items()},
        )

    def peek(self) -> Heartbeat:
        """Return the heartbeat that would be sent now, without changing the worker's state."""
        sequence, tasks = self.sequence, {key: list(row) for key, row in self.tasks.items()}
        heartbeat = self.snapshot()
        self.sequence, self.tasks = sequence, tasks
        return heartbeat

    def notice_s(self) -> float | None:
        return None if self.reclaim_at is None else max(0.0, self.reclaim_at - self.sim.now)

    def reclaim(self, seconds: float) -> None:
        """Let the cloud reclaim the machine after a notice of `seconds`."""
        self.reclaim_at = self.sim.now + seconds
        self.sim.after(seconds, lambda: self.sim.kill(self.name))

    @property
    def hung(self) -> bool:
        """Whether the machine hangs: nothing runs, but it may resume within its lease."""
        return self.sim.now < self.hung_until

    def hang(self, seconds: float) -> None:
        """Hang for `seconds`; messages are queued and tasks later continue where they stopped."""
        if self.dead or self.hung:
            return
        self.advance()
        self.hung_since, self.hung_until = self.sim.now, self.sim.now + seconds
        self.sim.after(seconds, self.resume)

    def resume(self) -> None:
        """Resume after a hang: check the lease first, then handle the queued messages."""
        if self.dead:
            return
        for row in self.tasks.values():
            row[2] += self.sim.now - self.hung_since
        self.advance()
        self.sim.check_cancelled()
        queued, self.queued_messages = self.queued_messages, []
        for run in queued:
            run()

    def run_when_awake(self, run: Callable[[], None]) -> None:
        """Run a callback now, or when the machine resumes."""
        if self.hung:
            self.queued_messages.append(run)
        else:
            run()

    @property
    def lease_expired(self) -> bool:
        """Whether the lease expired; then all tasks are killed before anything else happens."""
        return self.sim.now - self.lease_renewed_at > deployment.LEASE_S

    def advance(self) -> None:
        if self.hung:
            return
        now = self.sim.now
        if now - self.lease_renewed_at > deployment.LEASE_S:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_renewed_at = now
        for key, row in list(self.tasks.items()):
            job = self.sim.specs[key[0].partition("/")[0]]
            if row[0] == "fetching" and row[2] <= now:
                self.images.add(job.image)
                row[0], row[2] = "waiting", now + deployment.GANG_WAIT_S
                self.sim.check_place(self, key[0])
            if row[0] == "waiting":
                self.sim.start_waiting_tasks(key, row, job)
            if row[0] == "saving" and row[2] <= now:
                row[:2] = ["exited", "stopped"]
            if row[0] == "running" and row[2] <= now:
                self.sim.finish(key, row, self.fails_tasks)

    def heartbeat(self) -> None:
        """Send a heartbeat and schedule the next; answers after `ANSWER_S` are dropped."""
        if self.dead:
            return
        if self.hung:
            self.queued_messages.append(self.heartbeat)
            return
        sim, label = self.sim, self.sim.labels[self.controller_index]
        heartbeat, sent = self.snapshot(), sim.now
        self.heartbeat_turn += 1
        sent_turn = self.heartbeat_turn

        def on_answer(status: int, answer: tuple) -> None:
            if (
                self.dead
                or sent_turn != self.heartbeat_turn
                or sim.now - sent > deployment.ANSWER_S
            ):
                return
            self.heartbeat_turn += 1
            self.advance()
            previous_token = self.fencing_token
            if (
                status == 200
                and answer[0] == "orders"
                and heartbeat.agent_epoch == self.agent_epoch
            ):
                if answer[1] >= self.fencing_token:
                    self.lease_renewed_at = sent
                    self.apply_commands(answer[1], answer[2])
            elif status == 421 and answer[1] in sim.labels:
                self.controller_index = sim.labels.index(answer[1])
            elif status != 200:
                self.controller_index = (self.controller_index + 1) % len(sim.labels)
            # A higher fencing token is reported early, at most once per half lease.
            token_rose = self.fencing_token > previous_token
            early = token_rose and sim.now - self.early_heartbeat_at > deployment.LEASE_S / 2
            if early:
                self.early_heartbeat_at = sim.now
            sim.after(
                0.5 if early else deployment.REPORT_S * sim.rng.uniform(0.75, 1.25),
                self.heartbeat,
            )

        def on_timeout() -> None:
            if sent_turn == self.heartbeat_turn and not self.dead:
                self.heartbeat_turn += 1
                self.controller_index = (self.controller_index + 1) % len(sim.labels)
                sim.after(1.0, self.heartbeat)

        if self.name in sim.muted:  # no connection to any controller
            sim.after(0.01, lambda: self.run_when_awake(on_timeout))
            return
        if (
            sim.stale_heartbeat_share
            and sim.rng.random() < sim.stale_heartbeat_share
            and len(sim.stale_heartbeats) < 40
        ):
            sim.stale_heartbeats.append(heartbeat)
        if sim.late_copy_share and sim.rng.random() < sim.late_copy_share:
            # A late copy to any controller: its answer is dropped; the machine may be dead.
            other = sim.rng.choice(sim.labels)
            sim.after(
                sim.rng.uniform(0.5, 4 * deployment.LEASE_S),
                lambda: sim.command(other, messages.ReceiveHeartbeat(lambda *a: None, heartbeat)),
            )
        sim.after(deployment.ANSWER_S, lambda: self.run_when_awake(on_timeout))
        sim.deliver(
            self.name,
            label,
            lambda: sim.command(
                label,
                messages.ReceiveHeartbeat(
                    lambda *a: sim.deliver(
                        label, self.name, lambda: self.run_when_awake(lambda: on_answer(*a))
                    ),
                    heartbeat,
                ),
            ),
        )

    def receive_commands(
        self, fencing_token: int, agent_epoch: int, orders: list
    ) -> tuple[str, Heartbeat]:
        self.advance()
        if fencing_token < self.fencing_token or agent_epoch != self.agent_epoch:
            return "refused", self.snapshot()
        self.apply_commands(fencing_token, orders)
        return "ok", self.snapshot()

    def apply_commands(self, fencing_token: int, orders: list) -> None:
        self.fencing_token = max(self.fencing_token, fencing_token)
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch" and key not in self.tasks:
                self.sim.on_start(self, key)
                self.tasks[key] = ["running", "", self.sim.now + self.sim.start_run_s(key)]
                job = self.sim.specs[key[0].partition("/")[0]]
                if self.sim.simulate_fetches:
                    fetch = 0.0 if job.image in self.images else job.image_gb
                    self.tasks[key] = ["fetching", "", self.sim.now + fetch]
            elif order["verb"] == "halt" and self.tasks.get(key, [""])[0] not in ("", "exited"):
                job = self.sim.specs[key[0].partition("/")[0]]
                row, grace = self.tasks[key], order["mercy_s"]
                if row[0] == "running" and job.checkpoint_s and grace >= job.save_s > 0:
                    row[0], row[2] = "saving", self.sim.now + job.save_s
                elif row[0] != "saving" or not grace:
                    row[:2] = ["exited", "stopped"]
            elif order["verb"] == "forget" and self.tasks.get(key, [""])[0] == "exited":
                del self.tasks[key]
