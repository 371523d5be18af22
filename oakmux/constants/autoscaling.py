"""Renting and returning machines."""

# Seconds between two autoscaling passes over the fleet.
AUTOSCALING_INTERVAL_S = 1.0
# Pending tasks that one pass considers at most (count).
MAX_DEMAND_TASKS = 4000

# Instances in one rental request (count); the cloud's limit.
MAX_RENTAL_SIZE = 50
# Times that a rental request is sent until it is answered (count).
RENT_TRIES = 5
# Seconds for which instances of a kind are not requested after the cloud had none.
NO_CAPACITY_RETRY_S = 12.0

# Multiples of the usual boot time after which an instance that still boots is returned.
BOOT_TIMEOUT_FACTOR = 4.0
# Multiples of the usual boot time after which an instance is late; boots normally take 0.6 to 1.5
# times the usual time. Every second late instance is replaced; the others are still expected.
BOOT_LATE_FACTOR = 1.7
# Late or failed boots of one kind after which other kinds are preferred (count), and seconds for
# which a failed boot counts.
BOOT_TROUBLE_COUNT = 3
BOOT_TROUBLE_S = 60.0

# Seconds for which an idle machine is kept.
IDLE_KEEP_S = 20.0
# Seconds between draining and returning a machine, so that the drain reaches all controllers.
DRAIN_GRACE_S = 2.0
# Free share of a machine from which its services may be moved elsewhere (fraction).
MOVE_FREE_SHARE = 0.5
# Seconds that a move may take before the machine is used again.
MOVE_TIMEOUT_S = 10.0

# Multiples of the workers' lease without contact after which a machine is returned.
CONTACT_TIMEOUT_LEASES = 3.0
# Share of a zone's machines that may be unreachable before the network to the zone is blamed
# instead of the machines (fraction).
UNREACHABLE_ZONE_SHARE = 0.5
# Seconds for which a machine stays quarantined before it is returned. A faulty job can't be told
# from a faulty machine until its tasks have been tried elsewhere.
QUARANTINE_HOLD_S = 8.0

# Seconds between two requests for the cloud's instance list, in multiples of the list's lag.
LIST_INTERVAL_LAGS = 0.6
# A machine counts as terminated if this many consecutive lists lack it (count) and this many
# multiples of the list's lag have passed since the machine was first known.
ABSENT_LISTS = 2
ABSENT_LAGS = 3.0
# Seconds for which a terminated machine's record is kept after the last binding to the machine.
TERMINATION_KEEP_S = 30.0
