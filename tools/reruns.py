"""Listed scenarios that fail at times, run again alone when they fail."""

from dataclasses import dataclass

# Runs of a scenario that failed, the first one included. A scenario that fails
# in each of them is no failure at times.
MAX_RUNS = 5


@dataclass(slots=True, frozen=True)
class Repeated:
    """What the runs of a listed scenario showed.

    Parameters
    ==========

    scenario : Scenario
        Listed as failing at times.
    failed, runs : int
        Number of runs that failed, and of all.
    """

    scenario: object
    failed: int
    runs: int

    @property
    def fails_always(self):
        """Whether each of the runs that are allowed has failed."""
        return self.failed == MAX_RUNS

    def describe(self):
        """Return a line that tells which scenario failed how often."""
        entry = f'{self.scenario.location} "{self.scenario.name}"'
        return f'fails at times: {entry}: {self._describe_runs()}'

    def _describe_runs(self):
        if not self.failed:
            return 'passed'
        if self.fails_always:
            return f'failed in each of {self.runs} runs'
        return f'failed in {self.failed} of {self.runs} runs'


def repeat_failed(at_times, failed, passes_alone):
    """Run each listed scenario that has failed again, until it passes.

    Parameters
    ==========

    at_times : set of Scenario
        Scenarios listed as failing at times.
    failed : set of Scenario
        Scenarios that failed in a run of all features.
    passes_alone : function
        Runs one scenario by itself; returns whether it passed.

    Returns
    =======

    list of Repeated
        One for each listed scenario, in order.
    """
    repeated = []
    for scenario in sorted(at_times, key=lambda listed: listed.location):
        if scenario in failed:
            repeated.append(_repeat(scenario, passes_alone))
            continue
        repeated.append(Repeated(scenario, failed=0, runs=1))
    return repeated


def _repeat(scenario, passes_alone):
    for run in range(1, MAX_RUNS):
        if passes_alone(scenario):
            return Repeated(scenario, failed=run, runs=run + 1)
    return Repeated(scenario, failed=MAX_RUNS, runs=MAX_RUNS)
