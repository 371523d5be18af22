"""Leases and roles of controllers."""

# Seconds until a failed controller's lease in the store expires and its failure is noticed.
CONTROLLER_LEASE_S = 4.0
# Seconds between lease renewals; three may be lost before the lease expires.
LEASE_RENEWAL_S = 1.0
# Terms that a controller allocates at a time (count). The first commands all its workers; a worker
# gets a later one when it is told to forget exited attempts.
TERMS_PER_RANGE = 100_000
# Seconds per controller over which controllers that failed to raise the term spread retries.
TERM_RETRY_SPREAD_S = 0.05
# Seconds between writing the own controller key and claiming roles, so that peers can register.
ROLE_CLAIM_DELAY_S = 0.6
# Seconds between two checks whether a role should move to a controller with fewer roles.
ROLE_REBALANCE_S = 5.0
# Priority among operations queued for the store (lower goes first; users' have 0). Leases, terms
# and roles precede all others: behind a flood of users' changes, the roles of a failed
# controller would stay without a holder.
LEADERSHIP_WRITE_PRIORITY = -1
