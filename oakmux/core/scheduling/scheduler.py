"""The shard scheduler: samples machines, binds tasks and writes the records."""

from oakmux.core.agents.manager import AgentManager
from oakmux.core.context import Context
from oakmux.core.scheduling.binding import Binder
from oakmux.core.scheduling.gangs import GangScheduler
from oakmux.core.scheduling.machine_index import MachineIndex
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.scheduling.quota_claims import QuotaClaims
from oakmux.core.scheduling.sampling import Sampler
from oakmux.core.scheduling.sampling_schedule import SamplingSchedule
from oakmux.core.state.record_writer import RecordWriter
from oakmux.core.state.write_buffer import WriteBuffer


class ShardScheduler:
    """Places the jobs of the teams whose roles are held. Its parts share `pending_jobs`."""

    def __init__(self, context: Context, agents: AgentManager) -> None:
        self.pending_jobs: dict[str, PendingJob] = {}
        self.buffer = WriteBuffer(context)
        self.writer = RecordWriter(context, self.buffer)
        self.index = MachineIndex(context)
        self.gangs = GangScheduler(context, self.index, self.pending_jobs)
        self.schedule = SamplingSchedule(context, self.pending_jobs)
        self.quota_claims = QuotaClaims(context, self.buffer)
        self.binder = Binder(
            context, agents, self.buffer, self.quota_claims, self.pending_jobs, self.schedule
        )
        self.sampler = Sampler(
            context, self.index, self.buffer, self.binder, self.gangs, self.schedule
        )

    def on_roles_lost(self, kept_roles: set[str]) -> None:
        """Drop the state of all teams but those in `kept_roles`, held without interruption.

        A role that was lost and reacquired between two reads of the records had another holder
        meanwhile. Unwritten changes would overwrite that controller's changes and break the rules
        `ran_twice` and `quota`.
        """
        self.buffer.drop_lost(kept_roles)
        self.binder.drop_lost(kept_roles)
