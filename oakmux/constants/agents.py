"""Worker agents: reservations on their machines, heartbeats, quarantine and cancellation."""

# Reservations queued on one machine (count); those beyond it go to other machines.
MAX_RESERVATIONS_PER_MACHINE = 64
# Seconds for which an agent manager holds the capacity of an offer whose binding has not come. A
# decline ends it at once, but a binding may have to wait for its transaction and be retried.
OFFER_HOLD_S = 8.0

# Heartbeat intervals without a heartbeat after which nothing new is placed on a machine (count).
MISSED_HEARTBEATS = 2.0
# Signs in a row that a worker does not receive our answers after which it counts as unreachable.
# One sign is normal: a worker that is handed over, or whose controller failed, changes controller
# once.
UNREACHABLE_SIGNS = 2
# Seconds for which a peer's notice that a machine drains holds unless it is repeated.
DRAIN_NOTICE_TTL_S = 6.0
# Seconds to connect to a worker and to get its answer to commands.
COMMAND_TIMEOUT_S = 2.0
# Seconds for which a task may be on a machine without a binding before it is stopped.
ORPHAN_GRACE_S = 6.0

# Jobs whose tasks failed in a row on a machine after which it is quarantined, and how many of the
# last ones are remembered (count).
QUARANTINE_FAILED_JOBS = 3
FAILED_JOBS_KEPT = 8

# Seconds added to the workers' lease before a cancellation counts as complete.
CANCELLATION_MARGIN_S = 4.0
# Cancellations by revision that are kept for peers (count). A controller that lacks more, at 14
# bytes each, is told so and gives up its workers.
CANCELLATIONS_KEPT = 2000
# Latest cancellations sent to a peer of an earlier version, which does not say which it has
# (count).
CANCELLATIONS_SENT_UNASKED = 100
