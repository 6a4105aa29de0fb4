"""Utilization of a strict limit with grants, static shares and a central counter, in a simulation.

    python -m benchmarks.fleet_beside --members 12

The demand is the same for all three: twice the limit, 80% of it at one member (calm), then 80% at another member
(moved). Then a third of the members, the busy one among them, are cut off from the rest (cut) and reconnected (healed).
The central counter is at a member of the larger side. Each request asks the counter, waits for the reply, and is
admitted if the window that ends now has capacity.
"""

from __future__ import annotations

import json
from collections import Counter
from random import Random

import click

from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.quota.usage_windows import UsageWindow
from myrtlespar.simulation.event_loop import EventLoop
from myrtlespar.simulation.limits import MemberSecond, SimulatedLimits

PHASES = {  # by phase: the first measured second of the run, and the second after the last measured one
    "calm": (6, 15),
    "moved": (17, 25),
    "cut": (29, 39),
    "healed": (46, 55),
}
HOT_SHARE = 0.8  # share of the demand that arrives at one member


class CentralCounter:
    """One counter for all members. A member that can't reach it admits nothing, as the limit is strict."""

    def __init__(self, names: list[str], limit: Limit, seed: int, hop_ms: float, max_wait_ms: float) -> None:
        self.event_loop = EventLoop()
        self.random = Random(seed)
        self.limit = limit
        self.hop_ms = hop_ms
        self.max_wait_ms = max_wait_ms
        self.names = names
        self.rates = dict.fromkeys(names, 0.0)
        self.usage_window = UsageWindow(float(limit.window_ms))
        self.starts_by_member: Counter[MemberSecond] = Counter()
        self.isolated: frozenset[str] = frozenset()
        for name in names:
            self.event_loop.call_at(0.0, self._new_request, name)

    def isolate(self, isolated: frozenset[str]) -> None:
        """Cut off these members from the counter, and reconnect all others."""
        self.isolated = isolated

    def run(self, until_ms: float) -> None:
        """Run the simulation until this virtual time (ms)."""
        self.event_loop.run(until_ms)

    def _new_request(self, name: str) -> None:
        now = self.event_loop.now
        rate = self.rates[name]
        self.event_loop.call_at(
            now + (self.random.expovariate(rate) * 1000 if rate > 0 else 20.0), self._new_request, name
        )
        if rate > 0 and name not in self.isolated:
            self.event_loop.call_at(now + self.hop_ms, self._request_admission, name, now + self.max_wait_ms)

    def _request_admission(self, name: str, deadline: float) -> None:
        now = self.event_loop.now
        if self.usage_window.in_use(now) < self.limit.amount:
            self.usage_window.record(now)
            self.starts_by_member[MemberSecond(name, int((now + self.hop_ms) / 1000))] += 1
        elif (at := self.usage_window.available_at(now, self.limit.amount)) <= deadline:
            self.event_loop.call_at(max(at, now + 1.0), self._request_admission, name, deadline)


def run_once(kind: str, members: int, per_s: float, over: float, seed: int) -> dict[str, object]:
    """Run one kind of limit (`grants`, `static`, `central`); return its utilization in each phase (1.0: all of it)."""
    names = [f"m{n}" for n in range(members)]
    limit = Limit(per_s=per_s, standing=1.0 if kind == "static" else 0.1)
    fleet: SimulatedLimits | CentralCounter = (
        CentralCounter(names, limit, seed, 1.0, 1000.0)
        if kind == "central"
        else SimulatedLimits(members, limit, GrantSettings(), seed, max_wait_ms=1000.0)
    )
    fleet.run(3000)
    isolated = frozenset(names[-(members // 3) :])
    for hot, until in ((names[0], 15_000), (names[-1], 25_000)):
        for name in names:
            fleet.rates[name] = per_s * over * (HOT_SHARE if name == hot else (1 - HOT_SHARE) / (members - 1))
        fleet.run(until)
    fleet.isolate(isolated)
    fleet.run(39_000)
    fleet.isolate(frozenset())
    fleet.run(55_000)
    starts_by_member = fleet.starts_by_member if isinstance(fleet, CentralCounter) else fleet.result.starts_by_member
    row: dict[str, object] = {"kind": kind, "members": members, "over": over, "seed": seed}
    for phase, (first, last) in PHASES.items():
        sides = [
            sum(
                starts_by_member[MemberSecond(name, second)]
                for name in names
                if (name in isolated) is side
                for second in range(first, last)
            )
            / (last - first)
            / per_s
            for side in (False, True)
        ]
        row[phase] = round(sum(sides), 3)
        if phase == "cut":
            row["cut, greater side"], row["cut, lesser side"] = (round(side, 3) for side in sides)
    return row


@click.command()
@click.option("--members", default=12, show_default=True, type=click.IntRange(3, 1000))
@click.option("--per-s", default=120.0, show_default=True, type=click.FloatRange(1, 100_000))
@click.option("--over", default=2.0, show_default=True, type=click.FloatRange(0.1, 20))
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 20))
def main(members: int, per_s: float, over: float, seeds: int) -> None:
    """Compare three ways to enforce a limit; print one JSON line per kind and seed."""
    for seed in range(1, seeds + 1):
        for kind in ("grants", "static", "central"):
            print(json.dumps(run_once(kind, members, per_s, over, seed)), flush=True)


if __name__ == "__main__":
    main()
