"""Tables of members' views, for `myrtlespar fleet status` and `watch`."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

STATE_SYMBOLS = {"alive": ".", "suspect": "?", "failed": "X", "left": "-", "self": "o"}
CHUNK_BYTES = 65536
WATCH_TIMEOUT_S = 1.0
SHOWN_HASH_CHARS = 6
MS_PER_S = 1000
MS_PER_MIN = 60_000


def request_report(address: str, timeout_s: float = 3.0, command: bytes = b"MEMBERS") -> dict[str, Any] | str:
    """Return a member's report, requested from its management address; if there is none, an error text."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return f"{address}: expected HOST:PORT"
    data = b""
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.sendall(command + b"\n")
            while chunk := sock.recv(CHUNK_BYTES):
                data += chunk
    except (OSError, OverflowError) as error:
        return f"{address}: {getattr(error, 'strerror', None) or error or 'no answer'}"
    lines = data.decode("utf-8", "replace").split("\n")
    if lines[0] != "done" or len(lines) < 3:
        return f"{address}: {lines[0] or 'no answer'} (is a fleet configured there?)"
    report: dict[str, Any] = json.loads(lines[1])
    return report


def duration(duration_ms: float | None) -> str:
    """Return a duration as text in ms, s or min; `never` for None."""
    if duration_ms is None:
        return "never"
    if duration_ms < MS_PER_S:
        return f"{duration_ms:.0f} ms"
    if duration_ms < 2 * MS_PER_MIN:
        return f"{duration_ms / MS_PER_S:.1f} s"
    return f"{duration_ms / MS_PER_MIN:.0f} min"


def print_view(view: Mapping[str, Any]) -> None:
    """Print one member's view."""
    console = Console()
    if view.get("waiting"):
        console.print(f"{view['name']} waits for its address, which an old process of the same name has")
        return
    quorums = "  ".join(
        f"{scope} [bold]{row['is']}[/bold] {row['here']}/{row['of']} for {duration(row['for_ms'])}"
        for scope, row in view["standing"].items()
    )
    console.print(
        f"{view['name']} of {view['site']}, life {view['life'][0]}.{view['life'][1]}, roll "
        f"{view['roll']}, view {view['hash']}, local health {view['health']} (0 is healthy)"
    )
    console.print(f"standing: {quorums}")
    console.print(_member_table(view["members"]))
    for title, lines in (
        ("broken links", view["links"]),
        ("members that we receive from, but that do not receive from us", view["unheard"]),
        ("members whose views have differed for long", view["disagree"]),
    ):
        if lines:
            console.print(f"{title}: {', '.join(lines)}")


def _member_table(members: Sequence[Mapping[str, Any]]) -> Table:
    table = Table()
    for title in ("member", "site", "state", "for", "evidence", "heard", "proven", "life", "address"):
        table.add_column(title)
    for row in members:
        table.add_row(
            row["name"],
            row["site"],
            row["state"],
            duration(row["for_ms"]),
            duration(row["evidence_ms"]),
            duration(row["heard_ms"]),
            duration(row["proven_ms"]),
            f"{row['life'][0]}.{row['life'][1]}",
            row["address"],
        )
    return table


def view_matrix(views: Mapping[str, dict[str, Any] | str]) -> Table:
    """Return a table of all views: each row is one member's view of all members."""
    complete = [view for view in views.values() if isinstance(view, dict) and "members" in view]
    names = sorted({row["name"] for view in complete for row in (view, *view["members"])})
    table = Table(title=". alive  ? suspect  X failed  - left  o itself")
    for title in ("member", "standing", "view", *names):
        table.add_column(title)
    for address, view in views.items():
        if isinstance(view, str) or "members" not in view:
            table.add_row(address, "no answer" if isinstance(view, str) else "waiting")
            continue
        states = {row["name"]: row["state"] for row in view["members"]} | {view["name"]: "self"}
        table.add_row(
            view["name"],
            view["standing"].get("fleet", {}).get("is", ""),
            view["hash"][:SHOWN_HASH_CHARS],
            *(STATE_SYMBOLS.get(states.get(name, ""), " ") for name in names),
        )
    return table


def watch_views(addresses: Sequence[str], seconds: float, every_s: float) -> int:
    """Show all views for `seconds`, updated every `every_s` seconds."""
    end = time.monotonic() + seconds
    with Live(refresh_per_second=4) as live:
        while time.monotonic() < end:
            live.update(view_matrix({address: request_report(address, WATCH_TIMEOUT_S) for address in addresses}))
            time.sleep(min(every_s, max(0.0, end - time.monotonic())))
    return 0
