"""Attempts per request in a full outage, with the fleet's retry budget and without it, in virtual time.

    python -m benchmarks.fleet_repeats --members 200,1000

Callers send to random members at random times and retry what was rejected, but not finally, up to three times; a part
of them, `--deaf`, retries whatever the answer was. Calm, then no member admits anything for 20 s, then calm again.
"""

from __future__ import annotations

import json
from random import Random

import click

from myrtlespar.quota.retry_budget import RetryBudget, RetryBudgetSettings
from myrtlespar.simulation.event_loop import EventLoop

REQUESTS_PER_S = 10.0  # of the callers of each member
MAX_RETRIES = 3
RETRY_AFTER_MS = 200.0
OUTAGE_BEGIN_MS = 10_000.0
OUTAGE_END_MS = 30_000.0
STOP_MS = 40_000.0
CALM_REJECTIONS = 0.05  # part of the attempts that is rejected outside the outage


class Outage:
    """One run: callers, members and their retry budgets."""

    def __init__(self, members: int, settings: RetryBudgetSettings | None, deaf: float, seed: int) -> None:
        self.engine = EventLoop()
        self.random_source = Random(seed)
        self.budgets = [RetryBudget(settings) for _ in range(members)] if settings is not None else []
        self.deaf = deaf
        self.members = members
        self.requests = 0  # sent within the outage
        self.attempts = 0  # of those
        self.counted_retries = 0  # of those, retries that a budget recorded
        self.calm = 0  # requests sent outside the outage
        self.calm_lost = 0  # of those, failed in the end
        for _ in range(members):
            self.engine.call_at(self.random_source.expovariate(REQUESTS_PER_S) * 1000, self.new)

    def new(self) -> None:
        """Send one request of a member's callers, and schedule the next one."""
        now = self.engine.now
        if now >= STOP_MS:
            return
        self.engine.call_at(now + self.random_source.expovariate(REQUESTS_PER_S) * 1000, self.new)
        self.requests += OUTAGE_BEGIN_MS <= now < OUTAGE_END_MS
        self.calm += not OUTAGE_BEGIN_MS <= now < OUTAGE_END_MS
        self.send(now, 0)

    def send(self, born: float, retries: int) -> None:
        """Make one attempt, at a random member."""
        now = self.engine.now
        out = OUTAGE_BEGIN_MS <= self.engine.now < OUTAGE_END_MS
        counted = OUTAGE_BEGIN_MS <= born < OUTAGE_END_MS
        self.attempts += counted
        budget = self.budgets[self.random_source.randrange(self.members)] if self.budgets else None
        recorded = budget is None or budget.record_attempt(retries > 0)
        self.counted_retries += counted and recorded and retries > 0
        if recorded and not out and self.random_source.random() >= CALM_REJECTIONS:
            return
        may = recorded and (budget is None or budget.may_retry(now))
        if retries < MAX_RETRIES and (may or self.random_source.random() < self.deaf):
            self.engine.call_at(now + RETRY_AFTER_MS * (1 + self.random_source.random()), self.send, born, retries + 1)
        else:
            self.calm_lost += not counted


@click.command()
@click.option("--members", default="200", show_default=True, help="Sizes, such as 200,1000.")
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--burst", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option("--deaf", default=0.0, show_default=True, type=click.FloatRange(0, 1))
@click.option("--share", default=0.05, show_default=True, type=click.FloatRange(0, 20))
def main(members: str, seeds: int, burst: int, deaf: float, share: float) -> None:
    """Print one JSON line per run."""
    for size in members.split(","):
        for seed in range(1, seeds + 1):
            for budget in (RetryBudgetSettings(share, burst), None):
                run = Outage(int(size), budget, deaf, seed)
                run.engine.run(STOP_MS + 5000)
                row = {
                    "members": int(size),
                    "seed": seed,
                    "share": budget.share if budget else None,
                    "deaf": deaf,
                    "tries_a_request": round(run.attempts / run.requests, 3),
                    "taken_a_request": round(1 + run.counted_retries / run.requests, 3),
                    "lost_in_calm": round(run.calm_lost / run.calm, 5),
                }
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
