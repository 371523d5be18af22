"""The cloud's API: the catalogue of machine types, instances, rentals and returns."""

from typing import Any, NamedTuple

from oakmux.codec.cbor import MalformedError
from oakmux.core.instances import ListedInstance
from oakmux.core.model import MachineType

PATH_CATALOGUE = "/catalog"
PATH_INSTANCES = "/hosts"
PATH_RETURN = "/hosts/return"

NO_CAPACITY = "no capacity"
"""Error of a rental when the cloud has no such instances."""


class InstancePage(NamedTuple):
    """A page of the list of instances."""

    instances: list[ListedInstance]
    has_more: bool


def parse_catalogue(answer: Any) -> list[MachineType]:
    """Return the cloud's machine types; raises MalformedError."""
    try:
        return [_parse_machine_type(row) for row in answer["flavours"]]
    except (TypeError, KeyError, ValueError):
        raise MalformedError("malformed catalogue") from None


def _parse_machine_type(row: dict[str, Any]) -> MachineType:
    return MachineType(
        name=row["sku"],
        cpus=float(row["vcpus"]),
        gpus=float(row["accelerators"]),
        memory_gb=float(row["memory_gb"]),
        cache_gb=float(row["local_gb"]),
        fetch_gb_per_s=float(row["pull_gb_per_s"]),
        price=float(row["hourly"]),
        spot_price=float(row["low_price"]),
        boot_s=float(row["boot_s"]),
        zones=[str(zone) for zone in row["sites"]],
    )


def rental_body(
    request_id: str, type_name: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """Return the body of a rental request; repeated with the same id, it rents only once."""
    return {
        "hire": request_id,
        "flavour": type_name,
        "site": zone,
        "loaner": spot,
        "count": count,
    }


def return_body(instances: list[str]) -> dict[str, Any]:
    """Return the body of a request that returns instances."""
    return {"boxes": instances}


def parse_rental(answer: Any) -> list[str]:
    """Return the names of the rented instances; raises MalformedError."""
    try:
        return [str(name) for name in answer["boxes"]]
    except (TypeError, KeyError):
        raise MalformedError("malformed answer to a rental") from None


def parse_instance_page(answer: Any) -> InstancePage:
    """Read a page of the list of instances; raises MalformedError."""
    try:
        instances = [_parse_instance(row) for row in answer["boxes"]]
        return InstancePage(instances, bool(answer["has_next"]))
    except (TypeError, KeyError, ValueError, AttributeError):
        raise MalformedError("malformed list of instances") from None


def _parse_instance(row: dict[str, Any]) -> ListedInstance:
    return ListedInstance(
        name=row["id"],
        address=row.get("addr", ""),
        type=row["flavour"],
        zone=row["site"],
        spot=bool(row["loaner"]),
        state=row["status"],
        age_s=float(row["held_s"]),
    )


def is_no_capacity(answer: Any) -> bool:
    """Whether a rental was refused for lack of instances."""
    return isinstance(answer, dict) and answer.get("error") == NO_CAPACITY
