"""The settings of the explorer's world: its members, limits, clocks and durations."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

MEMBER_NAMES = ("a", "b", "c")
HOP_MS = 1.0  # transit time of a message
DISK_MS = 3.0  # time to write a journal to disk
WARM_UP_MS = 900.0  # time by which a leader holds its lease and members hold grants
ENGINE_TIMEOUT_MS = 45.0  # time after which a member treats an unanswered request to the engine as failed
DEMAND_INTERVAL_MS = 11.0  # between two requests of a member's callers
CLOCK_OFFSET_MS = 1000.0  # between the clocks of two successive members
GRANT_SETTINGS = GrantSettings(drift=0.02, ask_ms=50, grant_ms=300, lease_ms=200, ranges=1, cold_ms=500)
# 7 starts per window: a pool of 4 for grants, and a guaranteed share of 1 for each member.
RATE_LIMIT = Limit(per_s=35.0, window_ms=200, standing=0.5)
BOUNDED_LIMIT = Limit(per_s=35.0, window_ms=200, standing=0.5, kind=LimitKind.BOUNDED)
# A run lasts longer than a lease, so that it is still in flight when the voters' silence after a restart ends.
CONCURRENCY_LIMIT = Limit(at_once=7, run_most_ms=450, standing=0.5)
# Changes between 6 and 5 starts per window, where a whole unit moves from the guaranteed share of every member to the
# pool, or back.
LOWERED_LIMIT = Limit(per_s=25.0, before=30.0, window_ms=200, standing=0.5)
RAISED_LIMIT = Limit(per_s=30.0, before=25.0, window_ms=200, standing=0.5)
LIMIT_BEFORE_LOWERING = Limit(per_s=LOWERED_LIMIT.before, window_ms=200, standing=0.5)
LIMIT_BEFORE_RAISING = Limit(per_s=RAISED_LIMIT.before, window_ms=200, standing=0.5)
BUDGET_LIMIT = Limit(per_day=150, period_ms=2000)  # clocks of successive members are 1 s, half a period, apart


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """The limit of a world, the rates of its clocks, and whether an engine grants the leases."""

    limit: Limit = RATE_LIMIT
    clock_rates: tuple[float, float, float] = (1.0, 1.0, 1.0)  # of the members' clocks, relative to true time
    grant_settings: GrantSettings = GRANT_SETTINGS
    engine: bool = False  # whether an engine grants the leases, instead of the voters
    later_limit: Limit | None = None  # version 2 of the limit, for plans that change it

    @property
    def max_in_use(self) -> int:
        """The greatest permitted use at a time: the greater amount of both versions, and the maximum excess."""
        later_amount = self.later_limit.amount if self.later_limit else 0
        return max(self.limit.amount, later_amount) + self.grant_settings.max_excess(self.limit)


def clock(settings: WorldSettings, name: str, now: float) -> float:
    """Return the time that a member's clock shows at the true time `now`."""
    index = MEMBER_NAMES.index(name)
    return now * settings.clock_rates[index] + CLOCK_OFFSET_MS * index
