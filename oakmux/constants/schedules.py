"""Schedules: calendars, cron tables and recurring jobs."""

# --- calendars and recurrence rules ---

# Time zones kept in memory (count); tzdata has some 600 names.
CACHED_TIME_ZONES = 700
# Seconds around an instant within which a clock change is searched for. No clock change is larger:
# Lord Howe half an hour, most one hour, a few two.
CLOCK_CHANGE_MAX_S = 3 * 3600
# Largest COUNT and INTERVAL of a recurrence rule, and instances examined without a match (count):
# all of them are iterated whenever a role is acquired.
RRULE_MAX_COUNT = 10_000
# Days within which a recurrence must have an instance, by its frequency. 29 February comes every
# eight years at most; the rarest rules over intervals of years repeat within some forty.
RECURRENCE_HORIZON_DAYS = {
    "HOURLY": 9 * 366,
    "DAILY": 9 * 366,
    "WEEKLY": 9 * 366,
    "MONTHLY": 40 * 365,
    "YEARLY": 40 * 365,
}

# --- records ---

# Decisions kept in an entry's slot (count), bytes of a decision's note, and bytes of a slot:
# enough for a name of 80 characters, eight decisions, and one note or two.
DECISIONS_KEPT = 6
DECISION_NOTE_BYTES = 24
SLOT_BYTES = 300
# Changes of entries kept for calendar clients (count); a client that lacks more reads all.
CHANGES_KEPT = 5000
# Shards with capacity from which one is chosen at random for a new entry (count), so that
# concurrent requests rarely change the same record.
SHARD_CHOICES = 4

# --- firings ---

# Entries whose next firing is computed in one tick (count), at some 80 microseconds each, and due
# firings handled in one tick (count).
PLANS_PER_TICK = 150
DUE_PER_TICK = 1000
# Transactions with firings that may be in flight at a time (count).
FIRINGS_IN_FLIGHT = 4
# Priority of a firing's transaction among operations queued for the store (lower goes first): the
# same as schedulers' transactions, behind users' changes.
FIRING_WRITE_PRIORITY = 1
# Seconds before the first retry of a shard's firings after a missing answer or a refusal.
FIRING_RETRY_S = 0.3
# Seconds between two checks whether queued firings can start.
QUEUE_CHECK_INTERVAL_S = 1.0
# Seconds by which the time of day may deviate from the monotonic clock between two ticks, and
# seconds without firings after a larger step: the clock may be corrected again at once.
CLOCK_STEP_S = 2.0
CLOCK_STEP_HOLD_S = 5.0
# Missed firings recorded one by one (count); the rest is skipped.
MISSED_FIRINGS = 50
# Job ids tried for one firing (count); a second is needed only if an older job has the first.
JOB_ID_TRIES = 4
# Seconds that a firing without catch-up may be late: a role takeover takes a few.
NO_CATCH_UP_S = 60
# Largest catch-up window (s; a month) and jitter (s; an hour).
CATCH_UP_WINDOW_MAX_S = 31 * 86_400
JITTER_MAX_S = 3600
# Characters of a job id that is reserved for firings; no job id is longer.
RESERVED_ID_CHARS = 22

# --- requests ---

# Tries of a request's transaction with failing conditions (count) before the answer is 503.
REQUEST_TRIES = 6
# Firings that one request shows at most (count).
SHOWN_FIRINGS = 100
# Characters of the key that identifies a manually started firing, of an object's ETag, of a note,
# and of a word in an imported entry's name.
MANUAL_FIRING_KEY_CHARS = 16
ETAG_CHARS = 64
NOTE_CHARS = 200
SLUG_CHARS = 30
# Largest cron table in bytes: some ten thousand lines.
CRONTAB_BYTES = 1024 * 1024
# Entries, templates and calendars allowed for one team (count).
TEAM_ENTRIES = 10_000
TEAM_TEMPLATES = 500
TEAM_CALENDARS = 200
# Objects allowed in one calendar (count); a list of all of them is one answer.
CALENDAR_OBJECTS = 2000
# Entries that the command line checks or stores in one request (count), so that the answer takes
# only seconds even if the rate of changes is low.
CHECK_BATCH = 40
PUT_BATCH = 8

# --- CalDAV ---

# Largest request body in bytes, calendar objects included.
DAV_BODY_BYTES = 64 * 1024
# Headers of a request (count), and their total size in bytes.
DAV_HEADERS = 100
DAV_HEADER_BYTES = 16 * 1024
# Seconds after which a request that is not served yet is answered with a timeout error.
DAV_TIMEOUT_S = 8.0
# Verified tokens cached in memory (count), so that the salted hash is computed once for each.
CACHED_TOKENS = 1000
# Bytes of a token and of its salt.
TOKEN_BYTES = 32
SALT_BYTES = 16
