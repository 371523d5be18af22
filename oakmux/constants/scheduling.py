"""Sampling, placement, gangs, backfill, preemption and the order of queues."""

# --- sampling ---

# Reservations for each pending task (ratio): the probe ratio of batch sampling, where ratios above
# 1.8 bring no further gain.
PROBE_RATIO = 2.0
# Reservations of one job at a time (count); keeps a huge array from filling every queue.
MAX_RESERVATIONS_PER_JOB = 64
# Seconds that a reservation waits before it moves to a machine with free capacity.
RESAMPLE_S = 0.4
# Seconds between two samples that include machines without free capacity, for one job.
FULL_SAMPLE_INTERVAL_S = 1.6
# Seconds after which the first job of a queue without capacity samples again at the latest, even
# if no change is known: which tasks may be preempted changes with time. Urgent jobs do so sooner.
QUEUE_RESAMPLE_MAX_S = 6.4
QUEUE_RESAMPLE_URGENT_S = 1.6
# Behind a first job without capacity: sizes of jobs that are tried at a time, and jobs of which
# the first that fits is taken (count).
SIZES_BEHIND_FIRST = 16
JOBS_BEHIND_FIRST = 64
# Seconds for which a machine is kept at a time for the first job of a queue if it starves while
# others pass it over: less than the 90 s for which no job may wait beside free capacity.
PASSED_OVER_RESERVE_S = 60.0
# Jobs for which a scheduler samples machines in one tick (count), and further queues from which it
# takes one job each (count).
SAMPLED_JOBS_PER_TICK = 40
SAMPLED_EXTRA_QUEUES = 4
# Seconds for which a job's offers are collected before the best are taken; peers answer sooner.
OFFER_WINDOW_S = 0.04
# Steps into which the free share of a machine's CPUs and memory is divided to form capacity
# classes (count). Finer steps sample fewer unsuitable machines but add classes to search.
CAPACITY_LEVELS = 16
# Free capacity sampled for each task (ratio), and tasks added to the sample (count), so that small
# jobs have a choice too; the best machines are chosen.
SAMPLE_RATIO = 1.5
SAMPLE_EXTRA_TASKS = 6
# Machines examined beyond those before a sample ends, with or without capacity (count).
SAMPLE_EXTRA_MACHINES = 24
# Share of the fetch time for which a task waits for capacity on a machine that has its image, and
# seconds between its reservations there in the meantime, which stay queued.
IMAGE_WAIT_SHARE = 0.4
IMAGE_WAIT_RESAMPLE_S = 1.0
# Multiples of the nominal time that a fetch may take: times vary by up to a third.
FETCH_TIME_FACTOR = 1.34
# Seconds for which a job counts as blocked by its team's limit; each sampling renews this.
LIMIT_CLAIM_TTL_S = 1.0

# --- gangs ---

# Seconds for which a gang collects offers before it releases them.
GANG_GATHER_S = 3.0
# Seconds added for each task, and the limit of the total: machines rented for a large gang boot
# within tens of seconds, while held capacity is wasted.
GANG_GATHER_TASK_S = 0.4
GANG_GATHER_MAX_S = 20.0
# Seconds within which a machine with free capacity answers a gang's reservation: offers come with
# the next message. Later, another job has the capacity, and the gang tries other machines.
GANG_ANSWER_S = 1.0
# Planned share of the time for which tasks of a gang may wait for one another: a task that has its
# image starts that long before the slowest fetch of the others may end.
GANG_WAIT_SHARE = 0.5
# Largest random backoff (s) after a gang releases its offers.
GANG_BACKOFF_S = 2.0

# --- backfill reservations ---

# Seconds until a backfill reservation expires unless its scheduler renews it.
BACKFILL_RESERVATION_TTL_S = 5.0
# Seconds by which other machines must be free earlier to replace those of a plan.
BACKFILL_MARGIN_S = 10.0
# Seconds between two plans for one gang; each examines up to BACKFILL_CANDIDATES machines.
BACKFILL_PLAN_INTERVAL_S = 2.0
# Seconds before a reservation's start in which no other job's tasks start on its machines.
BACKFILL_FREEZE_S = 6.0
# Safety factor on a task's estimate when it must end before a reservation's start.
BACKFILL_ESTIMATE_FACTOR = 1.5
# Seconds within which the machines of a reservation must become free; for later times, other
# machines are likely to be free earlier.
BACKFILL_HORIZON_S = 120.0
# Tasks that a gang must have to get a reservation (count), and seconds that it must have waited.
BACKFILL_MIN_TASKS = 4
BACKFILL_MIN_WAIT_S = 5.0
# Machines reserved beyond those needed, as spares for failures (share).
BACKFILL_SPARE_SHARE = 0.1
# Machines that a starving gang must need to get a reservation where reservations are disabled
# (count); or BACKFILL_FLEET_SHARE of all machines, if that is less.
BACKFILL_MIN_MACHINES = 8.0
# Reservations at a time (count), candidate machines of a plan (count), and share of the fleet that
# all reservations together may hold: the rest is for smaller and younger jobs.
BACKFILL_MAX_RESERVATIONS = 64
BACKFILL_CANDIDATES = 1500
BACKFILL_FLEET_SHARE = 0.5
# Expected remaining time of a task that runs longer than estimated: a share of its run time so
# far, and at least this many seconds. Estimates are often wrong by half.
OVERRUN_SHARE = 0.3
OVERRUN_MIN_S = 5.0

# --- preemption ---

# Seconds, in addition to the victims' save time, before a job requests preemption again: the stop
# and the following offer take about as long.
PREEMPTION_RETRY_S = 4.0
# Machines examined for each task that needs preemption (ratio), and SAMPLE_EXTRA_MACHINES more;
# the machines with the lowest preemption cost are chosen.
PREEMPTION_CANDIDATE_RATIO = 4.0
# Preemption cost of a victim's priority (s of lost work), times its level squared.
VICTIM_PRIORITY_COST_S = 10.0
# Lost work (s) that is acceptable to meet a start objective.
OBJECTIVE_WORTH_S = 90.0
# Seconds of running after which a start counts towards objectives even if the task is stopped.
START_COUNTS_S = 30.0

# --- order of queues ---

# Seconds within which every job is required to start, including the largest of its class.
START_LIMIT_S = 240.0
# Shares of START_LIMIT_S after which a job, or a gang, without any started task precedes all
# others of its priority. Tasks in its way have to end first, and run for a minute or two.
STARVATION_SHARE = 0.4
STARVATION_GANG_SHARE = 0.25
# Multiples of its class's longest start objective after which a job counts as aged, and the
# seconds that apply to a class without one.
AGED_OBJECTIVES = 2.0
AGED_S = 120.0
# Share of all teams' guarantees that one array is assumed to use. Its age is reduced by the time
# that its work takes there, by ARRAY_AGE_REDUCTION_MAX_S (s) at most.
ARRAY_SHARE = 0.04
ARRAY_AGE_REDUCTION_MAX_S = 300.0
# GPUs that a CPU-only task counts for in this calculation (count).
CPU_TASK_GPUS = 0.1
# Share of the offered capacity for the jobs that have waited longest, whatever their priority.
MINIMUM_SHARE = 0.1
# Largest capacity owed to them (machines): quiet times must not accumulate a claim on all
# capacity later.
MINIMUM_SHARE_DEBT_MAX = 2.0
# Highest minimum share that operators may configure.
MINIMUM_SHARE_LIMIT = 0.5

# --- failures ---

# Machines on which a job must fail, with no task done, before the failures are attributed to the
# job instead of the machines (count): two faulty machines at a time are rare, three tries cheap.
SUSPECT_MACHINES = 3
# Rounds of failures after which a job starts one task at a time, also with fewer machines (count),
# and seconds in which failures count as one round.
SUSPECT_ROUNDS = 2
FAILURE_ROUND_S = 1.0
# Seconds for which a task of a suspect job must run to clear the job: at least, at most, and in
# multiples of the longest run that ended in a failure. With RETRY_MAX_S, the most is below the
# 90 s for which no job may wait beside free capacity.
CLEARING_RUN_MIN_S = 10.0
CLEARING_RUN_MAX_S = 20.0
CLEARING_RUN_FACTOR = 2.0
# Seconds between two examinations of the running tasks of a suspect job.
SUSPECT_EXAMINED_S = 2.0
# Seconds after which a suspect job starts one more task although the last one has neither failed
# nor run for long enough: its machine may hang.
SUSPECT_START_INTERVAL_S = 30.0
# Seconds for which a job's tasks are not started on a machine on which one failed: less than the
# 90 s for which no job may wait beside free capacity.
EXCLUSION_S = 60.0
# Seconds for which a failure counts, and machines remembered for each job (count). A job that
# fails everywhere is retried every RETRY_MAX_S and stays suspect.
FAILURE_MEMORY_S = 600.0
MAX_FAILED_MACHINES = 32
# Backoff before a failed task is retried (s): first and largest, the most doublings between them
# (count), and seconds without a failure after which it begins anew.
RETRY_FIRST_S = 1.0
RETRY_MAX_S = 60.0
RETRY_DOUBLINGS = 6
RETRY_RESET_S = 120.0
