"""Cloud instances: the kinds that can be rented, and the entries of the instance list."""

from enum import StrEnum
from typing import NamedTuple


class InstanceKind(NamedTuple):
    """A kind of interchangeable instances: the cloud prices and provisions them together."""

    type: str
    zone: str
    spot: bool


class InstanceState(StrEnum):
    """States of an instance in the cloud's list that the autoscaler distinguishes."""

    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


class ListedInstance(NamedTuple):
    """An entry of the cloud's list; `age_s` counts from the rental."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float

    @property
    def kind(self) -> InstanceKind:
        """The kind of the instance."""
        return InstanceKind(self.type, self.zone, self.spot)
