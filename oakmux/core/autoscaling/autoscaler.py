"""The autoscaler rents and returns machines, and finds out which ones are terminated."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.autoscaling.scale_in import ScaleIn
from oakmux.core.autoscaling.scale_out import ScaleOut
from oakmux.core.context import Context
from oakmux.core.leadership.roles import FLEET


class Autoscaler:
    """Scales the fleet out and in while this controller holds the fleet role."""

    def __init__(self, context: Context, cancellations: CancellationLog) -> None:
        self.context = context
        self.cancellations = cancellations
        self.inventory = InstanceInventory(context)
        self.scale_out = ScaleOut(context, cancellations, self.inventory)
        self.scale_in = ScaleIn(context, cancellations, self.inventory)
        self.next_pass_at = 0.0

    def on_role_acquired(self) -> None:
        """Reset the state when the fleet role is acquired."""
        self.inventory.on_role_acquired()
        self.scale_out.on_role_acquired()

    def changed(self, job_id: str) -> None:
        """Update the pending demand after a change of a job's records."""
        if FLEET in self.context.held_roles:
            self.scale_out.changed(job_id)

    def tick(self) -> None:
        """Request the cloud's list and run a scaling pass when either is due."""
        context = self.context
        if FLEET not in context.held_roles or not context.types:
            return
        self.inventory.request_list()
        if context.now >= self.next_pass_at and self.cancellations.store_fresh():
            self.next_pass_at = context.now + constants.AUTOSCALING_INTERVAL_S
            self.inventory.write_records()
            slots = self.scale_out.plan()
            if not self.scale_out.unplaced:
                self.scale_in.consolidation.run(slots)
            self.scale_in.return_idle(slots)
            self.scale_in.unhealthy.run()
