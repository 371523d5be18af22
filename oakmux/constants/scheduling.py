"""Sampling, placement, gangs, backfill, preemption and the order of queues."""

# --- sampling ---

# Reservations for each pending task (ratio): the probe ratio of batch sampling, where 1.8 was
# found to serve as well as any higher one (PAPER section 3.1).
PROBE_RATIO = 2.0
# Reservations that one job may hold at a time (count): keeps a huge array out of every queue.
MAX_RESERVATIONS_PER_JOB = 64
# Seconds that a reservation waits before it moves to a machine with free capacity.
RESAMPLE_S = 0.4
# Seconds between two samples that include machines without free capacity, for one job.
FULL_SAMPLE_INTERVAL_S = 1.6
# Seconds after which the first job of a queue that found no capacity samples again at the latest,
# though no change is known: what may be preempted changes with time. Urgent jobs do so sooner.
QUEUE_RESAMPLE_MAX_S = 6.4
QUEUE_RESAMPLE_URGENT_S = 1.6
# Jobs that a scheduler samples machines for in one tick (count), and queues beyond these of which
# one job each is sampled for.
SAMPLED_JOBS_PER_TICK = 40
SAMPLED_EXTRA_QUEUES = 4
# Seconds for which offers to a job are gathered before the best are taken; peers answer sooner.
OFFER_WINDOW_S = 0.04
# Steps into which the free share of a machine's CPUs and memory is divided to form capacity
# classes (count). Finer steps sample fewer machines in vain but make more classes to search.
CAPACITY_LEVELS = 16
# Free capacity that is sampled for each task (ratio), and for how many tasks more, so that small
# jobs have a choice too: the best machines are taken.
SAMPLE_RATIO = 1.5
SAMPLE_EXTRA_TASKS = 6
# Machines looked at beyond those before a sample ends, with or without capacity (count).
SAMPLE_EXTRA_MACHINES = 24
# Share of the fetch time for which a task waits for capacity on a machine that has its image, and
# seconds between two reservations there meanwhile, which stay queued.
IMAGE_WAIT_SHARE = 0.4
IMAGE_WAIT_RESAMPLE_S = 1.0
# Multiples of the nominal time that a fetch may take (PROTOCOL: give or take a third).
FETCH_TIME_FACTOR = 1.34
# Seconds for which a job is remembered to be held back by its team's limit; it is reported anew
# each time that it is sampled for.
LIMIT_CLAIM_TTL_S = 1.0

# --- gangs ---

# Seconds for which a gang gathers offers before they are released.
GANG_GATHER_S = 3.0
# Seconds more for each task, and in all at most: machines rented for a large gang come up within
# tens of seconds, while capacity that is held is wasted.
GANG_GATHER_TASK_S = 0.4
GANG_GATHER_MAX_S = 20.0
# Seconds within which a machine that shows capacity answers a gang's reservation: offers come with
# the next message. After that another job has the capacity, and other machines are asked.
GANG_ANSWER_S = 1.0
# Share of the time that tasks of a gang may wait for one another which is planned for. A task that
# has its image is started so long before the slowest fetch of the others may end.
GANG_WAIT_SHARE = 0.5
# Seconds of random back-off after a gang released its offers, at most.
GANG_BACKOFF_S = 2.0

# --- backfill reservations ---

# Seconds until a backfill reservation expires unless its scheduler repeats it.
BACKFILL_RESERVATION_TTL_S = 5.0
# Seconds by which other machines must be free sooner before a plan changes.
BACKFILL_MARGIN_S = 10.0
# Seconds between two plans for one gang; each looks at up to BACKFILL_CANDIDATES machines.
BACKFILL_PLAN_INTERVAL_S = 2.0
# Seconds before a reservation's start within which nothing is started there for other jobs.
BACKFILL_FREEZE_S = 6.0
# Multiples of its estimate that a task may run and is still expected to end before the start.
BACKFILL_ESTIMATE_FACTOR = 1.5
# Seconds within which the machines of a reservation must be free: later than that, others are
# likely to be free sooner.
BACKFILL_HORIZON_S = 120.0
# Tasks that a gang must have to get a reservation (count), and seconds that it must have waited.
BACKFILL_MIN_TASKS = 4
BACKFILL_MIN_WAIT_S = 5.0
# Machines reserved beyond those needed, for those that fail meanwhile (share).
BACKFILL_SPARE_SHARE = 0.1
# Machines that a starving gang must need to get a reservation where these are switched off
# (count); or BACKFILL_FLEET_SHARE of all, if that is less.
BACKFILL_MIN_MACHINES = 8.0
# Reservations at a time (count), candidates that a plan chooses from (count), and share of the
# fleet that all reservations may name: the rest is for smaller and younger jobs.
BACKFILL_MAX_RESERVATIONS = 64
BACKFILL_CANDIDATES = 1500
BACKFILL_FLEET_SHARE = 0.5
# Expected remaining seconds of a task that runs longer than estimated, as a share of its run time
# so far, and at least: estimates are often wrong by half.
OVERRUN_SHARE = 0.3
OVERRUN_MIN_S = 5.0

# --- preemption ---

# Seconds, beyond what the victims need to save, before a job requests preemption again: the stop
# and the offer that follows take about as long.
PREEMPTION_RETRY_S = 4.0
# Machines looked at for each task that needs preemption (ratio), and SAMPLE_EXTRA_MACHINES more;
# those where it costs least are taken.
PREEMPTION_CANDIDATE_RATIO = 4.0
# Seconds of lost work that a victim counts for by its priority, times its level squared.
VICTIM_PRIORITY_COST_S = 10.0
# Seconds of lost work that meeting a start objective is worth.
OBJECTIVE_WORTH_S = 90.0
# Seconds of running after which a start counts even if the task is stopped (PROTOCOL, how
# objectives are counted).
START_COUNTS_S = 30.0

# --- order of queues ---

# Seconds within which every job must have started, also the largest of its class (the operators
# require four minutes).
START_LIMIT_S = 240.0
# Shares of it after which a job, or a gang, of which nothing has started precedes all others of
# its priority. What is in its way has to end first, and runs for a minute or two.
STARVATION_SHARE = 0.4
STARVATION_GANG_SHARE = 0.25
# Multiples of its class's longest start objective after which a job counts as aged, or, without an
# objective, seconds.
AGED_OBJECTIVES = 2.0
AGED_S = 120.0
# Share of all teams' guarantees that one array is taken to have to itself. It counts as younger by
# the time that its work takes there, by so many seconds at most.
ARRAY_SHARE = 0.04
ARRAY_AGE_REDUCTION_MAX_S = 300.0
# GPUs that a task without any counts for in that (count).
CPU_TASK_GPUS = 0.1
# Share of the offered capacity that goes to the jobs that waited longest, whatever their priority.
MINIMUM_SHARE = 0.1
# What may be owed to them at most (machines): quiet times must not accumulate a claim on all
# capacity later.
MINIMUM_SHARE_DEBT_MAX = 2.0
# Highest minimum share that operators may configure.
MINIMUM_SHARE_LIMIT = 0.5

# --- failures ---

# Machines on which a job must have failed, with no task done, before the job is blamed instead of
# the machines (count): two faulty machines at a time are rare, and three tries cost little.
SUSPECT_MACHINES = 3
# Seconds before a failed task is retried: at first, and at most.
RETRY_FIRST_S = 1.0
RETRY_MAX_S = 60.0
