"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()
