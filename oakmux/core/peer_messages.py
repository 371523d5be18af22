"""Messages between controllers.

Each has a tag, its first element on the wire; the others are its fields in order
(`oakmux.codec.peers`). Earlier and later versions read them, so fields are only added at the end,
with a default.
"""

from typing import Any, ClassVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """A message from one controller to another."""

    TAG: ClassVar[str]


# --- what managers of machines tell all peers ----------------------------------------------------


class MachinesAlive(PeerMessage, frozen=True):
    """The sender had recent heartbeats of these machines."""

    TAG = "heard"
    machines: list[str]


class MachineView(PeerMessage, frozen=True):
    """What a machine's last heartbeat to the sender, its manager, said.

    `term` is the sender's. `tasks` are [task, attempt, state, reason, saved]; `images`, as
    [image, GB], is empty unless the receiver has just started.
    """

    TAG = "view"
    term: int
    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    notice_s: float | None
    tasks: list[Any]
    images: list[Any]


# --- reservations and offers between a team's owner and the managers of machines -----------------


class Reserve(PeerMessage, frozen=True):
    """The owner asks to queue a job for `count` tasks at a machine.

    With `preempt`, tasks that yield to the job are stopped if there is no room.
    """

    TAG = "reserve"
    machine: str
    job_id: str
    count: int
    preempt: bool = False


class Offer(PeerMessage, frozen=True):
    """The manager holds room for one task of a job that is queued at a machine.

    `term` is the manager's, which bindings of the offer name.
    """

    TAG = "offer"
    machine: str
    job_id: str
    offer_id: int
    agent_epoch: int
    term: int
    manager: str


class DeclineOffer(PeerMessage, frozen=True):
    """The owner has no task for an offer."""

    TAG = "decline"
    machine: str
    offer_id: int


class AnnounceBackfill(PeerMessage, frozen=True):
    """A gang waits for these machines, or for none any more.

    The job was submitted, or its dependencies were done, at `submitted_ms` (since 1970); the
    machines are expected to be free in `ready_s` seconds.
    """

    TAG = "opening"
    job_id: str
    priority: int
    submitted_ms: float
    machines: list[str]
    ready_s: float


# --- what the autoscaler tells the managers of machines ------------------------------------------


class MoveTask(PeerMessage, frozen=True):
    """Stop a service's task so that its owner starts it on another machine."""

    TAG = "move"
    machine: str
    task: str
    attempt: int


class DrainMachines(PeerMessage, frozen=True):
    """Put nothing new on these machines."""

    TAG = "drain"
    machines: list[str]


class MachinesTerminated(PeerMessage, frozen=True):
    """These machines are certainly gone."""

    TAG = "gone"
    machines: list[str]


# --- shares of the rate of store changes ---------------------------------------------------------


class BorrowChanges(PeerMessage, frozen=True):
    """The sender lacks so many store changes."""

    TAG = "borrow"
    controller_id: str
    changes: float


class LendChanges(PeerMessage, frozen=True):
    """The sender gives up so many store changes of its share."""

    TAG = "lent"
    changes: float


ALL_TYPES: tuple[type[PeerMessage], ...] = (
    MachinesAlive,
    MachineView,
    Reserve,
    Offer,
    DeclineOffer,
    AnnounceBackfill,
    MoveTask,
    DrainMachines,
    MachinesTerminated,
    BorrowChanges,
    LendChanges,
)
