"""Entry point of a stand-in process; arguments: ROLE PLAN [INDEX]."""

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

from tools.scale import cloud, hollow, state_service, users
from tools.scale.plan import read_plan
from tools.scale.serving import run_child


def main(role: str, plan_path: str, index: str = "0") -> None:
    """Run the stand-in of a role; `index` selects the process of hollow workers."""
    plan = read_plan(plan_path)

    def run(stop_requested: asyncio.Event) -> Coroutine[Any, Any, None]:
        if role == "hollow":
            return hollow.main(plan, stop_requested, int(index))
        stand_ins = {"state": state_service.main, "cloud": cloud.main, "users": users.main}
        return stand_ins[role](plan, stop_requested)

    run_child(run)


if __name__ == "__main__":
    main(*sys.argv[1:])
