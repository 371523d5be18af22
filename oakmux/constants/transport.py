"""Connections, timeouts and rate limits towards the store, the cloud, workers and peers."""

# --- HTTP ---

# Seconds that a connection attempt may take.
CONNECT_TIMEOUT_S = 1.0
# Seconds between failed tries, at first and at most; jitter takes off half at most.
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 3.0
# Bytes of a body that we read (64 KiB by the protocol), and of one from the store or the cloud:
# the store's lists hold 512 KiB, its watches are without limit.
MAX_BODY_BYTES = 64 * 1024
MAX_STORE_BODY_BYTES = 16 * 1024 * 1024
# Connections kept open to one address for reuse (count).
IDLE_CONNECTIONS_PER_ADDRESS = 4
# Sockets reserved for our own outgoing calls (fraction of the limit).
CLIENT_SOCKETS_SHARE = 0.3
# Connections to the store, the cloud, each peer and all workers (count).
STORE_CONNECTIONS = 16
CLOUD_CONNECTIONS = 4
PEER_CONNECTIONS = 4
WORKER_CONNECTIONS = 96

# --- store ---

# Seconds to wait for an answer of the store.
STORE_TIMEOUT_S = 1.5
# Seconds that an operation may wait for its turn before it is given up unsent.
STORE_QUEUE_TIMEOUT_S = 3.0
# Seconds for which a watch stays open.
WATCH_TIMEOUT_S = 0.8
# Seconds between two watches at least: a peer's change is known so much later.
WATCH_MIN_INTERVAL_S = 0.06
# Share of a controller's requests to the store that reopened watches may use (fraction).
WATCH_RATE_SHARE = 0.25
# Items in one page of a list of the store or the cloud (count); the store's own limit is 1,000.
LIST_PAGE_ITEMS = 500
# Share of the rate limits of store and cloud that we use (fraction), against clock drift.
RATE_LIMIT_SHARE = 0.9
# Seconds' worth of its share of changes that a controller may use in advance for users, who else
# wait behind a scheduler's transactions; it is made up for afterwards.
USER_ADVANCE_S = 2.0
# Seconds without a refusal until the whole advance may be used: the store allows one second's
# worth in all, and all controllers start at the same moment.
USER_ADVANCE_GROWTH_S = 30.0
# Seconds between two requests to peers to lend changes of their share of the rate.
BORROW_INTERVAL_S = 0.3
# Multiples of what is missing that are asked for in all, since some peers can't lend.
BORROW_FACTOR = 2.0
# Changes that a lender keeps, and the least that it lends.
LENDER_RESERVE = 1.0
LEND_MIN = 0.2

# --- cloud ---

# Seconds to wait for an answer of the cloud.
CLOUD_TIMEOUT_S = 5.0
# Seconds between two readings of the catalogue of machine types.
CATALOGUE_INTERVAL_S = 60.0
# Share of the cloud's rate that one controller uses (fraction): the holder of the fleet role needs
# most of it, the others read the catalogue.
CLOUD_RATE_SHARE = 0.75
# Seconds' worth of that rate in one burst; the cloud allows two.
CLOUD_BURST_S = 1.6

# --- peers ---

# Seconds to wait for an answer of a peer.
PEER_TIMEOUT_S = 2.0
# Messages that may wait for a peer (count); beyond it the oldest are dropped.
PEER_OUTBOX = 4000
# Seconds for which messages to a peer are gathered. One by one, a controller of three sent and
# received 112 requests a second at a cold start with 600 machines.
PEER_BATCH_WINDOW_S = 0.025
# Seconds for which mere updates on machines are gathered unless something else is sent. Otherwise,
# with seven controllers, each changed heartbeat was a request to six peers.
PEER_UPDATE_WINDOW_S = 0.15
# Messages in one request to a peer (count), which bounds its size, and bytes of a body.
PEER_BATCH = 200
PEER_BODY_BYTES = 4 * 1024 * 1024
