"""Network counters of the system, which show whether the kernel itself lost or delayed data. Linux only."""

from __future__ import annotations

from pathlib import Path

SOURCES = (Path("/proc/net/netstat"), Path("/proc/net/snmp"))
NAMES = frozenset(
    ("TCPTimeouts", "TCPLossProbes", "TCPRcvQDrop", "PruneCalled", "TCPBacklogDrop", "ListenDrops", "RetransSegs")
)


def read_network_counters() -> dict[str, int]:
    """Return the present values by name; empty if the system has no such counters."""
    counters: dict[str, int] = {}
    for path in SOURCES:
        if path.exists():
            lines = path.read_text().splitlines()
            for names, values in zip(lines[::2], lines[1::2], strict=True):
                rows = zip(names.split(), values.split(), strict=True)
                counters.update({name: int(value) for name, value in rows if name in NAMES})
    return counters
