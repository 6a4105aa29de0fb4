"""Division of the keys of limits into shards, and of the shards among members as leaders."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from myrtlespar.quota.grant_ledger import GrantLedger
from myrtlespar.quota.lease import LeaseElection


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard of a key; every member computes the same one."""
    return zlib.crc32(key.encode()) % shard_count


def leader_of(shard_id: int, names: Iterable[str]) -> str:
    """Return which of these members should lead a shard; empty without members.

    Uses rendezvous hashing, so that a member's failure moves only the shards that it led.
    """
    return max(names, key=lambda name: (zlib.crc32(f"{shard_id} {name}".encode()), name), default="")


@dataclass(slots=True)
class Shard:
    """A shard's state at a member that may lead it. Times are the member's monotonic milliseconds."""

    election: LeaseElection
    ledger: GrantLedger | None = None  # while this member leads the shard
    last_requested_at: float = float("-inf")  # by a holder; a shard without requests has no leader
    last_candidacy_at: float = float("-inf")  # when votes were last requested
