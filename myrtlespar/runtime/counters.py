"""Counts of what is taken in, sent and answered."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts; a name is 'part.kind' or 'part.kind.front'."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count something."""
        self._counts[name] += by

    def rare(self, name: str) -> bool:
        """Count something that may come in floods; whether it is worth a line of the log."""
        self._counts[name] += 1
        return self._counts[name] <= 20 or self._counts[name] % 100 == 0

    def report(self) -> dict[str, int]:
        """All counts so far, by name."""
        return dict(sorted(self._counts.items()))
