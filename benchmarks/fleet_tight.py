"""How near to its bound each guarantee of membership comes: the worst of many seeds of demanding scripts.

    python -m benchmarks.fleet_tight --seeds 40

Simulated, measured as by the invariants. A ratio over 1 is a broken guarantee; under 0.5 the bound is loose.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

import click

from myrtlespar.fleet_tests.script import parse
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.simulation.runner import play

NINE_MEMBERS = "fleet: {sites: {a: 3, b: 3, c: 3}}\nlength_s: %g\nevents:\n"
POOR_LINKS = "  - {at_s: 0, link: [all, all], drop: 0.2, delay_ms: 50, jitter_ms: 150}\n"
PAIRS_OF_SITES = (("a", "b"), ("a", "c"), ("b", "c"))
SCRIPTS = {  # by promise: figure, bound's name, script
    "failure known, a crash, links as bad as promises allow": (
        "detect_ms",
        "detect",
        NINE_MEMBERS % 14 + POOR_LINKS + "  - {at_s: 2, kill: b2}\n",
    ),
    "failure known, two of three crash": (
        "detect_ms",
        "standing",
        "fleet: {sites: {a: 3}}\nlength_s: 14\nevents:\n"
        + POOR_LINKS
        + "  - {at_s: 2, kill: a2}\n  - {at_s: 2, kill: a3}\n",
    ),
    "standing right, one is heard by none": (
        "standing_ms",
        "standing",
        NINE_MEMBERS % 14 + "  - {at_s: 1, cut: [a1, all], one_way: true}\n",
    ),
    "standing right, three ways, links as bad as promises allow": (
        "standing_ms",
        "standing",
        NINE_MEMBERS % 16
        + POOR_LINKS
        + "".join(f"  - {{at_s: 2, cut: [site {x}, site {y}]}}\n" for x, y in PAIRS_OF_SITES),
    ),
    "presence known, after a cut, links as bad as promises allow": (
        "known_ms",
        "heal",
        NINE_MEMBERS % 24
        + POOR_LINKS
        + "".join(f"  - {{at_s: 1, cut: [site {x}, site {y}], for_s: 12}}\n" for x, y in PAIRS_OF_SITES),
    ),
    "presence known, one heard by none is heard again": (
        "known_ms",
        "heal",
        NINE_MEMBERS % 24 + POOR_LINKS + "  - {at_s: 1, cut: [a1, all], for_s: 12, one_way: true}\n",
    ),
}


def run_script(job: tuple[str, int]) -> tuple[str, float, float, list[str]]:
    """Run one script: its name, its worst value, its bound, and the broken invariants."""
    name, seed = job
    figure, bound, text = SCRIPTS[name]
    done = play(parse(text), seed)
    return name, done[figure]["worst"] or 0.0, done["bounds_ms"][bound], done["broken"]


def fails_when_paused(job: tuple[int, int]) -> tuple[int, bool]:
    """Whether any member took a pause of this length for a failure."""
    ms, seed = job
    script = parse(NINE_MEMBERS % 9 + f"  - {{at_s: 2, pause: b2, for_s: {ms / 1000}}}\n")
    return ms, bool(play(script, seed)["counts"].get("returned"))


@click.command()
@click.option("--seeds", default=40, show_default=True, type=click.IntRange(1, 1000))
@click.option("--jobs", default=8, show_default=True, type=click.IntRange(1, 256))
def main(seeds: int, jobs: int) -> None:
    """Print one line per guarantee. Status 1 if one was broken."""
    bad = False
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(run_script, [(name, seed) for name in SCRIPTS for seed in range(1, seeds + 1)]))
        for name in SCRIPTS:
            rows_of_script = [row for row in rows if row[0] == name]
            worst = max(row[1] for row in rows_of_script)
            bound = rows_of_script[0][2]
            broken = [line for row in rows_of_script for line in row[3]]
            bad = bad or bool(broken)
            print(
                f"{name}: worst {worst:.0f} ms of {bound} ms, ratio {worst / bound:.2f}, broken {len(broken)}"
                + (f", such as {broken[0]}" if broken else "")
            )
        lengths = list(
            pool.map(fails_when_paused, [(ms, seed) for ms in range(1000, 3000, 100) for seed in range(1, seeds + 1)])
        )
    shortest = min((ms for ms, failed in lengths if failed), default=0)
    pause = MembershipSettings().pause_ms()
    bad = bad or 0 < shortest <= pause
    print(
        f"silence taken for no failure: the shortest that was, {shortest} ms, promised none up to {pause:.0f} ms, "
        f"ratio {pause / shortest if shortest else 0:.2f}"
    )
    sys.exit(int(bad))


if __name__ == "__main__":
    main()
