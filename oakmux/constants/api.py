"""Users' requests and the command line."""

# Users' requests that may wait for current records (count); more are refused.
MAX_WAITING_REQUESTS = 500
# Transactions for reading jobs in flight at a time (count); each serves many requests.
READS_IN_FLIGHT = 2
# Seconds in the Retry-After header of answers to users who can't be served yet.
RETRY_AFTER_S = 1
# Seconds until the controller that schedules a job records its cancellation by cascade if the
# controller that recorded the first cancellation has not, and between retries.
CASCADE_RETRY_S = 1.0
# Times that the command line tries all controllers before it gives up (count).
CLI_ROUNDS = 3
