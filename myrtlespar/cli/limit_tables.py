"""Tables of fleet limits, for `myrtlespar fleet limits`."""

from __future__ import annotations

import time
from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from myrtlespar.cli.fleet_tables import age, ask
from myrtlespar.config import ConfigError
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.quota.budget import DRAW_AHEAD_S
from myrtlespar.quota.settings import CountedUnit, CountedWork, GrantSettings, Limit, LimitKind


def shown(addresses: Sequence[str]) -> int:
    """One row for each key and member, then the sums; 1 if a member gave no answer."""
    console, rows, status = Console(), Table(), 0
    sums: dict[str, list[int]] = {}
    for name in ("key", "member", "limit", "kind", "standing", "granted", "for", "used", "keeper"):
        rows.add_column(name)
    for address in addresses:
        found = ask(address, word=b"LIMITS")
        if isinstance(found, str):
            console.print(found)
            status = 1
            continue
        for row in found.get("keys", []):
            rows.add_row(
                row["key"],
                found["name"],
                f"{row['limit']} {row['of']}",
                row["kind"],
                str(row["standing"]),
                str(row["granted"]),
                age(row["granted_for_ms"]),
                str(row["used"]),
                row["keeper"],
            )
            total = sums.setdefault(row["key"], [row["limit"], 0, 0, 0])
            for n, name in enumerate(("granted", "standing", "used"), 1):
                total[n] += row[name]
        for kept in found.get("keeps", []):
            unknown = f", waits out {' '.join(kept['unknown'])}" if kept["unknown"] else ""
            console.print(
                f"{found['name']} keeps range {kept['range']}, epoch {kept['epoch']}, for "
                f"{age(kept['since_ms'])}{unknown}"
            )
        if found.get("behind"):
            console.print(
                f"{found['name']}: not known to go by version {found['version']} of the limits: "
                f"{' '.join(found['behind'])}"
            )
        for row in found.get("budgets", []):
            left = "unknown" if row["left"] < 0 else f"{row['left']}"
            console.print(
                f"{found['name']}: {row['key']}, period {row['period']}: {row['spent']} spent of "
                f"{row['got']} drawn, {left} of {row['limit']} left to draw; kept by {row['keeper']}"
            )
    console.print(rows)
    for key, (limit, granted, standing, used) in sorted(sums.items()):
        console.print(
            f"{key}: {granted} granted + {standing} standing of {limit}, {used} used, " f"{max(0, limit - used)} fallow"
        )
    return status


def explained(addresses: Sequence[str], name: str) -> int:
    """The last refusal of a limit at each member."""
    console, status = Console(), 0
    for address in addresses:
        found = ask(address, word=b"LIMITS")
        if isinstance(found, str):
            console.print(found)
            status = 1
            continue
        why = found.get("why", {}).get(name)
        refused, admitted = found.get("refused", {}).get(name, 0), found.get("admitted", {}).get(name, 0)
        if why is None:
            console.print(f"{found.get('name', address)}: {name} has refused nothing, {admitted} let in")
            continue
        left = why["granted_for_ms"]
        grant = (
            f"granted {why['granted']} by {why['keeper']}, for {age(left)} more"
            if left > 0
            else f"no grant: the last one from {why['keeper']} lapsed {age(-left)} before"
            if left > -1e8
            else f"never had a grant; {why['keeper']} is to keep it"
        )
        console.print(
            f"{found['name']}: {why['key']} refused {age(time.time() * 1000 - why['at'])} ago: "
            f"{why['used']} in use of {why['allowance']} that this member may use; {grant}. "
            f"{refused} refused, {admitted} let in since the start"
        )
    return status


def promises(limit: Limit, terms: GrantSettings, members: int) -> list[tuple[str, str]]:
    """Each promise of one limit in numbers."""
    pool, each = terms.split(limit, members)
    if limit.counted_unit is CountedUnit.BUDGET:
        return [
            ("limit", f"{limit.amount} starts in each {limit.period_ms / 1000:g} s of the members' clocks"),
            ("over", "0, over restarts of any or all members whose state folders are kept"),
            (
                "lost with a keeper",
                f"at most what it reserved ahead: {max(limit.amount // 100, 1)}, or twice what " "was short",
            ),
            ("lost with a member", f"what it drew ahead: {DRAW_AHEAD_S:g} s of its demand"),
            ("without a majority", "what is drawn is spent, nothing more is drawn"),
        ]
    runs = "calls to the store" if limit.counts is CountedWork.CALLS else "runs"
    what = f"starts in any {limit.window_ms} ms" if limit.counted_unit is CountedUnit.RATE else f"{runs} at once"
    if limit.kind is LimitKind.ADVISORY:
        return [("limit", f"{limit.amount} {what}"), ("promise", "none: it is counted only")]
    return [
        ("limit", f"{limit.amount} {what}"),
        (
            "over",
            f"{terms.max_excess(limit)}"
            + (
                ""
                if limit.kind is LimitKind.STRICT
                else f", for at most {terms.max_excess_duration_ms(limit):.0f} ms after a keeper's change"
            ),
        ),
        ("granted by keepers", f"{pool}"),
        ("standing share of each of so many members", f"{each} of {members}, in all {each * members}"),
        ("a part of k members cut off without a majority may use", f"k x {each}"),
        ("demand that moves has what is due to it after", f"{terms.max_reallocation_ms(limit):.0f} ms"),
        (
            "after a keeper's death its keys are granted anew after",
            f"{terms.max_leader_recovery_ms(limit):.0f} ms, " "beside what membership takes to notice",
        ),
        ("a number that is lowered holds after", f"{terms.max_lowering_ms(limit):.0f} ms; never over the greater one"),
        ("a new process uses its standing share after", f"{terms.guaranteed_share_delay_ms(limit):.0f} ms"),
    ]


def bounds(file: str) -> str:
    """Print them for all limits of a file; a fault in it is returned as one line."""
    try:
        found = read_fleet(file, "any")
    except ConfigError as error:
        return str(error)
    members = found.grants.members_most or len(found.roll.names)
    print(
        f"clocks may run fast or slow by {found.grants.drift:.1%}; grants {found.grants.grant_ms} ms, leases "
        f"{found.grants.lease_ms} ms, asks every {found.grants.ask_ms} ms"
    )
    for name, limit in found.limits.items():
        print(
            f"{name}: {limit.kind.value}"
            + (f", class {limit.cls}" if limit.cls else "")
            + (f", one for each {limit.by}" if limit.by else "")
        )
        for what, number in promises(limit, found.grants, members):
            print(f"  {what}: {number}")
    if found.repeats is not None:
        terms = found.repeats
        print(
            f"repeats: at most {terms.share:g} x first tries + {terms.burst} x {members} = "
            f"{terms.max_retries(1000, members):.0f} with 1000 first tries, whatever links fail"
        )
    if found.engine is not None:
        lease = found.grants.usable_span_ms(found.grants.usable_span_ms(found.engine.ttl_s * 1000))
        print(
            f"engine: keepers by leases of {found.engine.ttl_s} s; without it a keeper goes on for at most "
            f"{lease:.0f} ms, grants for {found.grants.grant_ms} ms more"
        )
    return ""
