"""The rows of docs/CAPACITY.md: what each role uses at a size, computed from fitted lines."""

from collections.abc import Callable
from typing import NamedTuple

from tools.capacity.series import Fit
from tools.capacity.size import Size

# Growth limits are searched up to this multiple of the size.
MAX_GROWTH = 64.0
# Bisection steps in the search for a growth limit.
BISECTION_STEPS = 40

BUILT = "built"
DESIGNED = "designed"
MISSING = "missing"

KEEPER = "Controller as keeper (hears workers)"
OWNER = "Controller as owner (of teams' jobs)"
FLEET = "Controller as fleet holder"
FRONT = "Controller as front (users)"
WHOLE = "Controller as a whole"
STATE = "State service"
CLOUD = "Cloud"
WORKER = "Worker"
PEERS = "Links between controllers"
TOOLS = "Operators' tools and configuration"
ROLES = (KEEPER, OWNER, FLEET, FRONT, WHOLE, STATE, CLOUD, WORKER, PEERS, TOOLS)

SizeFunction = Callable[[Size], float]


class Row(NamedTuple):
    """One quantity of a role: a fitted line's value at `variable`, times a rate or count `factor`.

    Without a series, the quantity follows from the protocol or the settings, and is `factor`.
    """

    role: str
    quantity: str
    unit: str
    series: str | None
    variable: SizeFunction | None
    factor: SizeFunction
    sum_text: str
    budget: SizeFunction | None
    mechanism: str
    status: str
    # Series whose highest value is the budget: the highest rate reached under any offered load.
    budget_series: str | None = None

    def limit(self, size: Size, fits: dict[str, Fit]) -> float | None:
        """Return the budget; None if there is none."""
        if self.budget_series is not None:
            return fits[self.budget_series].highest
        return None if self.budget is None else self.budget(size)

    def value(self, size: Size, fits: dict[str, Fit]) -> float:
        """Return the quantity at a size."""
        if self.series is None or self.variable is None:
            return self.factor(size)
        return fits[self.series].value_at(self.variable(size)) * self.factor(size)

    def extrapolated(self, size: Size, fits: dict[str, Fit]) -> bool:
        """Whether the size is beyond the measured points."""
        return (
            self.series is not None
            and self.variable is not None
            and fits[self.series].beyond(self.variable(size))
        )

    def growth_limit(self, size: Size, fits: dict[str, Fit]) -> float | None:
        """Return the multiple of the size at which the budget is reached; None without a budget
        or beyond MAX_GROWTH.
        """
        budget = self.limit(size, fits)
        if budget is None:
            return None
        low, high = 0.0, MAX_GROWTH
        if self.value(size.grown(high), fits) <= budget:
            return None
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            if self.value(size.grown(middle), fits) > budget:
                high = middle
            else:
                low = middle
        return high


def times_one(_: Size) -> float:
    """Return 1, the factor of a row whose quantity is the line's value."""
    return 1.0


def _cores_budget(size: Size) -> float:
    return size.budget.controller_cores


def _memory_budget(size: Size) -> float:
    return size.budget.controller_mb


def _peer_count(size: Size) -> float:
    return size.target.controllers - 1


def _reports_per_controller(size: Size) -> float:
    """Reports per second at one controller."""
    return size.reports_per_s / size.target.controllers


def _changed_reports(size: Size) -> float:
    """Reports per second, of all workers, that change which tasks run."""
    return 2 * size.target.starts


ROWS = (
    # --- keeper ---
    Row(
        KEEPER,
        "reading reports",
        "cores",
        "report_parse_ms",
        lambda s: s.tasks_per_worker,
        lambda s: _reports_per_controller(s) / 1000,
        "line(tasks a worker) × reports a second here",
        _cores_budget,
        "reports go to one controller each; batches of 10 ms",
        BUILT,
    ),
    Row(
        KEEPER,
        "changed reports in the core",
        "cores",
        "keeper_report_ms",
        lambda s: s.workers_per_controller,
        lambda s: _changed_reports(s) / s.target.controllers / 1000,
        "line(workers heard) × changed reports a second here",
        _cores_budget,
        "what changed is looked at, nothing else",
        BUILT,
    ),
    Row(
        KEEPER,
        "requests in: reports",
        "requests/s",
        None,
        None,
        _reports_per_controller,
        "workers / report_s + 2 × starts, over the controllers",
        None,
        "even spread by 421 and by next node",
        BUILT,
    ),
    Row(
        KEEPER,
        "connections of workers",
        "sockets",
        None,
        None,
        lambda s: s.workers_per_controller,
        "workers / controllers",
        lambda s: 0.7 * s.budget.controller_sockets,
        "one connection a worker; 30 % of the sockets are kept for own calls",
        BUILT,
    ),
    Row(
        KEEPER,
        "connections of a lost zone's workers, all at one controller",
        "sockets",
        None,
        None,
        lambda s: s.workers_per_controller + s.target.zone_workers,
        "workers / controllers + workers of a zone",
        lambda s: 0.7 * s.budget.controller_sockets,
        "refused connections go on to the next controller",
        BUILT,
    ),
    # --- owner ---
    Row(
        OWNER,
        "a tick that samples, spread over ten a second",
        "cores",
        "sampling_ms",
        lambda s: s.target.workers,
        lambda s: 10 / 1000,
        "line(workers) × 10 ticks",
        _cores_budget,
        "samples drawn from an index; 40 jobs a tick",
        BUILT,
    ),
    Row(
        OWNER,
        "a tick while jobs wait",
        "cores",
        "waiting_ms",
        lambda s: s.assumed.waiting_jobs,
        lambda s: 10 / 1000,
        "line(jobs that wait) × 10 ticks",
        _cores_budget,
        "queues by shape of the job; only their heads are tried",
        BUILT,
    ),
    Row(
        OWNER,
        "starts and ends, evenly owned (with keeping)",
        "cores",
        "load_cores",
        lambda s: s.target.starts / s.target.controllers,
        times_one,
        "line(starts a second / controllers)",
        _cores_budget,
        "an owner for each team",
        BUILT,
    ),
    Row(
        OWNER,
        "starts and ends of one hot team (with keeping)",
        "cores",
        "hot_team_cores",
        lambda s: s.target.starts * s.assumed.hot_team_share,
        times_one,
        "line(starts a second × the hot team's share)",
        _cores_budget,
        "one owner a team; a team is not split",
        BUILT,
    ),
    Row(
        OWNER,
        "placing the largest gang",
        "s",
        "gang_ms",
        lambda s: s.target.largest_gang,
        lambda s: 1 / 1000,
        "line(tasks of the largest gang)",
        lambda s: s.budget.urgent_s,
        "gathered in one zone, bound in one transaction",
        BUILT,
    ),
    Row(
        OWNER,
        "changes of the largest gang's one transaction",
        "changes",
        "gang_changes",
        lambda s: s.target.largest_gang,
        times_one,
        "line(tasks of the largest gang)",
        lambda s: 12.0,
        "64 tasks to a record; all records in one transaction",
        BUILT,
    ),
    Row(
        OWNER,
        "a tick with all teams at one owner",
        "cores",
        "teams_ms",
        lambda s: s.target.teams,
        lambda s: 10 / 1000,
        "line(teams) × 10 ticks",
        _cores_budget,
        "roles are balanced over the controllers",
        BUILT,
    ),
    Row(
        OWNER,
        "a tick that samples, by zones",
        "cores",
        "zones_ms",
        lambda s: s.target.zones,
        lambda s: 10 / 1000,
        "line(zones) × 10 ticks",
        _cores_budget,
        "a bitmap for each zone and class of room",
        BUILT,
    ),
    Row(
        OWNER,
        "starts of one-task jobs alike, of one hot team",
        "starts/s",
        None,
        None,
        lambda s: s.target.starts * s.assumed.hot_team_share,
        "starts a second × the hot team's share; budget: the most of `alike_starts`",
        None,
        "room that was asked for counts as taken for the owner's other jobs",
        BUILT,
        "alike_starts",
    ),
    # --- fleet ---
    Row(
        FLEET,
        "a pass over the fleet a second",
        "cores",
        "fleet_pass_ms",
        lambda s: s.target.workers,
        lambda s: 1 / 1000,
        "line(workers) × 1 pass",
        _cores_budget,
        "one holder; what it does follows from the records",
        BUILT,
    ),
    # --- front ---
    Row(
        FRONT,
        "submissions at the peak",
        "cores",
        "submissions_ms",
        lambda s: s.assumed.submissions_peak / s.target.controllers,
        lambda s: 1 / 1000,
        "line(submissions a second / controllers)",
        _cores_budget,
        "any controller takes any job",
        BUILT,
    ),
    Row(
        FRONT,
        "questions about unfinished jobs",
        "cores",
        "queries_ms",
        lambda s: s.assumed.queries / s.target.controllers,
        lambda s: 1 / 1000,
        "line(questions a second / controllers)",
        _cores_budget,
        "one comparison serves many questions",
        BUILT,
    ),
    # --- whole ---
    Row(
        WHOLE,
        "memory: finished jobs",
        "MB",
        "history_mb",
        lambda s: s.finished_jobs,
        times_one,
        "line(jobs a day × days kept)",
        _memory_budget,
        "archive of finished jobs, many in a value",
        MISSING,
    ),
    Row(
        WHOLE,
        "memory: running tasks",
        "MB",
        "live_mb",
        lambda s: s.target.running_tasks,
        times_one,
        "line(running tasks)",
        _memory_budget,
        "a replica of all records in each controller",
        BUILT,
    ),
    Row(
        WHOLE,
        "memory: view of the workers",
        "MB",
        "machines_mb",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        _memory_budget,
        "every controller knows every worker",
        BUILT,
    ),
    Row(
        WHOLE,
        "processor time to take the records at a start",
        "s",
        "history_s",
        lambda s: s.finished_jobs,
        times_one,
        "line(jobs a day × days kept)",
        lambda s: s.assumed.cold_start_s,
        "archive of finished jobs, many in a value",
        MISSING,
    ),
    Row(
        WHOLE,
        "bytes of the watch",
        "bytes/s",
        "event_bytes",
        lambda s: s.target.starts,
        times_one,
        "line(starts a second)",
        None,
        "every controller follows all records",
        BUILT,
    ),
    Row(
        WHOLE,
        "the whole process, peak minute (scale run)",
        "cores",
        "scale_controller_cores",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        _cores_budget,
        "reports, news and changes gathered into batches; a cell in each region",
        DESIGNED,
    ),
    Row(
        WHOLE,
        "memory of the whole process, no history (scale run)",
        "MB",
        "scale_controller_mb",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        _memory_budget,
        "bounded queues; one replica",
        BUILT,
    ),
    Row(
        WHOLE,
        "sockets (scale run)",
        "sockets",
        "scale_controller_sockets",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        lambda s: s.budget.controller_sockets,
        "one connection a worker; pools bounded for each address",
        BUILT,
    ),
    # --- state service ---
    Row(
        STATE,
        "changes, jobs of one task",
        "changes/s",
        "single_task_changes",
        lambda s: s.target.starts,
        times_one,
        "line(starts a second)",
        lambda s: s.budget.state_changes,
        "pages: many small jobs' bindings in one value",
        BUILT,
    ),
    Row(
        STATE,
        "changes, arrays of ten",
        "changes/s",
        "array_changes",
        lambda s: s.target.starts,
        times_one,
        "line(starts a second)",
        lambda s: s.budget.state_changes,
        "pages: many small jobs' bindings in one value",
        BUILT,
    ),
    Row(
        STATE,
        "requests: watches",
        "requests/s",
        None,
        None,
        lambda s: 0.25 * 0.9 * s.budget.state_requests,
        "a quarter of the share of requests that controllers use",
        lambda s: s.budget.state_requests,
        "the gap between watches follows the limit",
        BUILT,
    ),
    Row(
        STATE,
        "bytes of records of running tasks",
        "bytes",
        "live_bytes",
        lambda s: s.target.running_tasks,
        times_one,
        "line(running tasks)",
        None,
        "a record a job and one for each 64 tasks",
        BUILT,
    ),
    Row(
        STATE,
        "bytes of records of finished jobs",
        "bytes",
        "history_bytes",
        lambda s: s.finished_jobs,
        times_one,
        "line(jobs a day × days kept)",
        None,
        "archive of finished jobs, many in a value",
        MISSING,
    ),
    Row(
        STATE,
        "bytes of the watch to all controllers",
        "bytes/s",
        "event_bytes",
        lambda s: s.target.starts,
        lambda s: s.target.controllers,
        "line(starts a second) × controllers",
        None,
        "a cell in each region",
        DESIGNED,
    ),
    Row(
        STATE,
        "changes, the scale run's mix",
        "changes/s",
        "scale_changes",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        lambda s: s.budget.state_changes,
        "pages: many small jobs' bindings in one value",
        BUILT,
    ),
    Row(
        STATE,
        "requests, the scale run's mix",
        "requests/s",
        "scale_state_requests",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        lambda s: s.budget.state_requests,
        "paced by each controller's share of the limit; a cell in each region",
        DESIGNED,
    ),
    # --- cloud ---
    Row(
        CLOUD,
        "requests to list all workers once",
        "requests",
        None,
        None,
        lambda s: s.target.workers / 500,
        "workers / 500 a page",
        None,
        "one holder of the fleet reads the list",
        BUILT,
    ),
    Row(
        CLOUD,
        "rentals for a lost zone",
        "requests",
        None,
        None,
        lambda s: s.target.zone_workers / 50,
        "workers of a zone / 50 a request",
        None,
        "several requests of the most at a time",
        BUILT,
    ),
    # --- worker ---
    Row(
        WORKER,
        "bytes of reports",
        "bytes/s",
        "report_bytes",
        lambda s: s.tasks_per_worker,
        lambda s: s.reports_per_s / s.target.workers,
        "line(tasks a worker) × reports a second of a worker",
        lambda s: s.budget.worker_bytes,
        "one report at a time, to one controller",
        BUILT,
    ),
    # --- peers ---
    Row(
        PEERS,
        "news of workers taken by a controller",
        "cores",
        "views_ms",
        lambda s: _changed_reports(s) * _peer_count(s) / s.target.controllers,
        lambda s: 1 / 1000,
        "line(workers changed a second at all peers)",
        _cores_budget,
        "full mesh: all tell all; a cell in each region divides it",
        DESIGNED,
    ),
    Row(
        PEERS,
        "news of workers sent by a controller",
        "bytes/s",
        "view_bytes",
        lambda s: s.tasks_per_worker,
        lambda s: _changed_reports(s) / s.target.controllers * _peer_count(s),
        "line(tasks a worker) × changed reports here × peers",
        None,
        "full mesh: all tell all; a cell in each region divides it",
        DESIGNED,
    ),
    Row(
        PEERS,
        "messages sent for a changed report",
        "messages",
        "peer_sends",
        lambda s: s.target.controllers,
        times_one,
        "line(controllers)",
        None,
        "gathered for 150 ms, many to a request",
        BUILT,
    ),
    Row(
        PEERS,
        "bytes of heartbeats sent by a controller",
        "bytes/s",
        "heartbeat_bytes",
        lambda s: s.workers_per_controller,
        _peer_count,
        "line(workers heard) × peers",
        None,
        "one a second to each peer",
        BUILT,
    ),
    Row(
        PEERS,
        "bytes of all links (scale run)",
        "bytes/s",
        "scale_peers_bytes",
        lambda s: s.target.workers,
        times_one,
        "line(workers)",
        None,
        "full mesh: all tell all; a cell in each region divides it",
        DESIGNED,
    ),
    # --- tools and configuration ---
    Row(
        TOOLS,
        "time until a changed team limit is in force everywhere",
        "s",
        None,
        None,
        lambda s: 6.0 * s.target.controllers,
        "a restart of each controller, one after the other, 6 s each",
        lambda s: s.budget.config_s,
        "versioned, guarded records of configuration",
        MISSING,
    ),
    Row(
        TOOLS,
        "changes of configuration",
        "changes/s",
        None,
        None,
        lambda s: s.target.config_changes_a_day / 86_400,
        "changes a day / 86,400 s",
        lambda s: s.budget.state_changes,
        "versioned, guarded records of configuration",
        MISSING,
    ),
)
