"""Agreement between all controllers on the record format during an upgrade."""

from typing import Any

from oakmux.core.context import Context
from oakmux.core.leadership.retry import RetryTimer
from oakmux.core.messages import Transaction, Write
from oakmux.core.state.formats import tasks_per_block
from oakmux.core.state.keys import FORMAT_KEY, version_key
from oakmux.logs import event


class FormatNegotiation:
    """Records the latest format that this controller can read; switches to the latest common one.

    The version key of a controller has no lease, because a new process permanently replaces the
    previous one. So once all keys show that a format can be read, no process remains that can't
    read it or that writes an earlier format.
    """

    def __init__(self, context: Context, retry: RetryTimer) -> None:
        self.context = context
        self.retry = retry
        self.in_flight = False

    def tick(self) -> None:
        """Write this controller's version, or switch the format, if needed."""
        replica, controller_id = self.context.replica, self.context.controller_id
        if self.in_flight or replica.format >= replica.known_format:
            return
        if replica.versions.get(controller_id, 0) < replica.known_format:
            self._write((version_key(controller_id), replica.known_format, None), [])
            return
        controller_ids = [
            controller_id,
            *(member.controller_id for member in self.context.settings.peers),
        ]
        common_format = min(replica.versions.get(other_id, 0) for other_id in controller_ids)
        if common_format > replica.format and controller_id == min(
            [controller_id, *replica.live_controllers]
        ):
            # The number of tasks per block stays as first recorded.
            tasks_per_record = replica.tasks_per_record or tasks_per_block(
                self.context.facts.store.value_kb
            )
            condition = (FORMAT_KEY, replica.format_revision)
            self._write((FORMAT_KEY, [common_format, tasks_per_record], None), [condition])

    def _write(self, write: Write, conditions: list[tuple[str, int]]) -> None:
        self.in_flight = True
        self.context.call(
            lambda status, result: self._on_written(write, status, result),
            Transaction,
            conditions,
            [write],
            0,
        )

    def _on_written(self, write: Write, status: int, result: Any) -> None:
        self.in_flight = False
        if status == 200:
            key, value, _ = write
            self.context.replica.apply(key, value, result[0])
            event("version_recorded", key=key, value=value)
        else:  # if another controller wrote first, the watch delivers its write
            self.retry.back_off()
