"""A random number generator that is fast to copy."""

from __future__ import annotations

from random import Random
from typing import Any

MULTIPLIER = 6364136223846793005  # of Knuth's MMIX generator
INCREMENT = 1442695040888963407


class SeededRandom(Random):
    """A linear congruential generator, whose state is one integer so that worlds can be copied fast."""

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self.state = seed

    def random(self) -> float:
        """Return a number uniformly distributed in [0, 1)."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % 2**64
        return (self.state >> 11) / 2**53

    def getrandbits(self, k: int) -> int:
        """Return an integer of `k` random bits."""
        return int(self.random() * 2**k)

    def __reduce__(self) -> tuple[Any, ...]:
        return SeededRandom, (self.state,)
