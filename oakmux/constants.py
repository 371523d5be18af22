"""Every constant of oakmux, with its unit and its reason.

Limits and times of a deployment are not here: they come from the settings.
"""

# The paper's probe ratio: reservations per task (PAPER section 3.1 finds 1.8 as good).
PROBE_RATIO = 2.0
# Reservations that one job may hold at a time; keeps a huge array out of every queue.
MAX_RESERVATIONS_PER_JOB = 64
# Reservations queued at one machine (count); the rest is re-sampled.
MAX_QUEUE_PER_MACHINE = 64
# Seconds an unserved reservation waits before it moves to a machine with room.
RESAMPLE_S = 0.4
# Seconds for which a keeper holds room for an offer whose binding has not come: a decline ends it
# at once, but a binding may wait for its turn to be written, be refused and be written again.
OFFER_HOLD_S = 8.0
# Seconds for which a gang gathers offers before they are released.
GANG_GATHER_S = 3.0
# Seconds more for each of its tasks, and at most: machines rented for a large gang come within
# tens of seconds, and room that is held stands idle.
GANG_GATHER_TASK_S = 0.4
GANG_GATHER_MOST_S = 20.0
# Share of the time that a gang's tasks may wait for one another which is planned for: a task that
# has its image is started so long before the slowest fetch of the others may end.
GANG_WAIT_SHARE = 0.5
# Seconds of random back-off after a gang released its offers, at most.
GANG_BACKOFF_S = 2.0

# Seconds that a node's lease in the state service lives; a crash is noticed after it.
NODE_LEASE_S = 4.0
# Seconds between renewals: three may be lost before the lease ends.
NODE_RENEW_S = 1.0
# Seconds for each controller over which those that failed to raise the term try again.
TERM_SPREAD_S = 0.05
# Seconds to wait after our node key stands before claiming, so that peers can appear.
CLAIM_DELAY_S = 0.6
# Seconds without word from the state service after which we call ourselves cut off.
STATE_STALE_S = 3.0
# Seconds a watch stays open at the state service.
WATCH_BLOCK_S = 0.8
# Seconds between two watches at least: a change of another controller is known so much later.
WATCH_GAP_S = 0.06
# Share of a node's state requests that reopened watches may use (fraction).
WATCH_SHARE = 0.25
# Items per page of a list of the state service (its own limit is 1,000).
STATE_PAGE = 500
# Seconds to wait for an answer of the state service.
STATE_TIMEOUT_S = 1.5

# Seconds for which commands are gathered into one step of the core: each step has a cost of its
# own, and a start takes five steps or so.
BATCH_S = 0.01
# Seconds between two ticks of the core.
TICK_S = 0.1
# Seconds between two passes over the fleet.
FLEET_PASS_S = 1.0
# Seconds between words to the peers that we live.
ALIVE_S = 1.0
# Seconds within which peers are told once more of every machine that we hear: a fifth of the 90 s
# for which no job may wait while there is room; two messages a second to a peer with 40 machines.
VIEW_AGAIN_S = 20.0
# Seconds to wait for a peer.
PEER_TIMEOUT_S = 2.0
# Seconds to wait for a connection and for a worker's answer to direct orders.
ORDERS_TIMEOUT_S = 2.0
# Seconds to wait for the cloud.
CLOUD_TIMEOUT_S = 5.0
# Seconds that a connection attempt may take.
CONNECT_TIMEOUT_S = 1.0
# First and longest pause between failed tries, in seconds; jitter halves it at most.
BACKOFF_FIRST_S = 0.2
BACKOFF_MOST_S = 3.0

# Bytes of a body that we read (64 KiB by the protocol), and of one from the state service,
# whose lists hold 512 KiB and whose watches are without limit.
MAX_BODY = 64 * 1024
MAX_STATE_BODY = 16 * 1024 * 1024
# Connections kept open to one address for reuse (count).
POOL_PER_ADDR = 4
# Sockets kept back for our own calls (fraction of the limit).
OWN_SOCKETS_SHARE = 0.3
# Commands that may wait in the queue before users hear 503 (count).
MAX_QUEUE = 2000

# Seconds between readings of the catalogue.
CATALOGUE_S = 60.0
# Tasks in one chunk of a job's record (count); bytes one binding takes there, at most.
CHUNK_TASKS = 64
BINDING_BYTES = 110
# Tasks of a job whose bindings share a page with those of other jobs, at most (count): a larger
# job fills its own record. Bytes of a row beside its bindings: the id, the counts, the heads.
PAGE_TASKS = 16
PAGE_ROW_BYTES = 90
# Bytes that a page's rows may grow to take, at most: every change of a row writes the page anew,
# and every controller reads it.
PAGE_BYTES = 4096
# Bytes of values in one transaction of an owner: the protocol allows 64 KiB in total, and the
# conditions of a full transaction take nine.
TRANSACTION_BYTES = 48 * 1024
# Bytes of a value's limit that we leave unused, should the service count a few more than we do.
VALUE_SLACK_BYTES = 24
# Characters of an answer that a log line may hold.
LOG_TEXT = 120
# Seconds after which the owner's controller writes that a job is cancelled with one that it needs,
# if the controller that took the cancellation has not; and between its tries.
CASCADE_S = 1.0
# Seconds that an idle machine is kept.
IDLE_KEEP_S = 20.0
# Seconds between draining a machine and returning it: words to peers take far less.
DRAIN_S = 2.0
# A machine that boots longer than this many times the catalogue's time is returned.
BOOT_PATIENCE = 4.0
# A machine that boots for longer than this many times the catalogue's time is late (PROTOCOL:
# usually 0.6 to 1.5 times): of such, every second one is counted on, the others are replaced.
BOOT_LATE = 1.7
# Late or lost machines of a kind in a zone (count) from which on others are preferred, and seconds
# for which a lost one is held against it.
BOOT_TROUBLE = 3
BOOT_TROUBLE_S = 60.0
# Seconds for which a zone that had no capacity is not asked again.
NO_CAPACITY_S = 12.0
# Reports that a machine may be late with before nothing new is put on it (count).
SILENT_REPORTS = 2.0
# Multiples of the workers' lease after which a silent machine is returned.
SILENT_LEASES = 3.0
# Lists that must lack a machine, and multiples of the list's lag they must be newer by.
ABSENT_LISTS = 2
ABSENT_LAGS = 3.0
# Multiples of the list's lag between two readings of the list.
LIST_EVERY_LAGS = 0.6
# Signs in a row after which a machine is taken not to hear us (count): one that was handed over,
# or whose controller fell, goes to another controller once.
UNHEARD_MOST = 2
# Share of a zone's machines that may be deaf at a time before the way there is blamed (fraction).
DEAF_SHARE = 0.5
# Seconds between two steps of the core after which its process had stood still: it ticks ten times
# a second, and the slowest seen under load were some tenths apart.
STOOD_STILL_S = 3.0
# Seconds without a word of any peer after which we are alone: a word takes a second, and a request
# that is not answered two.
ALONE_S = 4.0
# Failed jobs in a row after which a machine is returned, and how many are remembered.
SICK_ERRORS = 3
ERRORS_KEPT = 8
# Seconds for which it must look so: the first failures of a job with a mistake look the same.
SICK_HOLD_S = 8.0
# Machines on which a job must have failed, without a task done, before the job itself is blamed:
# two sick machines at a time are rare, three tries cost little.
SUSPECT_MACHINES = 3
# First and longest pause in seconds before a failed task is tried again.
RETRY_FIRST_S = 1.0
RETRY_MOST_S = 60.0
# Seconds a task may be on a machine without a binding before it is stopped.
ORPHAN_S = 6.0
# Seconds kept between the last lease and the end of a cancellation.
CANCEL_MARGIN_S = 4.0
# Cancellations by revision that are kept to tell peers (count), at least: a controller that lacks
# more than these, 14 bytes each, hears so and gives its workers up; and how many of the last are
# told to one that does not say what it has, of an earlier version.
CANCELS_KEPT = 2000
CANCELS_UNASKED = 100
# Smallest room that counts, against rounding (share of a unit).
EPSILON = 1e-6
# Transactions of an owner that may be on their way at a time (count).
WRITES_IN_FLIGHT = 4
# Reads of jobs' records that may be on their way at a time (count); each serves many polls.
READS_IN_FLIGHT = 2
# Seconds after which a user who can't be served yet is told to come back.
RETRY_AFTER_S = 1
# Users' requests that may wait for the records (count).
MAX_WAITING = 500
# Unstarted tasks that one pass over the fleet looks at (count).
DEMAND_TASKS = 4000
# Machines asked for in one rental (the cloud's own limit).
MAX_RENT = 50
# Seconds a drain notice to a peer holds unless it is repeated.
DRAIN_NOTICE_S = 6.0
# Seconds for which a record that a machine is gone stays after it was needed.
GONE_KEEP_S = 30.0
# Rental requests without an answer are repeated this often (count).
RENT_TRIES = 5
# Rounds in which one step carries its own consequences through (count).
SETTLE_ROUNDS = 8
# Seconds' worth of its share of changes that a controller may go ahead of it for users, who else
# wait behind an owner's transaction; what was taken ahead is made up for.
USER_AHEAD_S = 2.0
# Seconds without a refusal after which users' changes may go that far ahead: the state service
# allows one second's worth in all, and all controllers start at the same moment.
USER_AHEAD_GROWS_S = 30.0
# Seconds an operation for the state service may wait for its turn before it is given up unsent.
STATE_QUEUE_S = 3.0
# Share of the limits of state service and cloud that we use (fraction), against drifting clocks.
LIMIT_SHARE = 0.9
# Connections to the state service, the cloud, each peer and all workers (count).
STATE_CONNECTIONS = 16
CLOUD_CONNECTIONS = 4
PEER_CONNECTIONS = 4
WORKER_CONNECTIONS = 96
# Messages that may wait for a peer (count); above it the oldest are dropped.
PEER_OUTBOX = 4000
# Seconds for which messages to a peer are gathered: one by one, a controller of three sent and
# received 112 a second at a cold start with 600 machines, and 47 reports.
PEER_GATHER_S = 0.025
# Seconds for which mere news of machines is gathered, unless something else goes to that peer:
# with seven controllers, each changed report was a request to six, and an answer, by itself.
PEER_NEWS_S = 0.15
# Bytes of messages' count in one request to a peer: bounds a body by number of messages.
PEER_BATCH = 200
# Bytes of a body from a peer.
PEER_BODY = 4 * 1024 * 1024
# Rounds over all controllers that the command line makes before it gives up (count).
CLI_TRIES = 3
# Seconds, beside what the victims take to save, before a job asks again for work to be stopped in
# its favour: the stop and the offer that follows take about as long.
PREEMPT_S = 4.0
# Share of the cloud's rate that one controller uses (fraction): the holder of the fleet needs most
# of it, the others read the catalogue. The cloud allows bursts of two seconds' worth.
CLOUD_SHARE = 0.75
CLOUD_BURST_S = 1.6
# Free share of a machine from which its services may be moved together with others (fraction).
MOVE_FREE = 0.5
# Seconds that a move may take before the machine is used again.
MOVE_S = 10.0
# Seconds of lost work that a victim counts for by its priority, times its level (0 to 3) squared.
VICTIM_RANK_S = 10.0
# Seconds after which a start counts even if the task is stopped (PROTOCOL, how aims are counted).
START_COUNTS_S = 30.0
# Seconds of lost work that a met aim for starting is taken to be worth.
AIM_WORTH_S = 90.0
# A fetch may take this many times its nominal time (PROTOCOL: give or take a third).
FETCH_SPREAD = 1.34
# Seconds for which offers to a job are gathered before the best are taken; peers answer sooner.
GATHER_S = 0.04
# Jobs that an owner samples machines for in one tick, at most (count).
SAMPLES_PER_TICK = 40
# Lines that get a turn beside these, should there be more (count).
SAMPLES_LOWER = 4
# Seconds between two requests to peers for changes at the state service; how many times what is
# missing is asked for in all (some can't lend); changes that a lender keeps; least that is lent.
BORROW_S = 0.3
BORROW_MORE = 2.0
LEND_KEEP = 1.0
LEND_LEAST = 0.2
# Seconds for which the ends of an array's tasks are gathered into one write, at least and at most;
# between the two as long as our even share of the rate needs for so many changes.
COALESCE_S = 1.5
COALESCE_MOST_S = 5.0
COALESCE_CHANGES = 8.0
# Seconds' worth of our even share of the state service's rate that one transaction of an owner may
# take, and the least changes it may hold: a job that ends takes two, a large gang more.
WRITES_S = 2.0
WRITES_LEAST = 4
# Seconds for which a job that its team's limit keeps back is remembered: it says so anew each time
# that it is sampled.
LIMIT_CLAIM_S = 1.0
# Seconds between two samplings of all fitting machines, with room or not, for one job.
WIDE_S = 1.6
# Seconds after which the first job of a line that found no room looks again though nothing is
# known to have changed, at most; less for urgent work: what may give way changes with time.
LINE_MOST_S = 6.4
LINE_URGENT_S = 1.6
# Share of what all teams together are guaranteed that one array is taken to have to itself: it
# counts as younger by the time that its work takes there, and by so many seconds at most.
SIZE_PART = 0.04
SIZE_MOST_S = 300.0
# GPUs that a task without any counts for there.
GPULESS_WEIGHT = 0.1
# Share of the room offered that belongs to work that waited longest, whatever its priority, and
# what may be owed to it at most (machines): a calm hour must not pay for a minute of all.
MINIMUM_SHARE = 0.1
MINIMUM_SHARE_OWED = 2.0
# Most that operators may set as that share.
MINIMUM_SHARE_LIMIT = 0.5
# Work counts as aged after this many times its class's longest aim for starting, or, without one,
# after so many seconds.
AGED_AIMS = 2.0
AGED_S = 120.0
# Seconds for which an opening stands unless its owner says it again, and seconds by which other
# room has to be ready sooner before a plan changes.
OPENING_S = 5.0
OPENING_MARGIN_S = 10.0
# Seconds between two looks for the machines of one opening: each goes through a thousand of them.
OPENING_EVERY_S = 2.0
# Seconds before an opening is ready within which nothing more is started there for others.
OPENING_SOON_S = 6.0
# What is to end before an opening is ready may take so many times its estimate.
OPENING_ERROR = 1.5
# Seconds after which room must be ready that machines are named for: further on, something else is
# more likely to end first.
OPENING_MOST_S = 120.0
# Tasks that a gang must have for an opening, seconds that it must have waited, and machines that
# it names beside those it needs, for those that die meanwhile (share).
OPENING_TASKS = 4
OPENING_AFTER_S = 5.0
OPENING_SPARE = 0.1
# Machines that a gang must need to have an opening where these are off, once it must begin; or the
# share of all that stands below, if that is less.
OPENING_MACHINES = 8.0
# Openings known at a time (count), machines that one is chosen from (count), and the share of the
# machines that all of them may name: the rest is for smaller and younger work.
OPENINGS_MOST = 64
OPENING_LOOKS = 1500
OPENING_SHARE = 0.5
# Seconds until work ends that ran longer than was estimated, as a share of what it ran, and at
# least: estimates are often wrong by half.
OVERRUN_SHARE = 0.3
OVERRUN_LEAST_S = 5.0
# Seconds between two looks at whether a role should go to a controller that has fewer.
YIELD_S = 5.0
# Share of a fetch for which a task waits for room at a machine that holds its image, and seconds
# between two reservations there meanwhile: they stay queued.
PATIENCE_SHARE = 0.4
WAIT_RESAMPLE_S = 1.0
# Parts into which the free share of a machine's CPUs and memory is divided to tell machines apart
# (count): finer steps draw fewer machines in vain, and make more classes to go through.
ROOM_LEVELS = 16
# Room that is drawn for each task that a reservation is sought for (ratio), and for how many tasks
# more, so that small jobs have a choice too: the best of it is taken. Machines drawn beyond that
# before a draw ends, with room found or not (count).
DRAW_RATIO = 1.5
DRAW_MORE = 6
DRAW_LOOKS = 24
# Machines looked at for each task that needs room made (ratio), and DRAW_LOOKS more: the cheapest
# to make room on are taken.
PREEMPT_LOOKS = 4.0
# Seconds after which work must have begun, also the largest of its class (from the operators:
# within four minutes), and shares of it after which a job, or a gang, of which nothing has started
# comes before all others of its priority: what is in its way has to end first, and runs for a
# minute or two.
BEGIN_S = 240.0
ELDER_SHARE = 0.4
ELDER_GANG_SHARE = 0.25
# Seconds within which a machine that shows room answers a gang's reservation, if it will: offers
# come with the next message; after that the room is somebody else's, and other room is asked for.
GANG_ANSWER_S = 1.0
# Rank of an operation for the state service (lower goes first; users' are 0): what says who may do
# what goes before all else, as renewals of leases do. Behind a flood of users' changes, the roles
# of a controller that fell would stay without a holder.
FIRST = -1

# --- schedules ---

# Time zones kept in memory (count): tzdata has some 600 names.
ZONES_KEPT = 700
# Seconds round an instant in which a change of clocks is looked for: none moved them further
# (Lord Howe half an hour, most an hour, a few two).
FOLD_MOST_S = 3 * 3600
# COUNT and INTERVAL of a calendar's rule at most, and instances gone through in vain (count):
# what is walked through at every start of a role.
RRULE_COUNT = 10_000
# Days within which a recurrence must have an instance, by its frequency: 29 February comes every
# eight years at most, the rarest of several years' intervals within some forty.
HORIZON_DAYS = {
    "HOURLY": 9 * 366,
    "DAILY": 9 * 366,
    "WEEKLY": 9 * 366,
    "MONTHLY": 40 * 365,
    "YEARLY": 40 * 365,
}
# Decisions that an entry's slot keeps (count), bytes of a row's note, and bytes that a slot may
# take: with a name of 80 characters, eight rows, and one note or two.
ROWS_KEPT = 6
ROW_TEXT = 24
SLOT_BYTES = 300
# Changes of entries that clients of calendars can ask for (count): above it they read all anew.
CHANGES_KEPT = 5000
# Turns shown at most by one request (count).
SHOW_TURNS = 100
# Entries whose next turn is computed in one tick (count): some 80 microseconds each; and turns
# that become due in one tick.
PLANS_PER_TICK = 150
DUE_PER_TICK = 1000
# Transactions with turns that may be on their way at a time (count).
FIRINGS_IN_FLIGHT = 4
# Rank of a turn's transaction for the state service: with the owners', behind users' changes.
FIRING_WRITE_PRIORITY = 1
# Seconds before turns of a shard are tried again after no answer or a refusal, at first.
FIRING_RETRY_S = 0.3
# Seconds between two looks at whether queued turns can go.
QUEUED_LOOK_S = 1.0
# Seconds by which the time of day may differ from the steady clock between two ticks; and for how
# long no turn is made after a larger step: it may be stepped back at once.
CLOCK_STEP_S = 2.0
CLOCK_STEP_HOLD_S = 5.0
# Turns that are over at once of which each is noted before the rest is passed over (count).
MISSED_FIRINGS = 50
# Tries of a request's transaction whose guards failed, before the user is told to come back.
DESK_TRIES = 6
# Ids tried for one turn's job (count): more than one only if an older job has the first.
ID_TRIES = 4
# Seconds that a turn may be late if it is not to be caught up with: a takeover takes a few.
NO_CATCH_UP_S = 60
# Characters of a cron table at most: some ten thousand lines.
CRONTAB_BYTES = 1024 * 1024
# Shards with room among which one is drawn for a new entry (count): requests that come together
# meet less often in one record.
SHARD_CHOICES = 4
# Characters of an id that is reserved for the jobs of turns: the longest that a job can have.
RESERVED_TEXT = 22
# Characters of the word by which a turn by hand is told from others.
WORD_TEXT = 16
# Characters of an object's ETag.
ETAG_TEXT = 64
# Entries, templates and calendars of one team at most (count); bytes of a note.
TEAM_ENTRIES = 10_000
TEAM_TEMPLATES = 500
TEAM_CALENDARS = 200
# Objects of one calendar at most (count): a list of all is one answer.
CALENDAR_OBJECTS = 2000
# Bytes of a calendar object, and of any request of a calendar's client.
DAV_BODY = 64 * 1024
# Headers of such a request (count), bytes of all of them together.
DAV_HEADERS = 100
DAV_HEADER_BYTES = 16 * 1024
# Seconds after which a client hears that its request was not served in time.
DAV_TIMEOUT_S = 8.0
# Verified tokens kept in memory (count): the salted hash is computed once for each.
TOKENS_KEPT = 1000
# Bytes of a token and of its salt.
TOKEN_BYTES = 32
SALT_BYTES = 16
NOTE_TEXT = 200
# Seconds of a catch-up window and of jitter at most: a month, an hour.
WINDOW_MOST_S = 31 * 86_400
JITTER_MOST_S = 3600
# Characters of a word in an imported entry's name; entries in one request of the command line,
# checked or stored: an answer comes within seconds also where changes are few.
SLUG_TEXT = 30
CHECK_BATCH = 40
PUT_BATCH = 8
