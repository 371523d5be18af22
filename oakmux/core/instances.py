"""Instances as the cloud names them: what can be rented, and the rows of its list."""

from enum import StrEnum
from typing import NamedTuple


class InstanceKind(NamedTuple):
    """Instances that are interchangeable for the cloud: they share price and capacity."""

    type: str
    zone: str
    spot: bool


class InstanceState(StrEnum):
    """States of an instance in the cloud's list that mean something to the autoscaler."""

    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


class ListedInstance(NamedTuple):
    """A row of the cloud's list; `age_s` counts from the rental."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float

    @property
    def kind(self) -> InstanceKind:
        """What was rented."""
        return InstanceKind(self.type, self.zone, self.spot)
