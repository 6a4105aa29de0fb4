"""A set of names with random sampling in constant time."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

MAX_DRAWS_PER_NAME = 4


class SampledSet:
    """Set of names to sample from. Adding, removing and sampling a name take constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name; nothing changes if it is in the set."""
        if name not in self._index:
            self._index[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is in the set."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self._names.pop()  # takes the place of the removed name
        if last != name:
            self._names[index] = last
            self._index[last] = index

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._index

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def sample(self, random: Random, count: int, exclude: frozenset[str] = frozenset()) -> list[str]:
        """Return up to `count` different names outside `exclude`.

        The number of random draws is bounded, so in rare cases fewer names are returned than the set contains.
        """
        if count >= len(self._names):
            return [name for name in self._names if name not in exclude]
        names: list[str] = []
        for _ in range(MAX_DRAWS_PER_NAME * count):
            name = self._names[int(random.random() * len(self._names))]
            if name not in exclude and name not in names:
                names.append(name)
                if len(names) == count:
                    break
        return names
