"""Leases and roles of controllers."""

# Seconds until a controller's lease in the store expires, so that its failure is noticed.
CONTROLLER_LEASE_S = 4.0
# Seconds between renewals; three may be lost before the lease expires.
LEASE_RENEWAL_S = 1.0
# Seconds for each controller over which those that failed to raise the term spread their retries.
TERM_RETRY_SPREAD_S = 0.05
# Seconds between writing our controller's key and claiming roles, so that peers can appear.
ROLE_CLAIM_DELAY_S = 0.6
# Seconds between two checks whether a role should move to a controller that has fewer.
ROLE_REBALANCE_S = 5.0
# Priority among the operations queued for the store (lower goes first; users' have 0). Leases,
# terms and roles precede all others: behind a flood of users' changes, the roles of a failed
# controller would stay without a holder.
LEADERSHIP_WRITE_PRIORITY = -1
