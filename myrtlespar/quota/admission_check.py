"""The result of checking whether a limit admits one more request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionCheck:
    """Whether a limit has capacity for one more request; if not, when it may have some, and the amounts compared."""

    admitted: bool
    retry_after_ms: float = 0.0  # time until capacity is expected; not guaranteed
    allowance: int = 0  # the amount this member may use now, its guaranteed share included
    used: int = 0  # the amount that this member has in use
    granted: int = 0  # the part of the allowance that a shard leader granted
    grant_remaining_ms: float = 0.0  # time left of the current grant; negative after its expiry


ADMITTED = AdmissionCheck(True)
