"""Replication of machines' state: each machine's manager sends its heartbeats to the peers.

Owners of teams and of the fleet plan with the views of all managers. A peer can't use the capacity
of a machine whose view it lacks.
"""

import bisect
import math
from collections.abc import Sequence

from oakmux import constants
from oakmux.core.agents.heartbeats import HeartbeatHandler, apply_heartbeat, record_image_use
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.messages import PeerRestarted, ResendViews
from oakmux.core.model import Heartbeat
from oakmux.core.peer_messages import MachinesAlive, MachineView


class MachineViews:
    """Sends views of the machines that report to this controller; receives those of peers."""

    def __init__(self, context: Context, heartbeats: HeartbeatHandler) -> None:
        self.context = context
        self.heartbeats = heartbeats
        self.peers = [member.controller_id for member in context.settings.peers]
        # The machine whose view was resent last; resending continues with the next name.
        self.last_resent = ""

    def send(self, name: str, peers: Sequence[str], with_images: bool = False) -> None:
        """Send the view of a machine to some peers, if it reports to this controller."""
        context = self.context
        machine = context.machines.get(name)
        if machine is None or machine.manager != context.controller_id:
            return
        view = self._view(machine, with_images)
        for peer in peers:
            context.send(peer, view)

    def _view(self, machine: Machine, with_images: bool) -> MachineView:
        notice_s = None
        if machine.notice_at is not None:
            notice_s = max(0.0, machine.notice_at - self.context.now)
        tasks = self.heartbeats.visible_tasks(machine)
        return MachineView(
            machine.manager_term,
            machine.name,
            machine.addr,
            machine.type,
            machine.zone,
            machine.spot,
            machine.agent_epoch,
            machine.sequence,
            machine.fencing_token,
            notice_s,
            [[*task, *state] for task, state in tasks.items()],
            list(machine.images.items()) if with_images else [],
        )

    def send_to_all(self, name: str) -> None:
        """Send the view of a machine to all peers, if it reports to this controller."""
        self.send(name, self.peers)

    def send_all(self, command: PeerRestarted) -> None:
        """Send a restarted peer the views of all machines that report to this controller."""
        for machine in self.context.machines.values():
            if machine.manager == self.context.controller_id:
                self.send(machine.name, [command.controller_id], with_images=True)

    def resend(self, command: ResendViews) -> None:
        """Resend views that may have been lost on the way to a peer."""
        for name in command.machines:
            self.send(name, [command.controller_id])

    def announce_alive(self) -> None:
        """Send the peers the machines with recent heartbeats; resend some of the views."""
        context = self.context
        recent_s = 2 * constants.PEER_HEARTBEAT_S + context.facts.workers.heartbeat_interval_s
        alive = [
            machine.name
            for machine in context.machines.values()
            if machine.manager == context.controller_id
            and context.now - machine.last_heartbeat_at < recent_s
        ]
        message = MachinesAlive(alive)
        for peer in self.peers:
            context.send(peer, message)
        self._resend_next(sorted(alive))

    def _resend_next(self, names: list[str]) -> None:
        """Resend some views, round-robin, even if nothing changed.

        A machine may briefly report to a peer before this controller has any state of it. Without
        resent views, that peer would keep assuming that the machine does not receive answers, and
        never use its capacity.
        """
        count = math.ceil(len(names) * constants.PEER_HEARTBEAT_S / constants.VIEW_RESEND_S)
        first = bisect.bisect_right(names, self.last_resent)
        chosen = names[first : first + count]
        for name in chosen:
            self.send_to_all(name)
        self.last_resent = chosen[-1] if len(chosen) == count and chosen else ""

    def receive_alive(self, sender: str, message: MachinesAlive) -> None:
        """Note that machines recently reported to a peer."""
        for name in message.machines:
            machine = self.context.machines.get(name)
            if machine is not None and machine.manager == sender:
                self.context.note_heartbeat(machine)

    def receive_view(self, sender: str, view: MachineView) -> None:
        """Apply a peer's view of a machine unless it is older than the known state."""
        context = self.context
        machine = context.machines.get(view.machine)
        if machine is not None:
            version = (view.agent_epoch, view.sequence)
            newer = version > machine.version
            same = version == machine.version and machine.manager == sender
            if not newer and not same:
                return
        elif (
            view.machine in context.replica.terminated_machines
            or view.machine in context.terminated
        ):
            return
        heartbeat = Heartbeat(
            view.machine,
            view.addr,
            view.type,
            view.zone,
            view.spot,
            view.agent_epoch,
            view.sequence,
            view.fencing_token,
            view.notice_s,
            {(task[0], task[1]): (task[2], task[3], task[4]) for task in view.tasks},
        )
        shows_term = 0 < view.term == view.fencing_token
        apply_heartbeat(context, heartbeat, sender, view.term, shows_term)
        for image, size_gb in view.images:
            record_image_use(context, context.machines[view.machine], image, size_gb)
