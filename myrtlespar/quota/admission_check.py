"""The result of checking whether a limit admits one more request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionCheck:
    """Whether there is capacity for one more; if not, when there may be, and the numbers behind the rejection."""

    admitted: bool
    retry_after_ms: float = 0.0  # capacity is expected then, but not promised
    allowance: int = 0  # what this member may use now, its guaranteed share included
    used: int = 0
    granted: int = 0  # the part of the allowance that a shard leader granted
    grant_remaining_ms: float = 0.0  # of the current grant; below 0: it expired so long ago


ADMITTED = AdmissionCheck(True)
