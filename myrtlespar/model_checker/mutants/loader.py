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
    """A small change of one module that the model checker must find.

    Attributes:
        name: The name, which saved counter-examples contain, so that it must not change.
        module: The full name of the module.
        old: A fragment that occurs exactly once in the module's normalized source.
        new: The fragment that replaces it.
        scenario: The name of the scenario, or of the plan, whose exploration must find it.
    """

    name: str
    module: str
    old: str
    new: str
    scenario: str


def mutation(name: str, module: str, old: str, new: str, scenario: str) -> Mutation:
    """Return a mutation of a module of `myrtlespar.state_machines`."""
    return Mutation(name, f"myrtlespar.state_machines.{module}", old, new, scenario)


def normalized_source(path: Path) -> str:
    """Return a module's source without comments, in the layout of `ast.unparse`.

    The fragments of mutations have this form, so that they still match after changes of formatting or comments.
    """
    return ast.unparse(ast.parse(path.read_text()))


class MutatingLoader(importlib.abc.MetaPathFinder, importlib.abc.SourceLoader):
    """Import hook that loads one module with a mutation."""

    def __init__(self, mutation: Mutation) -> None:
        self.mutation = mutation
        self.path = ROOT.joinpath(*mutation.module.split(".")).with_suffix(".py")

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return a spec for the mutated module, None for all others."""
        if fullname != self.mutation.module:
            return None
        return importlib.util.spec_from_loader(fullname, self, origin=str(self.path))

    def get_filename(self, fullname: str) -> str:
        """Return a unique file name, so that cached bytecode of the unchanged module is neither used nor replaced."""
        return f"{self.path}.{self.mutation.name.replace(' ', '-')}"

    def get_data(self, path: str | bytes) -> bytes:
        """Return the mutated source.

        Raises:
            ImportError: The fragment to replace does not occur exactly once.
        """
        text = normalized_source(self.path)
        count = text.count(self.mutation.old)
        if count != 1:
            raise ImportError(
                f"mutation {self.mutation.name!r}: the fragment to replace occurs {count} times in "
                f"{self.mutation.module}, expected once"
            )
        return text.replace(self.mutation.old, self.mutation.new).encode()


def install(mutation: Mutation) -> None:
    """Install a mutation, before its module is loaded.

    Raises:
        RuntimeError: The module is already loaded.
    """
    if mutation.module in sys.modules:
        raise RuntimeError(f"mutation {mutation.name!r}: {mutation.module} is already loaded")
    sys.meta_path.insert(0, MutatingLoader(mutation))
