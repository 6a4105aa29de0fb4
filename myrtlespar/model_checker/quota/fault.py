"""The base class of the faults of the explorer's world."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import astuple, dataclass
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    from myrtlespar.model_checker.quota.world import World


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that can be applied to a world. Iterating over it yields the words with which it is printed."""

    kind: ClassVar[str] = ""

    def __iter__(self) -> Iterator[Any]:
        """Yield the kind and the fault's fields."""
        yield self.kind
        yield from astuple(self)

    def apply(self, world: World) -> None:
        """Apply the fault to the world now."""
        raise NotImplementedError
