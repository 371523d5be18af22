"""The generated capacity document and the measurements that it is made from."""

import msgspec
import pytest
from click.testing import CliRunner

from tools.capacity import __main__ as capacity
from tools.capacity.cell import Cell, cpu_job
from tools.capacity.series import Point, Series, fit, write_series
from tools.capacity.size import read_size
from tools.capacity.table import ROWS


def series(*points: tuple[float, float]) -> Series:
    """Return a series with these points."""
    return Series("name", "x", "y", "unit", "", "", "", [Point(*point) for point in points])


def test_a_linear_fit_reports_its_quality():
    line = fit(series((1, 3), (2, 5), (3, 7), (4, 9)))
    assert (line.slope, line.intercept, line.residual) == (2, 1, 0)
    assert line.value_at(10) == 21
    assert line.beyond(10)
    assert not line.beyond(4)
    assert fit(series((1, 3), (2, 5), (3, 7), (4, 5))).residual == pytest.approx(1.6 / 7)
    with pytest.raises(ValueError, match="at least 4"):
        fit(series((1, 1), (2, 2), (3, 3)))


# Guards the page: figures are never typed by hand.
def test_the_page_says_what_the_files_say(tmp_path):
    run = CliRunner()
    assert run.invoke(capacity.main, ["page", "--check"]).exit_code == 0
    for path in capacity.FOLDER.glob("*.json"):
        (tmp_path / path.name).write_bytes(path.read_bytes())
    size = capacity.FOLDER / capacity.SIZE_FILE
    (tmp_path / capacity.SIZE_FILE).write_text(size.read_text())
    name = next(row.series for row in ROWS if row.series is not None)
    changed = msgspec.json.decode((tmp_path / f"{name}.json").read_bytes(), type=Series)
    points = [Point(point.x, 2 * point.y) for point in changed.points]
    write_series(tmp_path, msgspec.structs.replace(changed, points=points))
    result = run.invoke(capacity.main, ["page", "--check", "--folder", str(tmp_path)])
    assert result.exit_code == 1
    assert "disagree" in result.output


def test_a_capacity_limit_is_where_growth_reaches_the_budget():
    size = read_size(capacity.FOLDER / capacity.SIZE_FILE)
    row = next(row for row in ROWS if row.quantity == "connections of workers")
    at = row.growth_limit(size, {})
    assert at is not None
    assert row.value(size.grown(at), {}) == pytest.approx(row.limit(size, {}))
    assert row.value(size.grown(0.99 * at), {}) < row.limit(size, {})


def test_the_cell_that_is_measured_runs_jobs_to_their_end():
    cell = Cell(4, run_s=2.0)
    cell.run(4.0)
    for _ in range(6):
        cell.submit(cpu_job("team-0", 3, 2.0))
    cell.run(8.0)
    jobs = cell.core.context.replica.jobs.values()
    assert cell.starts == 18
    assert {job.state for job in jobs} == {"done"}
