"""The shards that the keys of limits are divided into, and which member is to lead each."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from myrtlespar.quota.grant_ledger import GrantLedger
from myrtlespar.quota.lease import LeaseElection


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard of a key, which is the same on every member."""
    return zlib.crc32(key.encode()) % shard_count


def leader_of(shard_id: int, names: Iterable[str]) -> str:
    """Return which of these members is to lead a shard; empty if there is none.

    Rendezvous hashing, so that one member's end moves only the shards that it led.
    """
    return max(names, key=lambda name: (zlib.crc32(f"{shard_id} {name}".encode()), name), default="")


@dataclass(slots=True)
class Shard:
    """One shard as a possible leader has it. Times are its monotonic milliseconds."""

    election: LeaseElection
    ledger: GrantLedger | None = None  # while this member leads the shard
    last_requested_at: float = float("-inf")  # by a holder; a shard that nobody requests has no leader
    last_candidacy_at: float = float("-inf")  # when votes were last requested
