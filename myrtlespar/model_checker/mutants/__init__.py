"""Mutations of the state machines: small changes that the checker must find, and the program with one of them in it.

`python -m myrtlespar.model_checker.mutants NAME` is the real server with that mutation; nothing else can load one.
"""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.model_checker.mutants import (
    attempt_mutations,
    connection_mutations,
    process_mutations,
    request_mutations,
)
from myrtlespar.model_checker.mutants.loader import Mutation, install, normalized_source

__all__ = ["MUTATIONS", "Mutation", "install_mutation", "normalized_source"]

MUTATIONS = {
    mutation.name: mutation
    for mutation in (
        *attempt_mutations.MUTATIONS,
        *request_mutations.MUTATIONS,
        *process_mutations.MUTATIONS,
        *connection_mutations.MUTATIONS,
    )
}


def install_mutation(name: str, among: Mapping[str, Mutation] = MUTATIONS) -> None:
    """Put the mutation of this name in, before its module is loaded."""
    install(among[name])
