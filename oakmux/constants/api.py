"""Users' requests, and the command line that sends them."""

# Users' requests that may wait for current records (count); more are refused.
MAX_WAITING_REQUESTS = 500
# Transactions for reading jobs that may be in flight at a time (count); each serves many requests.
READS_IN_FLIGHT = 2
# Seconds after which a user who can't be served yet is told to try again.
RETRY_AFTER_S = 1
# Seconds until the controller that schedules a job records its cancellation by cascade, if the
# controller that took the first cancellation has not; and between its tries.
CASCADE_RETRY_S = 1.0
# Rounds over all controllers that the command line makes before it gives up (count).
CLI_ROUNDS = 3
