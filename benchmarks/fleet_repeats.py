"""Attempts per request in a full outage, with and without the fleet's retry budget, in a simulation.

    python -m benchmarks.fleet_repeats --members 200,1000

Callers send requests to random members at random times. They retry a rejected request up to three times if the
rejection invites a retry; if it does not, they retry all the same with the probability `--deaf`. There are 10 s without
an outage, then 20 s in which no member admits anything, then 10 s without an outage again.
"""

from __future__ import annotations

import json
from random import Random

import click

from myrtlespar.quota.retry_budget import RetryBudget, RetryBudgetSettings
from myrtlespar.simulation.event_loop import EventLoop

REQUESTS_PER_S = 10.0  # requests per second that arrive per member
MAX_RETRIES = 3
RETRY_AFTER_MS = 200.0
OUTAGE_BEGIN_MS = 10_000.0
OUTAGE_END_MS = 30_000.0
STOP_MS = 40_000.0
CALM_REJECTIONS = 0.05  # share of the attempts rejected outside the outage


class OutageSimulation:
    """Callers, members and their retry budgets in one run.

    Without `settings` there is no retry budget. `unconditional_retry_share` is the probability that a caller retries
    although the rejection does not invite it to.
    """

    def __init__(
        self, members: int, settings: RetryBudgetSettings | None, unconditional_retry_share: float, seed: int
    ) -> None:
        self.event_loop = EventLoop()
        self.random = Random(seed)
        self.budgets = [RetryBudget(settings) for _ in range(members)] if settings is not None else []
        self.unconditional_retry_share = unconditional_retry_share
        self.members = members
        self.requests = 0  # requests whose first attempt was within the outage
        self.attempts = 0  # attempts of requests that began within the outage
        self.accepted_retries = 0  # attempts among these that were retries and accepted by the retry budget
        self.calm_requests = 0  # requests whose first attempt was outside the outage
        self.calm_failures = 0  # requests that began outside the outage and were never admitted
        for _ in range(members):
            self.event_loop.call_at(self.random.expovariate(REQUESTS_PER_S) * 1000, self.send_request)

    def send_request(self) -> None:
        """Begin one request, and schedule the next one."""
        now = self.event_loop.now
        if now >= STOP_MS:
            return
        self.event_loop.call_at(now + self.random.expovariate(REQUESTS_PER_S) * 1000, self.send_request)
        self.requests += OUTAGE_BEGIN_MS <= now < OUTAGE_END_MS
        self.calm_requests += not OUTAGE_BEGIN_MS <= now < OUTAGE_END_MS
        self.send_attempt(now, 0)

    def send_attempt(self, first_attempt_at: float, retries: int) -> None:
        """Send one attempt of a request to a random member, and schedule a retry if the caller makes one."""
        now = self.event_loop.now
        outage_now = OUTAGE_BEGIN_MS <= self.event_loop.now < OUTAGE_END_MS
        began_in_outage = OUTAGE_BEGIN_MS <= first_attempt_at < OUTAGE_END_MS
        self.attempts += began_in_outage
        budget = self.budgets[self.random.randrange(self.members)] if self.budgets else None
        recorded = budget is None or budget.record_attempt(retries > 0)
        self.accepted_retries += began_in_outage and recorded and retries > 0
        if recorded and not outage_now and self.random.random() >= CALM_REJECTIONS:
            return
        may_retry = recorded and (budget is None or budget.may_retry(now))
        if retries < MAX_RETRIES and (may_retry or self.random.random() < self.unconditional_retry_share):
            self.event_loop.call_at(
                now + RETRY_AFTER_MS * (1 + self.random.random()), self.send_attempt, first_attempt_at, retries + 1
            )
        else:
            self.calm_failures += not began_in_outage


@click.command()
@click.option("--members", default="200", show_default=True, help="Sizes of fleets, such as 200,1000.")
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--burst", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option("--deaf", default=0.0, show_default=True, type=click.FloatRange(0, 1))
@click.option("--share", default=0.05, show_default=True, type=click.FloatRange(0, 20))
def main(members: str, seeds: int, burst: int, deaf: float, share: float) -> None:
    """Print one JSON line per run, with the retry budget and without it."""
    for size in members.split(","):
        for seed in range(1, seeds + 1):
            for budget in (RetryBudgetSettings(share, burst), None):
                run = OutageSimulation(int(size), budget, deaf, seed)
                run.event_loop.run(STOP_MS + 5000)
                row = {
                    "members": int(size),
                    "seed": seed,
                    "share": budget.share if budget else None,
                    "deaf": deaf,
                    "tries_a_request": round(run.attempts / run.requests, 3),
                    "taken_a_request": round(1 + run.accepted_retries / run.requests, 3),
                    "lost_in_calm": round(run.calm_failures / run.calm_requests, 5),
                }
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
