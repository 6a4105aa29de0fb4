"""The memory that requests, runs and remembered idempotency keys take."""

from __future__ import annotations

MAX_QUEUED_FRACTION = 0.35  # fraction of the memory that held requests may take, so that runs find memory
MAX_USED_FRACTION = 0.98  # fraction of the memory used at all; the rest is rounding


class MemoryAccount:
    """Kilobytes in use, all together (`used_kb`) and by requests that have not started (`queued_kb`)."""

    def __init__(self, memory_kb: float) -> None:
        self.used_kb = 0.0
        self.queued_kb = 0.0
        self.max_used_kb = memory_kb * MAX_USED_FRACTION
        self.max_queued_kb = memory_kb * MAX_QUEUED_FRACTION

    def is_exhausted(self, additional_kb: float) -> bool:
        """Whether `additional_kb` more do not fit, or held requests take their whole part."""
        return self.used_kb + additional_kb > self.max_used_kb or self.queued_kb > self.max_queued_kb
