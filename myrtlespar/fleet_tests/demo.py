"""`myrtlespar fleet try`: three sites of three through a cut and its healing, and what each believed when."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from myrtlespar.fleet_tests.invariants import Observation
from myrtlespar.fleet_tests.runner import print_result, play
from myrtlespar.fleet_tests.script import parse
from myrtlespar.membership.messages import MemberState
from myrtlespar.membership.quorum import FLEET, QuorumStatus

SCRIPT = """
fleet: {sites: {a: 3, b: 3, c: 3}}
load: {rate: 60, mix: {render: 0.6, fetch: 0.3, order: 0.1}, proxies: 12, retry: {most: 3, after_ms: 200}}
length_s: 20
events:
  - {at_s: 2, cut: [site a, site b], for_s: 9}
  - {at_s: 2, cut: [site a, site c], for_s: 9}
"""


def run_demo(seed: int, keep: Path | None) -> int:
    """Play it, print the beliefs. 0 only if every promise held."""
    script = parse(SCRIPT)
    done = play(script, seed, keep)
    if not done["judged"]:
        return print_result(done, seed, None)
    console = Console()
    console.print(lines(done["beliefs"], script.members))
    console.print(
        f"requests: {', '.join(f'{count} {what}' for what, count in sorted(done['outcomes'].items()))}; "
        f"{done['tries']} tries each"
    )
    for name, bound in (("standing", "standing"), ("known", "heal")):
        console.print(
            f"{name} right after at worst {done[f'{name}_ms']['worst']} ms, promised " f"{done['bounds_ms'][bound]} ms"
        )
    return print_result(done, seed, None)


def lines(beliefs: list[Observation], members: tuple[str, ...]) -> Table:
    """One row a member: when it came to each standing, and whom it held for failed in between."""
    out = Table(title="What each believed when (seconds from the script's begin)")
    for title in ("member", "standing of the fleet", "failed to it"):
        out.add_column(title)
    for name in members:
        mine = [b for b in beliefs if b.observer == name]
        stands = [b for b in mine if b.kind == "standing" and b.subject == FLEET]
        before = [b for b in stands if b.at <= 0][-1:]
        shown = [
            f"{max(0.0, b.at) / 1000:.2f} {QuorumStatus(b.state or 0).name.lower()}"
            for b in before + [b for b in stands if b.at > 0]
        ]
        failed: dict[str, list[Any]] = {}
        for belief in mine:
            if belief.kind == "member" and belief.at > 0:
                if belief.state == MemberState.FAILED:
                    failed.setdefault(belief.subject, []).append(f"{belief.at / 1000:.2f}")
                elif belief.state == MemberState.ALIVE and belief.subject in failed:
                    failed[belief.subject].append(f"-{belief.at / 1000:.2f}")
        out.add_row(name, ", ".join(shown), "  ".join(f"{who} {''.join(when)}" for who, when in sorted(failed.items())))
    return out
