"""Mutations of the state machines: small changes of the source that the model checker must find.

`python -m myrtlespar.model_checker.mutants NAME` runs the real server with a mutation. The usual command of the server
can't load one.
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
    """Install the mutation of this name, before its module is loaded."""
    install(among[name])
