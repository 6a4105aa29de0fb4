"""Detection of faults of this server: slow runs, hanging cores, failing runs. Other servers are not monitored."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.concurrency_limit import ConcurrencyLimit
from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.learning import FAST_WEIGHT, MIN_OBSERVATIONS
from myrtlespar.policy.policy_clock import PolicyClock

SLOWED_THRESHOLD = 1.7  # multiple of the usual core time above which this server is logged as slowed
# The cores are taken to hang after no progress for the time in which they could do this many runs of the slowest class.
HANG_DETECTION_RUNS = 12
FAILING_FRACTION = 0.5  # fraction of failing runs above which requests are better served by other servers
# Between trial requests while most runs fail, and between trial calls while most calls to the dependency fail.
PROBE_INTERVAL_MS = 500.0


class FaultDetection:
    """Detects faults of this server from its own runs.

    Attributes:
        is_hanging: Whether runs have made no progress for so long that the cores are taken to hang.
        is_slowed: Whether runs take far more core time than usual; only logged, not used in decisions.
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

    def restart_progress_timer(self) -> None:
        """Measure the time without progress from now on: the first run starts, or the whole process was stalled."""
        self._last_progress = self._clock.now

    def note_progress(self) -> None:
        """Record that a run made progress: it ended, or left its core for a call."""
        self._last_progress = self._clock.now
        if self.is_hanging:
            self.is_hanging = False
            self._actions.log("cores no longer hang: a run made progress")

    def note_outcome(self, failed: bool) -> None:
        """Record whether a run failed; stopped runs are not counted."""
        self._failed_fraction += FAST_WEIGHT * (float(failed) - self._failed_fraction)

    def note_admission(self) -> None:
        """Record that a request was admitted; while most runs fail, it is the trial request."""
        self._last_admission = self._clock.now

    def is_failing(self) -> bool:
        """Return whether most runs fail and the next trial request is not due yet."""
        return (
            self._failed_fraction > FAILING_FRACTION
            and self._clock.now - self._last_admission < self._probe_interval_ms
        )

    def update_slowed(self) -> None:
        """Update `is_slowed` from the current slowdown of runs."""
        slowdown = self._costs.slowdown
        if self.is_slowed != (slowdown > SLOWED_THRESHOLD):
            self.is_slowed = not self.is_slowed
            self._actions.log(
                f"this server is {'slowed' if self.is_slowed else 'at its usual speed'}: "
                f"runs take {slowdown:.1f} times their usual core time"
            )

    def update_hanging(self, cores: int) -> None:
        """Update `is_hanging`; with fewer runs on the cores fewer are expected to end, so detection takes longer."""
        longest_ms = max(self._costs.elapsed_ms)
        if min(self._costs.runs_seen) < MIN_OBSERVATIONS:
            longest_ms = max(longest_ms, max(self._costs.objectives_ms))
        busy = min(self._concurrency.on_cores, cores)
        no_progress_ms = self._clock.now - self._last_progress
        if busy and not self.is_hanging and no_progress_ms * busy > HANG_DETECTION_RUNS * longest_ms:
            self.is_hanging = True
            self._actions.log("cores hang: no run makes progress, new requests are rejected")
