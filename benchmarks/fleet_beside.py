"""Use of one strict limit under grants, static shares and one central counter, side by side in virtual time.

    python -m benchmarks.fleet_beside --members 12

The same demand for each: 80% of twice the limit at one member (calm), then at another one (moved), then four members,
the busy one among them, cut off from the rest (cut), then healed. The central counter lives at a member of the greater
side; each request asks it and waits for its answer, and is let in if the last window has room.
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

PHASES = {"calm": (6, 15), "moved": (17, 25), "cut": (29, 39), "healed": (46, 55)}
HOT = 0.8


class Central:
    """One counter for all. Without it nothing is let in, as the limit is strict."""

    def __init__(self, names: list[str], limit: Limit, seed: int, hop_ms: float, hold_ms: float) -> None:
        self.engine, self.dice, self.limit, self.hop_ms, self.hold_ms = (
            EventLoop(),
            Random(seed),
            limit,
            hop_ms,
            hold_ms,
        )
        self.names, self.rates = names, dict.fromkeys(names, 0.0)
        self.meter = UsageWindow(float(limit.window_ms))
        self.starts_by_member: Counter[MemberSecond] = Counter()
        self.lone: frozenset[str] = frozenset()
        for name in names:
            self.engine.at(0.0, self._want, name)

    def isolate(self, lone: frozenset[str]) -> None:
        """These are cut off from the counter."""
        self.lone = lone

    def run(self, until_ms: float) -> None:
        """On to that time."""
        self.engine.run(until_ms)

    def _want(self, name: str) -> None:
        now, rate = self.engine.now, self.rates[name]
        self.engine.at(now + (self.dice.expovariate(rate) * 1000 if rate > 0 else 20.0), self._want, name)
        if rate > 0 and name not in self.lone:
            self.engine.at(now + self.hop_ms, self._ask, name, now + self.hold_ms)

    def _ask(self, name: str, until: float) -> None:
        now = self.engine.now
        if self.meter.in_use(now) < self.limit.amount:
            self.meter.record(now)
            self.starts_by_member[MemberSecond(name, int((now + self.hop_ms) / 1000))] += 1
        elif (at := self.meter.available_at(now, self.limit.amount)) <= until:
            self.engine.at(max(at, now + 1.0), self._ask, name, until)


def played(kind: str, members: int, per_s: float, over: float, seed: int) -> dict[str, object]:
    """One run."""
    names = [f"m{n}" for n in range(members)]
    limit = Limit(per_s=per_s, standing=1.0 if kind == "static" else 0.1)
    fleet: SimulatedLimits | Central = (
        Central(names, limit, seed, 1.0, 1000.0)
        if kind == "central"
        else SimulatedLimits(members, limit, GrantSettings(), seed, max_wait_ms=1000.0)
    )
    fleet.run(3000)
    lone = frozenset(names[-(members // 3) :])
    for hot, until in ((names[0], 15_000), (names[-1], 25_000)):
        for name in names:
            fleet.rates[name] = per_s * over * (HOT if name == hot else (1 - HOT) / (members - 1))
        fleet.run(until)
    fleet.isolate(lone)
    fleet.run(39_000)
    fleet.isolate(frozenset())
    fleet.run(55_000)
    starts_by_member = fleet.starts_by_member if isinstance(fleet, Central) else fleet.result.starts_by_member
    row: dict[str, object] = {"kind": kind, "members": members, "over": over, "seed": seed}
    for phase, (first, last) in PHASES.items():
        sides = [
            sum(
                starts_by_member[MemberSecond(name, second)]
                for name in names
                if (name in lone) is side
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
    """Print one JSON line a kind and seed."""
    for seed in range(1, seeds + 1):
        for kind in ("grants", "static", "central"):
            print(json.dumps(played(kind, members, per_s, over, seed)), flush=True)


if __name__ == "__main__":
    main()
