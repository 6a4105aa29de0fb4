"""The concurrency limits: how many runs may be on the cores at once, and how many may be started and not ended."""

from __future__ import annotations

from myrtlespar.policy.held_request import CALLING, RUNNING, WAITING_FOR_CALL, HeldRequest
from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.server_capacity import ServerCapacity
from myrtlespar.policy.settings import Settings

# Fraction of the survivable concurrency for runs on the cores and in calls together, as all calls may return at once.
MAX_SURVIVABLE_FRACTION = 0.9
MAX_LIMIT_PER_CORE = 1.2  # upper bound of the limit, as a multiple of the cores; more runs only slow each other
# Fraction of the cores that runs may take while the read delay exceeds O, the overload threshold.
READING_LATE_FRACTION = 0.5
LIMIT_RISE = 1.0  # runs added to the limit in a tick with idle cores and waiting requests
LIMIT_FALL = 0.25  # runs removed from the limit in a tick with all cores busy
IDLE_BELOW = 0.92  # busy fraction of the cores below which some count as idle
BUSY_ABOVE = 0.99  # busy fraction of the cores above which all count as busy


class ConcurrencyLimit:
    """Counts runs on the cores and runs that wait for a call, and adjusts the limits on both.

    Attributes:
        limit: Runs that may be on the cores at once; at first the number of cores, which is also its lower bound.
        on_cores: Runs that are on the cores or wait for one.
        at_calls: Runs that wait for a call to the dependency, off the cores.
        core_clock_ms: Core time that a run on the cores since the start of the server would have got.
        reserved_fraction: Fraction of the started runs that is left to another process of this server.
    """

    def __init__(self, settings: Settings, cores: int, clock: PolicyClock, capacity: ServerCapacity) -> None:
        self._settings = settings
        self._cores = cores
        self._clock = clock
        self._capacity = capacity
        self.limit = float(cores)
        self.on_cores = 0
        self.at_calls = 0
        self.core_clock_ms = 0.0
        self.reserved_fraction = 0.0

    def advance(self, step_ms: float) -> None:
        """Divide the core time of `step_ms` among the runs, without the time for which the process was stalled."""
        runs_per_core = max(1.0, (self.on_cores + self._capacity.reading_cores) / self._cores)
        self.core_clock_ms += min(step_ms, self._clock.max_step_ms) / runs_per_core

    def survivable_concurrency(self) -> float:
        """Return how many runs on the cores this server survives; fewer while it may still be warming up."""
        settings = self._settings
        speed = 1.0
        if settings.cold and settings.warm_up_ms > 0:
            warmed = (self._clock.now - self._clock.started_at) / settings.warm_up_ms
            speed = min(1.0, settings.cold_from + (1 - settings.cold_from) * warmed)
        return (1 + (settings.fall_multiple - 1) * speed) * self._cores

    def max_started_on_server(self) -> float:
        """Return how many runs may be started and not ended, in all processes of this server together."""
        return self.survivable_concurrency() * MAX_SURVIVABLE_FRACTION

    def max_started(self) -> float:
        """Return how many runs of this process may be started and not ended."""
        return self.max_started_on_server() * (1.0 - self.reserved_fraction)

    def adjust(self, busy_fraction: float, is_work_waiting: bool) -> None:
        """Raise or lower the limit, given the fraction of the cores that was busy in the last tick."""
        if busy_fraction < IDLE_BELOW and is_work_waiting:
            self.limit = min(self.limit + LIMIT_RISE, MAX_LIMIT_PER_CORE * self._cores, self.survivable_concurrency())
        elif busy_fraction > BUSY_ABOVE:
            self.limit = max(float(self._cores), self.limit - LIMIT_FALL)

    def running_limit(self, is_reading_late: bool) -> float:
        """Return how many runs may be on the cores; fewer while arrivals are read late, as runs slow down reading."""
        return READING_LATE_FRACTION * self._cores if is_reading_late else self.limit

    def enter_core(self, request: HeldRequest) -> None:
        """Record that a run starts."""
        request.state = RUNNING
        request.core_clock_start = self.core_clock_ms
        self.on_cores += 1

    def leave(self, request: HeldRequest) -> None:
        """Record that a run ends, or that it leaves its core for a call."""
        if request.state is RUNNING:
            self.on_cores -= 1
            request.core_ms += self.core_clock_ms - request.core_clock_start
        elif request.state is WAITING_FOR_CALL or request.state is CALLING:
            self.at_calls -= 1

    def return_to_core(self, request: HeldRequest) -> None:
        """Record that a run continues on the cores after its call."""
        self.at_calls -= 1
        self.enter_core(request)
