"""Account of the estimated memory that requests, runs and remembered idempotency keys take."""

from __future__ import annotations

MAX_QUEUED_FRACTION = 0.35  # fraction of the memory that waiting requests may take, so that memory is left for runs
MAX_USED_FRACTION = 0.98  # fraction of the memory that may be used; the rest allows for rounding


class MemoryAccount:
    """Memory in use and its limits, in KB. Each component adds the memory that it takes and subtracts what it frees.

    Attributes:
        used_kb: Memory of requests, runs and keys together.
        queued_kb: Memory of requests that have not started; included in `used_kb`.
        max_used_kb: Limit of `used_kb`; lower while another process of this server has a part of the memory.
        max_queued_kb: Limit of `queued_kb`.
    """

    def __init__(self, memory_kb: float) -> None:
        self.used_kb = 0.0
        self.queued_kb = 0.0
        self.max_used_kb = memory_kb * MAX_USED_FRACTION
        self.max_queued_kb = memory_kb * MAX_QUEUED_FRACTION
        self._memory_kb = memory_kb

    def reserve(self, memory_kb: float) -> None:
        """Leave `memory_kb` of the memory to another process of this server, in place of what was left to it before."""
        self.max_used_kb = self._memory_kb * MAX_USED_FRACTION - memory_kb

    def is_exhausted(self, additional_kb: float) -> bool:
        """Return whether `additional_kb` more would exceed the limit, or waiting requests exceed theirs."""
        return self.used_kb + additional_kb > self.max_used_kb or self.queued_kb > self.max_queued_kb
