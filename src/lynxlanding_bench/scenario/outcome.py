"""Outcome of one scenario."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ScenarioOutcome:
    """What a run showed.

    Parameters
    ----------
    title : str
        Title of the scenario.
    counts : dict of str to int
        Metrics over all loads.
    violations : list of Violation
        Violated properties.
    failures : list of str
        Expectations that were not met.
    duration_s : float
        Duration of the run.
    """

    title: str
    counts: dict = dataclasses.field(default_factory=dict)
    violations: list = dataclasses.field(default_factory=list)
    failures: list = dataclasses.field(default_factory=list)
    duration_s: float = 0.0

    @property
    def passed(self):
        """Whether every property and expectation held."""
        return not self.violations and not self.failures
