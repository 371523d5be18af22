"""Service-level objectives from the settings, by job class."""

from collections.abc import Iterable

from oakmux.settings import Objective

START = "wait"
FINISH = "finished"
GUARANTEE = "guarantee"


class Objectives:
    """The objectives that scheduling aims for; all times in seconds."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        # Times within which jobs of a class should start: several if shares of jobs differ.
        self.start_s: dict[str, list[float]] = {}
        # Time within which jobs of a class should finish: the longest configured.
        self.finish_s: dict[str, float] = {}
        # Time within which a team should get its guarantee: the shortest configured.
        self.guarantee_s: float | None = None
        for objective in objectives:
            if objective.within_s is not None:
                self._add(objective.kind, objective.job_class, objective.within_s)

    def _add(self, kind: str, job_class: str | None, within_s: float) -> None:
        if kind == START and job_class:
            self.start_s.setdefault(job_class, []).append(within_s)
        elif kind == FINISH and job_class:
            self.finish_s[job_class] = max(within_s, self.finish_s.get(job_class, 0.0))
        elif kind == GUARANTEE:
            shortest = self.guarantee_s
            self.guarantee_s = within_s if shortest is None else min(shortest, within_s)
