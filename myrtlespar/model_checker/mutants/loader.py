"""A mutation of one module, and the import hook that loads the mutated module."""

from __future__ import annotations

import ast
import importlib.abc
import importlib.machinery
import importlib.util
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).parents[3]


@dataclass(frozen=True, slots=True)
class Mutation:
    """A small change of one module that the checker must find.

    Attributes:
        name: Also in saved counter-examples, so it stays as it is.
        module: The full name of the module.
        old: A fragment that stands exactly once in the module's normalized source.
        new: What replaces it.
        scenario: The scenario that must show it.
    """

    name: str
    module: str
    old: str
    new: str
    scenario: str


def mutation(name: str, module: str, old: str, new: str, scenario: str) -> Mutation:
    """A mutation of a module of `myrtlespar.state_machines`."""
    return Mutation(name, f"myrtlespar.state_machines.{module}", old, new, scenario)


def normalized_source(path: Path) -> str:
    """A module's source without comments, in the layout of `ast.unparse`.

    Mutations are written against this form, so that neither the formatter nor a comment can hide a line from them.
    """
    return ast.unparse(ast.parse(path.read_text()))


class MutatingLoader(importlib.abc.MetaPathFinder, importlib.abc.SourceLoader):
    """Loads one module with a mutation in it."""

    def __init__(self, mutation: Mutation) -> None:
        self.mutation = mutation
        self.path = ROOT.joinpath(*mutation.module.split(".")).with_suffix(".py")

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Only for the module that is changed."""
        if fullname != self.mutation.module:
            return None
        return importlib.util.spec_from_loader(fullname, self, origin=str(self.path))

    def get_filename(self, fullname: str) -> str:
        """A name of its own, so that no compiled file is used or kept for it."""
        return f"{self.path}.{self.mutation.name.replace(' ', '-')}"

    def get_data(self, path: str | bytes) -> bytes:
        """The changed source. Raises ImportError unless the fragment stands exactly once."""
        text = normalized_source(self.path)
        count = text.count(self.mutation.old)
        if count != 1:
            raise ImportError(
                f"mutation {self.mutation.name!r}: the line to change stands {count} times in {self.mutation.module}"
            )
        return text.replace(self.mutation.old, self.mutation.new).encode()


def install(mutation: Mutation) -> None:
    """Put a mutation in, before its module is loaded. Raises RuntimeError where it is loaded already."""
    if mutation.module in sys.modules:
        raise RuntimeError("the machines are loaded already")
    sys.meta_path.insert(0, MutatingLoader(mutation))
