"""In-memory fakes of the store, the cloud, workers and users, and a network with faults.

Time is simulated and all randomness comes from one seed, so that every test is repeatable.
"""

from tests.fakes.deployment import (
    CANCEL_S,
    LEASE_S,
    PLACED,
    REPORT_S,
    TEAMS,
    TYPE,
    ZONES,
    settings_for,
    spec,
)
from tests.fakes.simulation import Simulation
from tests.fakes.store import FakeStore
from tests.fakes.worker import FakeWorker

__all__ = [
    "CANCEL_S",
    "LEASE_S",
    "PLACED",
    "REPORT_S",
    "TEAMS",
    "TYPE",
    "ZONES",
    "FakeStore",
    "FakeWorker",
    "Simulation",
    "settings_for",
    "spec",
]
