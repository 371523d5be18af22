"""The controller's event loop, and its messages to peers."""

# A time before all others (s, monotonic clock), for events that have not happened yet. Finite,
# because ages computed from it are sent to peers.
NEVER = -1e9

# Seconds for which commands are batched into one step. Each step has a fixed cost, and starting a
# task takes about five steps.
COMMAND_BATCH_S = 0.01
# Seconds between two ticks.
TICK_S = 0.1
# Rounds in which changes are propagated between components within one step (count).
PROPAGATION_ROUNDS = 8
# Commands that may be queued before users' requests are refused (count).
MAX_QUEUED_COMMANDS = 2000
# Entries in each of the controller's smaller caches and sets of past events (count).
MAX_CACHE_ENTRIES = 2000
# Seconds between two steps after which the process counts as paused. It ticks ten times a second;
# under load, gaps stay within some tenths of a second.
PROCESS_PAUSE_S = 3.0
# Smallest significant amount of a resource (fraction of a unit); absorbs rounding errors.
EPSILON = 1e-6
# Characters of an answer that are logged.
LOG_TEXT_CHARS = 120

# Seconds between two heartbeats to the peers.
PEER_HEARTBEAT_S = 1.0
# Seconds within which the views of all managed machines are resent to peers: a fifth of the 90 s
# for which a job may at most wait while there is capacity. With 40 machines, this takes two
# messages a second to each peer.
VIEW_RESEND_S = 20.0
# Seconds without a heartbeat from any peer after which a controller considers itself isolated.
# Heartbeats come every second, and a request without an answer takes two.
ISOLATION_S = 4.0
