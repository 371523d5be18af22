"""The cloud's API: the catalogue of machine types, machines, rentals and returns."""

from typing import Any

from oakmux.codec.cbor import Malformed
from oakmux.core.model import MachineType

PATH_CATALOGUE = "/catalog"
PATH_MACHINES = "/hosts"
PATH_RETURN = "/hosts/return"


def parse_catalogue(value: Any) -> list[MachineType]:
    """Return the cloud's machine types."""
    try:
        return [
            MachineType(
                t["sku"],
                float(t["vcpus"]),
                float(t["accelerators"]),
                float(t["memory_gb"]),
                float(t["local_gb"]),
                float(t["pull_gb_per_s"]),
                float(t["hourly"]),
                float(t["low_price"]),
                float(t["boot_s"]),
                [str(z) for z in t["sites"]],
            )
            for t in value["flavours"]
        ]
    except (TypeError, KeyError, ValueError):
        raise Malformed("catalogue") from None


def rent_body(request: str, type_name: str, zone: str, spot: bool, count: int) -> dict:
    """Return a rental request."""
    return {"hire": request, "flavour": type_name, "site": zone, "loaner": spot, "count": count}


def return_body(machines: list[str]) -> dict:
    """Return the request that gives machines back."""
    return {"boxes": machines}


def parse_rented(value: Any) -> list[str]:
    """Return the names of rented machines."""
    try:
        return [str(name) for name in value["boxes"]]
    except (TypeError, KeyError):
        raise Malformed("rental's answer") from None


def parse_machines(value: Any) -> tuple[list[tuple], bool]:
    """Return ([(machine, addr, type, zone, spot, state, age_s)], more) of the machine list."""
    try:
        rows = [
            (
                b["id"],
                b.get("addr", ""),
                b["flavour"],
                b["site"],
                bool(b["loaner"]),
                b["status"],
                float(b["held_s"]),
            )
            for b in value["boxes"]
        ]
        return rows, bool(value["has_next"])
    except (TypeError, KeyError, ValueError, AttributeError):
        raise Malformed("machine list") from None


def is_no_capacity(value: Any) -> bool:
    """Whether a refused rental says that there are no machines."""
    return isinstance(value, dict) and value.get("error") == "no capacity"
