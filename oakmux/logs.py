"""Log events as key=value pairs."""

import logging
from typing import Any

log = logging.getLogger("oakmux.core")


def event(name: str, **fields: Any) -> None:
    """Log a controller event at level INFO."""
    if log.isEnabledFor(logging.INFO):
        log.info("event=%s %s", name, " ".join(f"{key}={value}" for key, value in fields.items()))
