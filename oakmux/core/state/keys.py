"""Keys of the records in the store.

========================= ============================================================
``j/<job>``               a job: its state, team and specification
``t/<job>/<number>``      a task block: bindings and completed tasks of consecutive tasks
``p/<team>/<number>``     a binding batch: the task blocks of many small jobs of a team
``own/<role>``            the controller that holds a role (a team or the fleet)
``n/<controller>``        exists while a controller's lease is alive
``gone/<machine>``        exists once a machine is known to be terminated
``version/<controller>``  the latest record format that a controller can read
``term``                  the highest allocated term
``types``                 the machine types of the cloud
``format``                the record format that all controllers write
========================= ============================================================
"""

PREFIX = "ox/"

JOB = "j"
TASK_BLOCK = "t"
BINDING_BATCH = "p"
ROLE = "own"
CONTROLLER = "n"
TERMINATION = "gone"
VERSION = "version"
TERM = "term"
MACHINE_TYPES = "types"
RECORD_FORMAT = "format"

TERM_KEY = PREFIX + TERM
# Lets a controller that starts during a cloud outage read the machine types.
TYPES_KEY = PREFIX + MACHINE_TYPES
FORMAT_KEY = PREFIX + RECORD_FORMAT


def split_key(key: str) -> tuple[str, str]:
    """Split a key into the kind of its record and the part after the kind."""
    kind, _, suffix = key.removeprefix(PREFIX).partition("/")
    return kind, suffix


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{PREFIX}{JOB}/{job_id}"


def block_key(job_id: str, number: int) -> str:
    """Return the key of the record of a job's task block."""
    return f"{PREFIX}{TASK_BLOCK}/{job_id}/{number}"


def batch_key(name: str) -> str:
    """Return the key of a binding batch, by its name (team/number)."""
    return f"{PREFIX}{BINDING_BATCH}/{name}"


def role_key(role: str) -> str:
    """Return the key that records which controller holds a role."""
    return f"{PREFIX}{ROLE}/{role}"


def controller_key(controller_id: str) -> str:
    """Return the key that exists while a controller's lease is alive."""
    return f"{PREFIX}{CONTROLLER}/{controller_id}"


def termination_key(machine: str) -> str:
    """Return the key that records that a machine is terminated."""
    return f"{PREFIX}{TERMINATION}/{machine}"


def version_key(controller_id: str) -> str:
    """Return the key of the latest format that a controller can read; the key is never deleted."""
    return f"{PREFIX}{VERSION}/{controller_id}"
