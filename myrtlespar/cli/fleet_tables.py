"""Tables of members' views, for `myrtlespar fleet status` and `watch`."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

MARKS = {"alive": ".", "suspect": "?", "failed": "X", "left": "-", "self": "o"}


def ask(address: str, timeout_s: float = 3.0, word: bytes = b"MEMBERS") -> dict[str, Any] | str:
    """MEMBERS (or LIMITS) of one member; a text says why there is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return f"{address}: expected HOST:PORT"
    data = b""
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
            sock.sendall(word + b"\n")
            while chunk := sock.recv(65536):
                data += chunk
    except (OSError, OverflowError) as error:
        return f"{address}: {getattr(error, 'strerror', None) or error or 'no answer'}"
    lines = data.decode("utf-8", "replace").split("\n")
    if lines[0] != "done" or len(lines) < 3:
        return f"{address}: {lines[0] or 'no answer'} (is the fleet set up there?)"
    found: dict[str, Any] = json.loads(lines[1])
    return found


def age(ms: float | None) -> str:
    """A time in the unit that reads best."""
    if ms is None:
        return "never"
    return f"{ms:.0f} ms" if ms < 1000 else f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.0f} min"


def table(found: dict[str, Any]) -> None:
    """One view."""
    console = Console()
    if found.get("waiting"):
        console.print(f"{found['name']} waits for the address of an old process of its name")
        return
    stands = "  ".join(
        f"{scope} [bold]{row['is']}[/bold] {row['here']}/{row['of']} for {age(row['for_ms'])}"
        for scope, row in found["standing"].items()
    )
    console.print(
        f"{found['name']} of {found['site']}, life {found['life'][0]}.{found['life'][1]}, roll "
        f"{found['roll']}, view {found['hash']}, local health {found['health']} (0 is well)"
    )
    console.print(f"standing: {stands}")
    rows = Table()
    for name in ("member", "site", "state", "for", "evidence", "heard", "proven", "life", "address"):
        rows.add_column(name)
    for row in found["members"]:
        rows.add_row(
            row["name"],
            row["site"],
            row["state"],
            age(row["for_ms"]),
            age(row["evidence_ms"]),
            age(row["heard_ms"]),
            age(row["proven_ms"]),
            f"{row['life'][0]}.{row['life'][1]}",
            row["address"],
        )
    console.print(rows)
    for title, lines in (
        ("broken links", found["links"]),
        ("heard, but do not hear us", found["unheard"]),
        ("views that differ for long", found["disagree"]),
    ):
        if lines:
            console.print(f"{title}: {', '.join(lines)}")


def matrix(views: dict[str, dict[str, Any] | str]) -> Table:
    """All views side by side: a row is what one member believes."""
    good = {name: view for name, view in views.items() if isinstance(view, dict) and "members" in view}
    names = sorted({row["name"] for view in good.values() for row in (view, *view["members"])})
    out = Table(title=". alive  ? suspect  X failed  - left  o itself")
    for title in ("member", "standing", "view", *names):
        out.add_column(title)
    for address, found in views.items():
        if isinstance(found, str) or "members" not in found:
            out.add_row(address, "no answer" if isinstance(found, str) else "waiting")
            continue
        states = {row["name"]: row["state"] for row in found["members"]} | {found["name"]: "self"}
        out.add_row(
            found["name"],
            found["standing"].get("fleet", {}).get("is", ""),
            found["hash"][:6],
            *(MARKS.get(states.get(name, ""), " ") for name in names),
        )
    return out


def watching(addresses: Sequence[str], seconds: float, every: float) -> int:
    """Look again and again, for so long."""
    end = time.monotonic() + seconds
    with Live(refresh_per_second=4) as live:
        while time.monotonic() < end:
            live.update(matrix({address: ask(address, 1.0) for address in addresses}))
            time.sleep(min(every, max(0.0, end - time.monotonic())))
    return 0
