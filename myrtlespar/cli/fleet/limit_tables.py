"""Tables of the fleet limits in use, for `myrtlespar fleet limits` and `limits explain`."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from rich.console import Console
from rich.table import Table

from myrtlespar.cli.fleet.member_tables import duration, request_report

NEVER_GRANTED_MS = -1e8  # a remaining time below this means that there never was a grant


@dataclass(slots=True)
class KeyTotals:
    """Totals of one key over all members."""

    limit: int
    granted: int = 0
    standing: int = 0
    used: int = 0


def print_limits(addresses: Sequence[str]) -> int:
    """Print a row for each key and member, then the totals; return 1 if a member did not answer, else 0."""
    console = Console()
    table = Table()
    totals: dict[str, KeyTotals] = {}
    status = 0
    for title in ("key", "member", "limit", "kind", "standing", "granted", "for", "used", "keeper"):
        table.add_column(title)
    for address in addresses:
        report = request_report(address, command=b"LIMITS")
        if isinstance(report, str):
            console.print(report)
            status = 1
            continue
        _add_keys(table, totals, report)
        _print_notes(console, report)
    console.print(table)
    for key, row in sorted(totals.items()):
        console.print(
            f"{key}: {row.granted} granted + {row.standing} standing of {row.limit}, {row.used} used, "
            f"{max(0, row.limit - row.used)} fallow"
        )
    return status


def print_rejections(addresses: Sequence[str], name: str) -> int:
    """Print the last rejection of a limit at each member; return 1 if a member did not answer, else 0."""
    console = Console()
    status = 0
    for address in addresses:
        report = request_report(address, command=b"LIMITS")
        if isinstance(report, str):
            console.print(report)
            status = 1
        else:
            console.print(_rejection(report, name, address))
    return status


def _add_keys(table: Table, totals: dict[str, KeyTotals], report: Mapping[str, Any]) -> None:
    for row in report.get("keys", []):
        table.add_row(
            row["key"],
            report["name"],
            f"{row['limit']} {row['of']}",
            row["kind"],
            str(row["standing"]),
            str(row["granted"]),
            duration(row["granted_for_ms"]),
            str(row["used"]),
            row["keeper"],
        )
        total = totals.setdefault(row["key"], KeyTotals(row["limit"]))
        total.granted += row["granted"]
        total.standing += row["standing"]
        total.used += row["used"]


def _print_notes(console: Console, report: Mapping[str, Any]) -> None:
    """Print the shards that a member leads, voters not known to use its version of the limits, and budgets."""
    name = report.get("name")
    for shard in report.get("keeps", []):
        unknown = f", waits out {' '.join(shard['unknown'])}" if shard["unknown"] else ""
        console.print(
            f"{name} keeps range {shard['range']}, epoch {shard['epoch']}, for {duration(shard['since_ms'])}{unknown}"
        )
    if report.get("behind"):
        console.print(
            f"{name}: not known to use version {report['version']} of the limits: {' '.join(report['behind'])}"
        )
    for row in report.get("budgets", []):
        left = "unknown" if row["left"] < 0 else f"{row['left']}"
        console.print(
            f"{name}: {row['key']}, period {row['period']}: {row['spent']} spent of "
            f"{row['got']} drawn, {left} of {row['limit']} left to draw; kept by {row['keeper']}"
        )


def _rejection(report: Mapping[str, Any], name: str, address: str) -> str:
    """Return a line about the last rejection of a limit at one member."""
    rejection = report.get("why", {}).get(name)
    refused = report.get("refused", {}).get(name, 0)
    admitted = report.get("admitted", {}).get(name, 0)
    if rejection is None:
        return f"{report.get('name', address)}: {name} refused nothing, admitted {admitted}"
    return (
        f"{report['name']}: {rejection['key']} refused {duration(time.time() * 1000 - rejection['at'])} ago: "
        f"{rejection['used']} in use of {rejection['allowance']} that this member may use; {_grant(rejection)}. "
        f"{refused} refused, {admitted} admitted since the start"
    )


def _grant(rejection: Mapping[str, Any]) -> str:
    """Return a description of the grant that a rejection was based on."""
    left_ms = rejection["granted_for_ms"]
    if left_ms > 0:
        return f"granted {rejection['granted']} by {rejection['keeper']}, for {duration(left_ms)} more"
    if left_ms > NEVER_GRANTED_MS:
        return f"no grant: the last one from {rejection['keeper']} expired {duration(-left_ms)} before"
    return f"never had a grant; its keeper is {rejection['keeper']}"
