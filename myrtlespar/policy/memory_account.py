"""The account of the memory that requests, runs and remembered idempotency keys take; an estimate, not a measure."""

from __future__ import annotations

MAX_QUEUED_FRACTION = 0.35  # fraction of the memory that held requests may take, so that runs find memory
MAX_USED_FRACTION = 0.98  # fraction of the memory that is used; the rest allows for rounding


class MemoryAccount:
    """Memory in use and its limits, in KB. Each component adds and subtracts what it takes and frees.

    Attributes:
        used_kb: By requests, runs and keys together.
        queued_kb: By requests that have not started; part of `used_kb`.
        max_used_kb: Limit of `used_kb`.
        max_queued_kb: Limit of `queued_kb`.
    """

    def __init__(self, memory_kb: float) -> None:
        self.used_kb = 0.0
        self.queued_kb = 0.0
        self.max_used_kb = memory_kb * MAX_USED_FRACTION
        self.max_queued_kb = memory_kb * MAX_QUEUED_FRACTION

    def is_exhausted(self, additional_kb: float) -> bool:
        """Return whether `additional_kb` more do not fit, or requests that wait have reached their limit."""
        return self.used_kb + additional_kb > self.max_used_kb or self.queued_kb > self.max_queued_kb
