"""The two clocks of the process, both in milliseconds since the Unix epoch.

`unix_ms` never jumps: it is the monotonic clock, aligned with the Unix clock when the process starts. All deadlines,
timers and ages use it. `wall_ms` is the Unix clock itself, for timestamps that other processes write or read.
`from_wall` and `to_wall` convert between the two.
"""

from __future__ import annotations

import time

_OFFSET_S = time.time() - time.monotonic()


def unix_ms() -> float:
    """Return the current time of the monotonic clock, which setting the system clock does not change."""
    return (time.monotonic() + _OFFSET_S) * 1000.0


def wall_ms() -> float:
    """Return the current time of the Unix clock, which may jump forward or back."""
    return time.time() * 1000.0


def from_wall(timestamp_ms: float) -> float:
    """Convert a timestamp of the Unix clock to a time of `unix_ms`."""
    return timestamp_ms + unix_ms() - wall_ms()


def to_wall(time_ms: float) -> float:
    """Convert a time of `unix_ms` to a timestamp of the Unix clock."""
    return time_ms + wall_ms() - unix_ms()
