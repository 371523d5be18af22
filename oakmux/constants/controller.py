"""The controller's event loop, and its messages to peers."""

# A time before all others (s on the steady clock); finite, since ages computed from it are sent to
# peers.
NEVER = -1e9

# Seconds for which commands are gathered into one step. A step has a cost of its own, and starting
# a task takes about five.
COMMAND_BATCH_S = 0.01
# Seconds between two ticks.
TICK_S = 0.1
# Rounds of consequences that are followed within one step (count).
PROPAGATION_ROUNDS = 8
# Commands that may be queued before users' requests are refused (count).
MAX_QUEUED_COMMANDS = 2000
# Entries that the controller's smaller caches and sets of past events hold at most (count).
MAX_CACHE_ENTRIES = 2000
# A time before all others (s), for what has not happened yet. It is finite because peers are sent
# ages that are computed from such times.
NEVER = -1e9
# Seconds between two steps after which the process is taken to have been paused. It ticks ten
# times a second; under load, gaps of some tenths of a second were the longest.
PROCESS_PAUSE_S = 3.0
# Smallest amount of a resource that counts (share of a unit), against rounding errors.
EPSILON = 1e-6
# Characters of an answer that one log line holds.
LOG_TEXT_CHARS = 120

# Seconds between two heartbeats to the peers.
PEER_HEARTBEAT_S = 1.0
# Seconds within which peers are told again of every machine that we manage: a fifth of the 90 s
# for which no job may wait while there is capacity. With 40 machines, two messages a second to
# each peer.
VIEW_RESEND_S = 20.0
# Seconds without a heartbeat of any peer after which we count as isolated. Heartbeats come every
# second, and a request without an answer takes two.
ISOLATION_S = 4.0
