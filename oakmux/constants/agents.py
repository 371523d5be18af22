"""Worker agents: reservations on their machines, heartbeats, quarantine and cancellation."""

# Reservations queued on one machine (count); further ones go to other machines.
MAX_RESERVATIONS_PER_MACHINE = 64
# Seconds for which an agent manager holds the capacity of an offer without a binding. A decline
# releases it at once, but a binding may wait for its transaction and be retried.
OFFER_HOLD_S = 8.0

# Heartbeat intervals without a heartbeat after which nothing new is placed on a machine (count).
MISSED_HEARTBEATS = 2.0
# Consecutive signs that a worker does not receive answers after which it counts as unreachable.
# One sign is normal: a worker that is handed over, or whose controller failed, changes controller
# once.
UNREACHABLE_SIGNS = 2
# Seconds until a peer's notice that a machine drains expires unless it is repeated.
DRAIN_NOTICE_TTL_S = 6.0
# Seconds to connect to a worker and receive its answer to commands.
COMMAND_TIMEOUT_S = 2.0
# Seconds between two terms that one worker gets so that it can forget exited attempts.
WORKER_TERM_STEP_S = 10.0
# Exited attempts (count) above which a worker gets a new term at once, although that rules out
# starts that are pending. Each takes about 75 bytes of a heartbeat, which is limited to 64 KiB.
MAX_EXITED_ATTEMPTS = 64
# Seconds for which a task without a binding may stay on a machine before it is stopped.
ORPHAN_GRACE_S = 6.0

# Jobs whose tasks must fail in a row on a machine before it is quarantined (count), and latest
# failed jobs kept for each machine (count).
QUARANTINE_FAILED_JOBS = 3
FAILED_JOBS_KEPT = 8
# Seconds for which a machine stays in quarantine after the last failure: less than the 90 s for
# which no job may wait beside free capacity.
QUARANTINE_MAX_S = 60.0

# Seconds added to the workers' lease before a cancellation counts as complete.
CANCELLATION_MARGIN_S = 4.0
# Cancellations by revision that are kept for peers (count), at 14 bytes each. A controller that
# lacks more is told that its list is incomplete, and gives up its workers.
CANCELLATIONS_KEPT = 2000
# Latest cancellations sent to a peer of an earlier version (count), whose requests do not contain
# the revision that it knows.
CANCELLATIONS_SENT_UNASKED = 100

# Tasks named in one log event about commands to a worker (count); the others are counted.
LOG_TASKS = 20
# Seconds between two log events that count heartbeats and commands.
WORKER_TRAFFIC_LOG_S = 10.0
