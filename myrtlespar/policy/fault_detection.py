"""Detection of faults of this server: slow runs, cores that hang, runs that fail. Other servers are not judged."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.concurrency_limit import ConcurrencyLimit
from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.learning import FAST_WEIGHT, SURE_RUNS
from myrtlespar.policy.policy_clock import PolicyClock

SLOWED_PACE = 1.7  # times the usual pace: from here on this server is reported as slow
HANG_RUNS = 12  # runs of the longest class that the cores could have ended: if none moved meanwhile, they hang
FAILING_FRACTION = 0.5  # fraction of own runs failing from which on others serve a request better
PROBE_INTERVAL_MS = 500.0  # between trials while own runs, or calls to the dependency, fail


class FaultDetection:
    """Faults of this server, judged by its own runs.

    Attributes:
        is_hanging: Runs have made no progress for so long that the cores are taken to hang.
        is_slowed: Whether runs take far more core time than usual; it is logged, no decision rests on it.
    """

    def __init__(
        self,
        clock: PolicyClock,
        actions: ActionList,
        costs: CostEstimates,
        concurrency: ConcurrencyLimit,
        probe_interval_ms: float,
    ) -> None:
        self._clock = clock
        self._actions = actions
        self._costs = costs
        self._concurrency = concurrency
        self._probe_interval_ms = probe_interval_ms
        self._last_progress = 0.0
        self._last_admission = 0.0
        self._failed_fraction = 0.0
        self.is_hanging = False
        self.is_slowed = False

    def restart(self) -> None:
        """Count the time without progress from now: runs begin, or the whole process stood still."""
        self._last_progress = self._clock.now

    def note_progress(self) -> None:
        """Record that a run made progress: it ended or reached its call."""
        self._last_progress = self._clock.now
        if self.is_hanging:
            self.is_hanging = False
            self._actions.log("runs move again")

    def note_outcome(self, failed: bool) -> None:
        """Record whether a run that ended by itself failed."""
        self._failed_fraction += FAST_WEIGHT * (float(failed) - self._failed_fraction)

    def note_admission(self) -> None:
        """Record that a request was admitted; while runs fail it is the trial."""
        self._last_admission = self._clock.now

    def is_failing(self) -> bool:
        """Whether most own runs fail and it is not yet time for another trial."""
        return (
            self._failed_fraction > FAILING_FRACTION
            and self._clock.now - self._last_admission < self._probe_interval_ms
        )

    def check_pace(self) -> None:
        """Update `is_slowed` from the pace of the runs."""
        pace = self._costs.pace
        if self.is_slowed != (pace > SLOWED_PACE):
            self.is_slowed = not self.is_slowed
            self._actions.log(f"this server is {'slowed' if self.is_slowed else 'at its usual pace'}: {pace:.1f}")

    def check_progress(self, cores: int) -> None:
        """Update `is_hanging`: with fewer runs on the cores, fewer are expected to end, so it takes longer."""
        longest_ms = max(self._costs.elapsed_ms)
        if min(self._costs.runs_seen) < SURE_RUNS:
            longest_ms = max(longest_ms, max(self._costs.objectives_ms))
        busy = min(self._concurrency.on_cores, cores)
        still_ms = self._clock.now - self._last_progress
        if busy and not self.is_hanging and still_ms * busy > HANG_RUNS * longest_ms:
            self.is_hanging = True
            self._actions.log("no run moves: new work is turned away")
