"""The owner's side: sampling machines, binding tasks, writing the records."""

from oakmux.core.agents.manager import AgentManager
from oakmux.core.context import Context
from oakmux.core.index import Index
from oakmux.core.owner.binding import Binder
from oakmux.core.owner.gangs import Gangs
from oakmux.core.owner.sampling import Sampler
from oakmux.core.owner.state import Open
from oakmux.core.owner.write_buffer import WriteBuffer
from oakmux.core.owner.writer import Writer
from oakmux.core.spread.waiting import Waiting


class Owner:
    """Places the jobs of the teams that we own. Its parts share the open jobs."""

    def __init__(self, context: Context, agents: AgentManager) -> None:
        self.open: dict[str, Open] = {}
        self.buffer = WriteBuffer(context)
        self.writer = Writer(context, self.buffer)
        self.index = Index(context)
        self.gangs = Gangs(context, self.index, self.open)
        self.waiting = Waiting(context, self.open)
        self.binder = Binder(context, agents, self.buffer, self.open, self.waiting)
        self.sampler = Sampler(
            context, self.index, self.buffer, self.binder, self.gangs, self.waiting
        )

    def lost(self, held: set[str]) -> None:
        """Drop what belongs to teams other than those held all the while. One that we lost and won
        again within one look at the records had another owner in between: what we had not written
        would be written over what that one did (R ran_twice, quota)."""
        self.buffer.drop_lost(held)
        self.binder.drop_lost(held)
