"""What can go wrong in the explorer's world, at each of its steps."""

from __future__ import annotations

from itertools import permutations

from myrtlespar.model_checker.quota.world import NAMES, Fault, World


def cuts() -> list[tuple[tuple[str, str], ...]]:
    """Each member cut off both ways, out only, in only; and each pair one way."""
    out: list[tuple[tuple[str, str], ...]] = []
    for name in NAMES:
        others = [other for other in NAMES if other != name]
        away, back = tuple((name, other) for other in others), tuple((other, name) for other in others)
        out += [away + back, away, back]
    return out + [((a, b),) for a in NAMES for b in NAMES if a != b]


def faults(world: World, kinds: frozenset[str]) -> list[Fault]:
    """What can go wrong now: packets before their arrival, all else at a member's clock."""
    kind = world.next()[2]
    if kind == "packet":
        if "late" in kinds:
            return [("hold", 260.0)]
        return (
            [("lose",), ("double", 30.0), ("double", 250.0), ("hold", 100.0), ("hold", 260.0)]
            if "packets" in kinds
            else []
        )
    if kind != "tick":
        return []
    out: list[Fault] = []
    up = [name for name, agent in world.members.items() if agent is not None and name not in world.stopped]
    if "crash" in kinds:
        out += [("crash", name, back) for name in up for back in (2.0, 150.0, 1200.0)]
    if "outage" in kinds:
        out += [("outage", back, apart) for back in (2.0, 300.0) for apart in (0.0, 120.0)]
    if "stop" in kinds:
        out += [("stop", name, ms, back) for name in up for ms in (120.0, 330.0, 900.0) for back in (False, True)]
    if "cut" in kinds:
        out += [("cut", pairs, ms) for pairs in cuts() for ms in (150.0, 1000.0)]
    if "sleep" in kinds:
        out += [("sleep", name, ms) for name in up for ms in (280.0, 330.0, 700.0)]
    if "shun" in kinds:
        out += [("shun", name, other, ms) for name in up for other in NAMES if other != name for ms in (600.0,)]
    if "long quiet" in kinds:
        out += [("quiet", name, 600.0) for name in up]
    if "part" in kinds:
        out += [("part", cuts()[3 * n], name, ms) for n, name in enumerate(NAMES) for ms in (400.0, 1000.0)]
    if "away" in kinds:
        out += [("away", name, ms, both) for name in up for ms in (150.0, 400.0) for both in (True, False)]
    if "change" in kinds:
        out += [("change", names, ms) for names in permutations(NAMES) for ms in (10.0, 330.0)]
    if "believe" in kinds:
        out += [
            ("believe", name, tuple(sorted(here)), ms)
            for name in up
            for ms in (100.0, 800.0)
            for here in (set(NAMES) - {other} for other in NAMES if other != name)
        ]
        out += [("believe", name, (name,), 800.0) for name in up]
    if "demand" in kinds:
        out += [("quiet", name, ms) for name in up for ms in (150.0, 600.0)]
    return out
