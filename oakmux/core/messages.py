"""The controller's inputs (commands) and outputs (effects).

`Controller.step` takes a batch of commands and returns effects, which the transport carries out.
An effect with an `operation` number is answered by an `OperationDone` with the same number.
"""

from typing import Any

import msgspec

from oakmux.core.model import Heartbeat, JobSpec, MachineType
from oakmux.core.peer_messages import PeerMessage

# A transaction's condition: (key, mod revision). Its write: (key, value, lease), or (key,) to
# delete the key.
Condition = tuple[str, int]
Write = tuple[Any, ...]


class Command(msgspec.Struct, frozen=True):
    """An input of the controller."""


class Effect(msgspec.Struct, frozen=True):
    """An output of the controller, for the transport to carry out."""


# --- commands: requests of users, workers and peers, each answered by an `Answer` ---------------


class SubmitJob(Command, frozen=True):
    """A user submits a job; `spec` is None if the request is malformed, for the reason given."""

    request: Any
    job_id: str
    spec: JobSpec | None
    malformed: str


class QueryJob(Command, frozen=True):
    """A user asks for a job's state."""

    request: Any
    job_id: str


class CancelJob(Command, frozen=True):
    """A user cancels a job."""

    request: Any
    job_id: str


class CheckHealth(Command, frozen=True):
    """The load balancer checks whether this controller should get users' requests."""

    request: Any


class GetStatus(Command, frozen=True):
    """An operator asks for this controller's status."""

    request: Any


class ReceiveHeartbeat(Command, frozen=True):
    """A worker sent a heartbeat."""

    request: Any
    heartbeat: Heartbeat


class ReceivePeerMessages(Command, frozen=True):
    """A peer sent messages.

    `known_revision` is the revision up to which the sender has all cancellations; -1 if it is not
    in the request.
    """

    request: Any
    sender: str
    messages: list[PeerMessage]
    known_revision: int = -1


# --- commands: updates from the store, the cloud and the peers ----------------------------------


class OperationDone(Command, frozen=True):
    """An operation ended: `status` is an HTTP status, or the outcome of worker commands.

    Status 0 means that the operation may or may not have been carried out.
    """

    operation: int
    status: int | str
    result: Any


class LoadSnapshot(Command, frozen=True):
    """All records of the store, as (key, value, mod revision), read from `requested_at` on."""

    records: list[tuple[str, Any, int]]
    revision: int
    requested_at: float


class ApplyWatchEvents(Command, frozen=True):
    """Store changes as (key, value or None, mod revision), requested at `requested_at`."""

    events: list[tuple[str, Any, int]]
    revision: int
    requested_at: float


class UpdateMachineTypes(Command, frozen=True):
    """The cloud's current catalogue."""

    types: list[MachineType]


class PeerAnswered(Command, frozen=True):
    """A peer answered a request sent at `requested_at`.

    `cancelled` lists the jobs cancelled after the known revision of the request, completely up to
    `complete_revision`; -1 if the list may be incomplete. `store_age_s` is the age of the peer's
    records.
    """

    controller_id: str
    incarnation: int
    store_age_s: float
    cancelled: list[str]
    requested_at: float
    complete_revision: int = -1


class PeerRestarted(Command, frozen=True):
    """A peer answered with a new incarnation."""

    controller_id: str


class ResendViews(Command, frozen=True):
    """Views of these machines may not have reached a peer."""

    controller_id: str
    machines: list[str]


class BorrowQuota(Command, frozen=True):
    """This controller needs `changes` more store changes than its share of the rate allows."""

    changes: float


# --- effects: answers and messages --------------------------------------------------------------


class Answer(Effect, frozen=True):
    """Answer a request; `body` is a tagged tuple."""

    request: Any
    status: int
    body: tuple[Any, ...]


class SendToPeer(Effect, frozen=True):
    """Send a message to a peer."""

    controller_id: str
    message: PeerMessage


class LendQuota(Effect, frozen=True):
    """Lend a peer up to `changes` of this controller's share of the rate, if it can spare them."""

    controller_id: str
    changes: float


class CreditQuota(Effect, frozen=True):
    """Add store changes lent by a peer to this controller's share of the rate."""

    changes: float


class SendWorkerCommands(Effect, frozen=True):
    """Send commands to a worker directly; the result is a `CommandOutcome`."""

    operation: int
    addr: str
    fencing_token: int
    agent_epoch: int
    commands: list[dict[str, Any]]


# --- effects: operations on the store -----------------------------------------------------------


class StoreOperation(Effect, frozen=True):
    """An operation on the store."""

    operation: int


class Transaction(StoreOperation, frozen=True):
    """Compare-and-swap of several keys; a smaller `priority` goes first."""

    conditions: list[Condition]
    writes: list[Write]
    priority: int


class ReadKey(StoreOperation, frozen=True):
    """Read a key."""

    key: str
    priority: int


class GrantLease(StoreOperation, frozen=True):
    """Create a lease."""

    ttl_s: float


class RenewLease(StoreOperation, frozen=True):
    """Keep a lease alive."""

    lease: int


# --- effects: operations on the cloud -----------------------------------------------------------


class CloudOperation(Effect, frozen=True):
    """An operation on the cloud."""

    operation: int


class ListInstances(CloudOperation, frozen=True):
    """Read the list of all instances."""


class RentInstances(CloudOperation, frozen=True):
    """Rent instances; a retry with the same `name` never rents twice."""

    name: str
    type_name: str
    zone: str
    spot: bool
    count: int


class ReturnInstances(CloudOperation, frozen=True):
    """Return instances."""

    names: list[str]
