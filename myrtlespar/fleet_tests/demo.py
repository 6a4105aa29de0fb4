"""The demonstration of `myrtlespar fleet try`.

Three sites of three members each: one site is cut off from the others and reconnected. The result shows what each
member observed, and when.
"""

from __future__ import annotations

from pathlib import Path

from rich.console import Console
from rich.table import Table

from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.fleet_tests.runner import play, print_result
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
    """Play the script and print what members observed.

    Args:
        seed: The seed of all random choices.
        keep: The folder to keep logs in; None: they are deleted.

    Returns:
        The exit status: 0 if every promise held, else 1.
    """
    script = parse(SCRIPT)
    result = play(script, seed, keep)
    if not result["judged"]:
        return print_result(result, seed, None)
    console = Console()
    console.print(observation_table(result["observations"], script.members))
    console.print(
        f"requests: {', '.join(f'{count} {what}' for what, count in sorted(result['outcomes'].items()))}; "
        f"{result['tries']} tries each"
    )
    for name, bound in (("standing", "standing"), ("known", "heal")):
        console.print(
            f"{name}: right after {result[f'{name}_ms']['worst']} ms at worst, promised "
            f"{result['bounds_ms'][bound]} ms"
        )
    return print_result(result, seed, None)


def observation_table(observations: list[Observation], members: tuple[str, ...]) -> Table:
    """Return a table of each member's quorum statuses and the members it believed failed, with times."""
    table = Table(title="Beliefs of each member (seconds from the start of the script)")
    for title in ("member", "standing of the fleet", "members it believed failed"):
        table.add_column(title)
    for name in members:
        own = [observation for observation in observations if observation.observer == name]
        table.add_row(name, _quorum_text(own), _failures_text(own))
    return table


def _quorum_text(observations: list[Observation]) -> str:
    """Return the quorum statuses of one observer from the one in force at the start of the script."""
    statuses = [row for row in observations if row.kind == "standing" and row.subject == FLEET]
    before = [row for row in statuses if row.at <= 0]
    shown = before[-1:] + [row for row in statuses if row.at > 0]
    return ", ".join(f"{max(0.0, row.at) / 1000:.2f} {QuorumStatus(row.state or 0).name.lower()}" for row in shown)


def _failures_text(observations: list[Observation]) -> str:
    """Return the members that one observer believed failed, each with the start and end of that time."""
    times: dict[str, list[str]] = {}
    for row in observations:
        if row.kind != "member" or row.at <= 0:
            continue
        if row.state == MemberState.FAILED:
            times.setdefault(row.subject, []).append(f"{row.at / 1000:.2f}")
        elif row.state == MemberState.ALIVE and row.subject in times:
            times[row.subject].append(f"-{row.at / 1000:.2f}")
    return "  ".join(f"{member} {''.join(when)}" for member, when in sorted(times.items()))
