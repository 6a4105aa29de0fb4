"""How close each guarantee of membership comes to its bound: the worst value over many seeds of demanding scripts.

    python -m benchmarks.fleet_tight --seeds 40

Runs in the simulation; the invariant checks measure the values. A ratio over 1 is a broken guarantee; one under 0.5
shows that the bound is loose.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import click

from myrtlespar.fleet_tests.script import parse
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.simulation.runner import play

NINE_MEMBERS = "fleet: {sites: {a: 3, b: 3, c: 3}}\nlength_s: %g\nevents:\n"
WORST_LINKS = "  - {at_s: 0, link: [all, all], drop: 0.2, delay_ms: 50, jitter_ms: 150}\n"
PAIRS_OF_SITES = (("a", "b"), ("a", "c"), ("b", "c"))
SCRIPTS = {  # by the name of the case, which begins with the invariant: figure, name of its bound, script
    "failure known, a crash, links at the worst guaranteed quality": (
        "detect_ms",
        "detect",
        NINE_MEMBERS % 14 + WORST_LINKS + "  - {at_s: 2, kill: b2}\n",
    ),
    "failure known, two of three crash": (
        "detect_ms",
        "standing",
        "fleet: {sites: {a: 3}}\nlength_s: 14\nevents:\n"
        + WORST_LINKS
        + "  - {at_s: 2, kill: a2}\n  - {at_s: 2, kill: a3}\n",
    ),
    "standing right, no packet of one member arrives": (
        "standing_ms",
        "standing",
        NINE_MEMBERS % 14 + "  - {at_s: 1, cut: [a1, all], one_way: true}\n",
    ),
    "standing right, a three-way cut, links at the worst guaranteed quality": (
        "standing_ms",
        "standing",
        NINE_MEMBERS % 16
        + WORST_LINKS
        + "".join(f"  - {{at_s: 2, cut: [site {x}, site {y}]}}\n" for x, y in PAIRS_OF_SITES),
    ),
    "presence known, after a cut, links at the worst guaranteed quality": (
        "known_ms",
        "heal",
        NINE_MEMBERS % 24
        + WORST_LINKS
        + "".join(f"  - {{at_s: 1, cut: [site {x}, site {y}], for_s: 12}}\n" for x, y in PAIRS_OF_SITES),
    ),
    "presence known, packets of one member arrive again": (
        "known_ms",
        "heal",
        NINE_MEMBERS % 24 + WORST_LINKS + "  - {at_s: 1, cut: [a1, all], for_s: 12, one_way: true}\n",
    ),
}


def run_script(job: tuple[str, int]) -> tuple[str, float, float, list[str]]:
    """Run one script; return its name, worst value, bound, and broken invariants."""
    name, seed = job
    figure, bound, text = SCRIPTS[name]
    done = play(parse(text), seed)
    return name, done[figure]["worst"] or 0.0, done["bounds_ms"][bound], done["broken"]


def pause_causes_failure(job: tuple[int, int]) -> tuple[int, bool]:
    """Pause a member; return the length in ms, and whether any member declared it failed meanwhile."""
    ms, seed = job
    script = parse(NINE_MEMBERS % 9 + f"  - {{at_s: 2, pause: b2, for_s: {ms / 1000}}}\n")
    return ms, bool(play(script, seed)["counts"].get("returned"))


@click.command()
@click.option("--seeds", default=40, show_default=True, type=click.IntRange(1, 1000))
@click.option("--jobs", default=8, show_default=True, type=click.IntRange(1, 256))
def main(seeds: int, jobs: int) -> None:
    """Print one line per script. The exit status is 1 if a guarantee was broken."""
    any_broken = False
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(run_script, [(name, seed) for name in SCRIPTS for seed in range(1, seeds + 1)]))
        for name in SCRIPTS:
            rows_of_script = [row for row in rows if row[0] == name]
            worst = max(row[1] for row in rows_of_script)
            bound = rows_of_script[0][2]
            broken = [line for row in rows_of_script for line in row[3]]
            any_broken = any_broken or bool(broken)
            print(
                f"{name}: worst {worst:.0f} ms of {bound} ms, ratio {worst / bound:.2f}, broken {len(broken)}"
                + (f", such as {broken[0]}" if broken else "")
            )
        pauses = list(
            pool.map(
                pause_causes_failure, [(ms, seed) for ms in range(1000, 3000, 100) for seed in range(1, seeds + 1)]
            )
        )
    shortest_ms = min((ms for ms, failed in pauses if failed), default=0)
    guaranteed_ms = MembershipSettings().pause_ms()
    any_broken = any_broken or 0 < shortest_ms <= guaranteed_ms
    print(
        f"no failure during a pause: shortest pause that caused one {shortest_ms} ms, "
        f"guaranteed none up to {guaranteed_ms:.0f} ms, "
        f"ratio {guaranteed_ms / shortest_ms if shortest_ms else 0:.2f}"
    )
    sys.exit(int(any_broken))


if __name__ == "__main__":
    main()
