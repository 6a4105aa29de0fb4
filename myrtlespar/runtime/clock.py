"""The time by which the program acts.

`unix_ms` never steps: it is the monotonic clock, set to the Unix clock as the process starts. All due times, timers
and ages are taken from it. `wall_ms` is the Unix clock as it is now, for stamps that other processes make or read;
`from_wall` and `to_wall` lead from one to the other by way of the age.
"""

from __future__ import annotations

import time

_OFFSET_S = time.time() - time.monotonic()


def unix_ms() -> float:
    """Milliseconds since the epoch, by a clock that nobody sets."""
    return (time.monotonic() + _OFFSET_S) * 1000.0


def wall_ms() -> float:
    """The Unix clock, in milliseconds; it may step."""
    return time.time() * 1000.0


def from_wall(stamp_ms: float) -> float:
    """The time of a stamp of the Unix clock."""
    return stamp_ms + unix_ms() - wall_ms()


def to_wall(time_ms: float) -> float:
    """The stamp of the Unix clock for a time."""
    return time_ms + wall_ms() - unix_ms()
