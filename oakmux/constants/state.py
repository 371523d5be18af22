"""Records in the store, and the transactions that write them."""

# Seconds without an answer of the store after which records count as stale.
STORE_STALE_S = 3.0

# Tasks in one task block (count), and bytes that one binding takes there at most.
BLOCK_TASKS = 64
BINDING_BYTES = 110
# Tasks of a job whose bindings share a binding batch with those of other jobs, at most (count). A
# larger job fills a record of its own.
BATCH_JOB_TASKS = 16
# Bytes of a batch row beside its bindings: job id, counts and CBOR heads.
BATCH_ROW_BYTES = 90
# Bytes that the rows of a binding batch may grow to: each change of a row writes the whole batch,
# and every controller reads it.
BATCH_BYTES = 4096
# Bytes of values in one transaction. The protocol allows 64 KiB in total, of which the conditions
# of a full transaction take nine.
TRANSACTION_BYTES = 48 * 1024
# Bytes of a value's limit that stay unused, in case the store counts a few more than we do.
VALUE_SLACK_BYTES = 24

# Transactions of a scheduler that may be in flight at a time (count).
WRITES_IN_FLIGHT = 4
# Seconds' worth of our even share of the store's rate that one transaction of a scheduler may use.
TRANSACTION_RATE_S = 2.0
# Changes that it may hold in any case (count): the end of a job takes two, a large gang more.
TRANSACTION_MIN_CHANGES = 4
# Seconds for which completed tasks of an array are gathered into one write, at least and at most;
# in between, as long as our even share of the rate needs for COALESCE_CHANGES changes.
COALESCE_MIN_S = 1.5
COALESCE_MAX_S = 5.0
COALESCE_CHANGES = 8.0
