"""Messages between controllers.

On the wire, a message is an array of its tag and its fields in order (`oakmux.codec.peers`).
Earlier and later versions read these arrays, so new fields go at the end and have a default.
"""

from typing import Any, ClassVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """A message from one controller to another."""

    TAG: ClassVar[str]


# --- from managers of machines to all peers ------------------------------------------------------


class MachinesAlive(PeerMessage, frozen=True):
    """The sender recently received heartbeats of these machines."""

    TAG = "heard"
    machines: list[str]


class MachineView(PeerMessage, frozen=True):
    """A machine's last heartbeat to the sender, which is its manager.

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
    """The owner requests to queue `count` tasks of a job at a machine.

    With `preempt`, tasks that the job may preempt are stopped if there is no capacity.
    """

    TAG = "reserve"
    machine: str
    job_id: str
    count: int
    preempt: bool = False


class Offer(PeerMessage, frozen=True):
    """The manager holds capacity for one task of a job that is queued at a machine.

    `term` is the manager's; a binding made from the offer contains it.
    """

    TAG = "offer"
    machine: str
    job_id: str
    offer_id: int
    agent_epoch: int
    term: int
    manager: str


class DeclineOffer(PeerMessage, frozen=True):
    """The owner has no task for the offer."""

    TAG = "decline"
    machine: str
    offer_id: int


class AnnounceBackfill(PeerMessage, frozen=True):
    """Machines reserved for a gang; an empty list ends its reservation.

    The job was submitted, or its dependencies were done, at `submitted_ms` (since 1970). The
    machines are expected to be free in `ready_s` seconds.
    """

    TAG = "opening"
    job_id: str
    priority: int
    submitted_ms: float
    machines: list[str]
    ready_s: float


# --- from the autoscaler to the managers of machines ---------------------------------------------


class MoveTask(PeerMessage, frozen=True):
    """Stop a service's task so that its owner starts it on another machine."""

    TAG = "move"
    machine: str
    task: str
    attempt: int


class DrainMachines(PeerMessage, frozen=True):
    """Place no new tasks on these machines."""

    TAG = "drain"
    machines: list[str]


class MachinesTerminated(PeerMessage, frozen=True):
    """These machines are certainly terminated."""

    TAG = "gone"
    machines: list[str]


# --- shares of the rate of store changes ---------------------------------------------------------


class BorrowChanges(PeerMessage, frozen=True):
    """The sender needs `changes` more store changes than its share allows."""

    TAG = "borrow"
    controller_id: str
    changes: float


class LendChanges(PeerMessage, frozen=True):
    """The sender lends `changes` store changes of its share."""

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
