"""Named event counters of the process."""

from __future__ import annotations

from collections import Counter

ALWAYS_LOGGED_COUNT = 20  # the first events of each name, up to this many, are all logged
SAMPLING_INTERVAL = 100  # one of this many later events is logged


class Counters:
    """Counts events by name; a name is `part.kind` or `part.kind.front`, for example `reload.refused`."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Add a number of events to the count of a name."""
        self._counts[name] += count

    def count_and_sample(self, name: str) -> bool:
        """Count one event of a kind that may occur in great numbers.

        Returns:
            Whether to log it: true for the first events of this name and for a sample of the later ones.
        """
        self._counts[name] += 1
        return self._counts[name] <= ALWAYS_LOGGED_COUNT or self._counts[name] % SAMPLING_INTERVAL == 0

    def report(self) -> dict[str, int]:
        """Return all counts since the process started, sorted by name."""
        return dict(sorted(self._counts.items()))
