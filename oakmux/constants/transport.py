"""Connections, timeouts and rate limits towards the store, the cloud, workers and peers."""

# --- HTTP ---

# Seconds that a connection attempt may take.
CONNECT_TIMEOUT_S = 1.0
# Backoff after failed tries (s): first and largest; jitter shortens it by up to half.
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 3.0
# Largest body that is read, in bytes (64 KiB by the protocol), and largest body from the store or
# the cloud: the store's lists take up to 512 KiB, its watches are unlimited.
MAX_BODY_BYTES = 64 * 1024
MAX_STORE_BODY_BYTES = 16 * 1024 * 1024
# Connections kept open to one address for reuse (count).
IDLE_CONNECTIONS_PER_ADDRESS = 4
# Sockets reserved for outgoing calls (fraction of the limit).
CLIENT_SOCKETS_SHARE = 0.3
# Connections to the store, the cloud, each peer and all workers (count).
STORE_CONNECTIONS = 16
CLOUD_CONNECTIONS = 4
PEER_CONNECTIONS = 4
WORKER_CONNECTIONS = 96

# --- store ---

# Seconds to wait for an answer from the store.
STORE_TIMEOUT_S = 1.5
# Seconds that an operation may be queued before it is dropped unsent.
STORE_QUEUE_TIMEOUT_S = 3.0
# Seconds for which a watch stays open.
WATCH_TIMEOUT_S = 0.8
# Shortest interval between two watches (s); it delays the arrival of peers' changes.
WATCH_MIN_INTERVAL_S = 0.06
# Share of a controller's requests to the store that reopened watches may use (fraction).
WATCH_RATE_SHARE = 0.25
# Items in one page of a list of the store or the cloud (count); the store's own limit is 1,000.
LIST_PAGE_ITEMS = 500
# Share of the rate limits of store and cloud that is used (fraction), because clocks drift.
RATE_LIMIT_SHARE = 0.9
# Changes that a controller may use in advance for users, in seconds of its share. Users would
# otherwise wait behind a scheduler's transactions; later changes are delayed in return.
USER_ADVANCE_S = 2.0
# Seconds without a refusal until the whole advance may be used: the store allows one second's
# worth in total, and all controllers start at the same moment.
USER_ADVANCE_GROWTH_S = 30.0
# Seconds between two requests to borrow changes of the peers' shares of the rate.
BORROW_INTERVAL_S = 0.3
# Changes requested from all peers together, in multiples of the need: some peers can't lend.
BORROW_FACTOR = 2.0
# Changes that a lender keeps, and the least changes that it lends.
LENDER_RESERVE = 1.0
LEND_MIN = 0.2

# --- cloud ---

# Seconds to wait for an answer from the cloud.
CLOUD_TIMEOUT_S = 5.0
# Seconds between two reads of the catalogue of machine types.
CATALOGUE_INTERVAL_S = 60.0
# Share of the cloud's rate that one controller uses (fraction): the holder of the fleet role needs
# most of it, the others read the catalogue.
CLOUD_RATE_SHARE = 0.75
# Largest burst, in seconds of that rate; the cloud allows two.
CLOUD_BURST_S = 1.6

# --- peers ---

# Seconds to wait for an answer from a peer.
PEER_TIMEOUT_S = 2.0
# Messages queued for a peer (count); beyond that, the oldest are dropped.
PEER_OUTBOX = 4000
# Seconds for which messages to a peer are batched. Without batches, each of three controllers
# sends and receives 112 requests a second at a cold start with 600 machines.
PEER_BATCH_WINDOW_S = 0.025
# Seconds for which updates on machines are batched unless another message is sent. Otherwise, with
# seven controllers, each changed heartbeat would cause requests to six peers.
PEER_UPDATE_WINDOW_S = 0.15
# Messages in one request to a peer (count), which bounds its size, and largest body in bytes.
PEER_BATCH = 200
PEER_BODY_BYTES = 4 * 1024 * 1024
