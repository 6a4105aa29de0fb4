"""What the explorer's world is about: its members, limits, clocks and times."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

MEMBER_NAMES = ("a", "b", "c")
HOP_MS = 1.0  # a message's way
DISK_MS = 3.0  # until a journal is on disk
WARM_UP_MS = 900.0  # until a leader has its lease, and grants are out
ENGINE_TIMEOUT_MS = 45.0  # after which a reply of the engine is taken for lost
DEMAND_INTERVAL_MS = 11.0  # between the requests of a member's callers
CLOCK_OFFSET_MS = 1000.0  # between the clocks of one member and the next
GRANT_SETTINGS = GrantSettings(drift=0.02, ask_ms=50, grant_ms=300, lease_ms=200, ranges=1, cold_ms=500)
RATE_LIMIT = Limit(per_s=35.0, window_ms=200, standing=0.5)  # 7 a window: a pool of 4, a guaranteed share of 1 each
BOUNDED_LIMIT = Limit(per_s=35.0, window_ms=200, standing=0.5, kind=LimitKind.BOUNDED)
# a run is longer than a lease, so that the voters' silence does not cover it
CONCURRENCY_LIMIT = Limit(at_once=7, run_most_ms=450, standing=0.5)
# a sixth less, or a fifth more, at the number where a whole part moves from all guaranteed shares to the pool
LOWERED_LIMIT = Limit(per_s=25.0, before=30.0, window_ms=200, standing=0.5)
RAISED_LIMIT = Limit(per_s=30.0, before=25.0, window_ms=200, standing=0.5)
LIMIT_BEFORE_LOWERING = Limit(per_s=LOWERED_LIMIT.before, window_ms=200, standing=0.5)
LIMIT_BEFORE_RAISING = Limit(per_s=RAISED_LIMIT.before, window_ms=200, standing=0.5)
BUDGET_LIMIT = Limit(per_day=150, period_ms=2000)  # members' clocks are a second apart


@dataclass(frozen=True, slots=True)
class WorldSettings:
    """The limit of a world, its clocks and its source of leases."""

    limit: Limit = RATE_LIMIT
    clock_rates: tuple[float, float, float] = (1.0, 1.0, 1.0)  # of the members, against true time
    grant_settings: GrantSettings = GRANT_SETTINGS
    engine: bool = False  # whether an engine grants the leases
    later_limit: Limit | None = None  # version 2 of the limit, for plans that change it

    @property
    def max_in_use(self) -> int:
        """What may be in use at a time: the greater number of both versions, and the excess that is promised."""
        later_amount = self.later_limit.amount if self.later_limit else 0
        return max(self.limit.amount, later_amount) + self.grant_settings.max_excess(self.limit)


def clock(settings: WorldSettings, name: str, now: float) -> float:
    """Return what a member's clock shows at a true time."""
    index = MEMBER_NAMES.index(name)
    return now * settings.clock_rates[index] + CLOCK_OFFSET_MS * index
