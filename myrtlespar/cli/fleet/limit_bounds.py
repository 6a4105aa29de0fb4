"""Prints the bounds that the limits of a fleet file promise, for `myrtlespar fleet limits bound`."""

from __future__ import annotations

from myrtlespar.fleet.settings import FleetSettings, read_fleet
from myrtlespar.quota.budget import DRAW_AHEAD_S
from myrtlespar.quota.settings import CountedUnit, CountedWork, GrantSettings, Limit, LimitKind

Promise = tuple[str, str]  # description, and the value with its unit
EXAMPLE_FIRST_ATTEMPTS = 1000  # for which the number of retries is printed


def print_bounds(file: str) -> None:
    """Print the promises of all limits of a file.

    Raises:
        ConfigError: The file is invalid; the text names the key.
    """
    settings = read_fleet(file, "any")
    members = settings.grants.members_most or len(settings.voter_set.names)
    grants = settings.grants
    print(
        f"clock rates may be off by {grants.drift:.1%}; grants last {grants.grant_ms} ms, leases "
        f"{grants.lease_ms} ms; members ask every {grants.ask_ms} ms"
    )
    for name, limit in settings.limits.items():
        class_text = f", class {limit.cls}" if limit.cls else ""
        part_text = f", one for each {limit.by}" if limit.by else ""
        print(f"{name}: {limit.kind.value}{class_text}{part_text}")
        for description, value in promises(limit, grants, members):
            print(f"  {description}: {value}")
    _print_retry_budget(settings, members)
    _print_engine(settings)


def promises(limit: Limit, grants: GrantSettings, members: int) -> list[Promise]:
    """Return the promises of one limit."""
    if limit.counted_unit is CountedUnit.BUDGET:
        return _budget_promises(limit)
    work = "calls to the store" if limit.counts is CountedWork.CALLS else "runs"
    unit = f"starts in any {limit.window_ms} ms" if limit.counted_unit is CountedUnit.RATE else f"{work} at once"
    if limit.kind is LimitKind.ADVISORY:
        return [("limit", f"{limit.amount} {unit}"), ("promise", "none; use is only counted")]
    pool, share = grants.split(limit, members)
    return [
        ("limit", f"{limit.amount} {unit}"),
        ("exceeded by at most", _overshoot(limit, grants)),
        ("granted by keepers", f"{pool}"),
        ("standing share of each member", f"{share}; of {members} members together {share * members}"),
        ("k members that are cut off without a majority may use", f"k x {share}"),
        ("demand that moved to another member has its share after", f"{grants.max_reallocation_ms(limit):.0f} ms"),
        (
            "after a keeper's failure its keys are granted again after",
            f"{grants.max_leader_recovery_ms(limit):.0f} ms, plus the time in which membership detects the failure",
        ),
        ("a lowered limit holds after", f"{grants.max_lowering_ms(limit):.0f} ms; the old limit is never exceeded"),
        ("a new process uses its standing share after", f"{grants.guaranteed_share_delay_ms(limit):.0f} ms"),
    ]


def _overshoot(limit: Limit, grants: GrantSettings) -> str:
    if limit.kind is LimitKind.STRICT:
        return f"{grants.max_excess(limit)}"
    return (
        f"{grants.max_excess(limit)}, for at most {grants.max_excess_duration_ms(limit):.0f} ms after a keeper's change"
    )


def _budget_promises(limit: Limit) -> list[Promise]:
    return [
        ("limit", f"{limit.amount} starts in each {limit.period_ms / 1000:g} s of the members' clocks"),
        ("exceeded by at most", "0, also over restarts of any or all members that keep their state folders"),
        (
            "lost with a keeper",
            f"at most what it reserved ahead: {max(limit.amount // 100, 1)}, or twice the amount that ran short",
        ),
        ("lost with a member", f"what it drew ahead: {DRAW_AHEAD_S:g} s of its demand"),
        ("without a majority", "members may spend what they have drawn, and draw no more"),
    ]


def _print_retry_budget(settings: FleetSettings, members: int) -> None:
    budget = settings.repeats
    if budget is not None:
        print(
            f"repeats: at most {budget.share:g} x first attempts + {budget.burst} x {members} = "
            f"{budget.max_retries(EXAMPLE_FIRST_ATTEMPTS, members):.0f} with {EXAMPLE_FIRST_ATTEMPTS} first attempts, "
            "whichever links fail"
        )


def _print_engine(settings: FleetSettings) -> None:
    if settings.engine is not None:
        grants = settings.grants
        lease_ms = grants.usable_span_ms(grants.usable_span_ms(settings.engine.ttl_s * 1000))
        print(
            f"engine: keepers have leases of {settings.engine.ttl_s} s; without the engine a keeper continues for at "
            f"most {lease_ms:.0f} ms, and its grants for {grants.grant_ms} ms more"
        )
