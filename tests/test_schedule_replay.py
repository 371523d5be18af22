"""A shortened replay of a year of firings, which must also detect unconditional writes."""

from datetime import datetime

import pytest

from oakmux.core.state.keys import PREFIX
from oakmux.schedules import dispatcher, zones
from oakmux.schedules.replay.year import replay

START = zones.instant(zones.as_wall(datetime(2026, 3, 25)), "UTC")


def test_short_replay_dispatches_every_firing_once():
    result = replay(40, 8, 3, START)
    assert result.good, result
    assert result.firings > 500
    assert result.made > 400
    assert sum(result.troubles.values()) > 30
    assert result.late_ms["p99"] < 1000


@pytest.mark.parametrize("dropped_prefix", ["own/", "s/m/"])
def test_the_replay_detects_unconditional_writes(monkeypatch, dropped_prefix):
    """Late writes of a former role holder do harm if no condition on shard, jobs and role is left.
    Dropping the condition on the role alone does no harm: the condition on the shard already
    ensures that each firing happens exactly once.
    """
    send = dispatcher.FiringDispatcher._send

    def send_without_guards(self, batch):
        call = self.context.call
        self.context.call = lambda then, kind, guards, writes, rank: call(
            then,
            kind,
            [
                g
                for g in guards
                if not g[0].startswith(PREFIX + dropped_prefix)
                and not (
                    dropped_prefix == "s/m/" and g[0].startswith((PREFIX + "j/", PREFIX + "own/"))
                )
            ],
            writes,
            rank,
        )
        try:
            send(self, batch)
        finally:
            self.context.call = call

    monkeypatch.setattr(dispatcher.FiringDispatcher, "_send", send_without_guards)
    assert replay(60, 10, 5, START).good == (dropped_prefix == "own/")
