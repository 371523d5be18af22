"""Records in the store, and the transactions that write them."""

# Seconds without an answer from the store after which records count as stale.
STORE_STALE_S = 3.0

# Tasks in one task block (count), and largest size of a binding there in bytes.
BLOCK_TASKS = 64
BINDING_BYTES = 110
# Most tasks of a job whose bindings share a binding batch with other jobs (count). The bindings of
# a larger job fill a record of their own.
BATCH_JOB_TASKS = 16
# Bytes of a batch row in addition to its bindings: job id, counts and CBOR headers.
BATCH_ROW_BYTES = 90
# Largest size of a binding batch's rows in bytes: each change of a row writes the whole batch,
# and every controller reads it.
BATCH_BYTES = 4096
# Bytes of one transaction. The store allows 64 KiB, counted in JSON; how it spaces that is not
# known.
TRANSACTION_BYTES = 52 * 1024
# Largest value in bytes, whatever the store allows: it must fit into a transaction.
MAX_VALUE_BYTES = 48 * 1024
# Most bytes of a condition and of a write in addition to its key and value, and of a key.
CONDITION_BYTES = 48
WRITE_BYTES = 60
MAX_KEY_BYTES = 200
# Seconds without a refusal after which a writer uses the store's limits in full again.
REFUSAL_HOLD_S = 60.0
# Refused transactions that a writer remembers (count), so as not to send them again.
MAX_REFUSED_TRANSACTIONS = 32
# Bytes of the value size limit left unused, in case the store counts a few more.
VALUE_SLACK_BYTES = 24

# Transactions of a scheduler that may be in flight at a time (count).
WRITES_IN_FLIGHT = 4
# Most that one scheduler transaction may use, in seconds of an even share of the store's rate.
TRANSACTION_RATE_S = 2.0
# Changes that it may contain in any case (count): the end of a job takes two, a large gang more.
TRANSACTION_MIN_CHANGES = 4
# Least and most seconds for which completed tasks of an array are coalesced into one write. In
# between, the time is that in which an even share of the rate allows COALESCE_CHANGES changes.
COALESCE_MIN_S = 1.5
COALESCE_MAX_S = 5.0
COALESCE_CHANGES = 8.0
