"""The memory that requests, runs and remembered idempotency keys take."""

from __future__ import annotations

MAX_QUEUED_PART = 0.35  # part of the memory that held requests may take, so that runs find memory
MAX_USED_PART = 0.98  # part of the memory used at all; the rest is rounding


class MemoryAccount:
    """Kilobytes in use, all together (`used_kb`) and by requests that have not started (`queued_kb`)."""

    def __init__(self, memory_kb: float) -> None:
        self.used_kb = 0.0
        self.queued_kb = 0.0
        self.max_used_kb = memory_kb * MAX_USED_PART
        self.max_queued_kb = memory_kb * MAX_QUEUED_PART

    def is_exhausted(self, additional_kb: float) -> bool:
        """Whether `additional_kb` more do not fit, or held requests take their whole part."""
        return self.used_kb + additional_kb > self.max_used_kb or self.queued_kb > self.max_queued_kb
