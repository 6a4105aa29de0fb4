"""`myrtlespar fleet check`: runs the model checker on membership and limits."""

from __future__ import annotations

import click

QUICK_PLANS = ("single", "quick")
FULL_PLANS = {
    "members": ("late", "deaf", "double", "triples"),
    "limits": (
        "keepers",
        "lives",
        "fence",
        "shifts",
        "leases",
        "voters",
        "changes",
        "engine",
        "budgets",
        "written",
        "double",
        "triples",
    ),
}
EXIT_PROMISE_BROKEN = 1


@click.command("check")
@click.option("--quick", is_flag=True, help="One fault at every step, and two faults at coarse steps.")
@click.option("--full", is_flag=True, help="Two faults at finer steps, and three at coarse steps.")
@click.option("--planted", is_flag=True, help="Check that the explorer finds every planted bug.")
@click.option("--jobs", default=0, type=click.IntRange(0, 256), help="Number of processes; 0: one per core.")
@click.option(
    "--seconds",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0, 86400, min_open=True),
    help="Time limit for each plan (a set of fault schedules) or planted bug; when it is reached, there is no verdict.",
)
@click.option(
    "--area",
    "areas",
    multiple=True,
    type=click.Choice(["members", "limits"]),
    help="Check only this area; may be repeated.",
)
def check(quick: bool, full: bool, planted: bool, jobs: int, seconds: float, areas: tuple[str, ...]) -> int:
    """Explore membership and limits: three members under every schedule with a bounded number of faults.

    Exit status 0: every promise held. 1: a promise was broken, and the faults that led to it are printed. 3: stopped by
    the time limit, without a verdict.
    """
    import os

    from myrtlespar.model_checker.fleet import command

    jobs = jobs or os.cpu_count() or 1
    status = 0
    for area in areas or tuple(command.AREAS):
        if planted:
            area_status = command.planted(area, jobs, seconds)
        else:
            plans = [*(QUICK_PLANS if quick else ()), *(FULL_PLANS[area] if full else ())]
            area_status = command.explore_plans(area, plans or ["single"], jobs, seconds)
        if status != EXIT_PROMISE_BROKEN:
            status = area_status or status
    return status
