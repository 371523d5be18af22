"""Runs a case and turns its outcome into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.cluster import Deployment

LIMIT_S = 117.0
"""A case runs for 120 seconds at most."""

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case did not come about as planned, so nothing can be said about the rule."""


def trouble() -> bool:
    """Whether the case has its disruption; TROUBLE=0 runs it without."""
    return os.environ.get("TROUBLE", "1") != "0"


async def wait_for(condition: Callable[[], Any], seconds: float, what: str) -> None:
    """Wait until a condition holds; raise CannotRunError if it does not in time."""
    for _ in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRunError(f"not within {seconds} s: {what}")


def _interrupted(_number: int, _frame: Any) -> None:
    raise SystemExit(COULD_NOT_RUN)


def run(folder: Path, play: Callable[[Deployment], Awaitable[bool]], **options: Any) -> None:
    """Play a case and exit; `play` returns whether the rule was broken."""
    signal.signal(signal.SIGTERM, _interrupted)
    deployment = Deployment(folder, **options)
    code = COULD_NOT_RUN

    async def bounded() -> bool:
        async with asyncio.timeout(LIMIT_S):
            await deployment.start()
            return await play(deployment)

    try:
        deployment.record.line(f"trouble: {trouble()}")
        code = BROKEN if asyncio.run(bounded()) else HELD
    except (CannotRunError, TimeoutError) as error:
        deployment.record.line(f"could not run: {error!r}")
    except Exception:
        deployment.record.line(f"could not run: {traceback.format_exc()}")
    finally:
        deployment.stop()
        deployment.record.line(f"exit code {code}")
    sys.exit(code)
