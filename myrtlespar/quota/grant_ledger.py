"""A shard leader's record of what each holder may have in use of each key, and how it divides the rest.

Over all holders the greatest amounts that may be in use never add up to more than the pool. An entry counts until the
limit's `linger_ms` after its grant expired, when nothing that it admitted is in use any more, or until its holder
acknowledged a later one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.quota.budget_allocator import BudgetAllocator
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

MIN_SHARE_OF_MEAN = 0.8  # the part of its mean demand that a holder gets first while there is not enough for all
RECENT_REQUESTS = 4  # a holder takes part in the division for so many request intervals
REPORTED_BY_VOTER = 0  # sequence number of an entry that a voter reported; our own grants have greater ones


@dataclass(slots=True)
class GrantEntry:
    """One amount that a holder may have in use until `free_at`."""

    sequence_number: int
    amount: int
    free_at: float


@dataclass(slots=True)
class HolderGrant:
    """What one holder may have in use of one key, and what it wants."""

    wanted: int = 0
    peak: int = 0
    requested_at: float = 0.0
    sequence_number: int = 0  # of the latest request
    entries: list[GrantEntry] = field(default_factory=list)

    def outstanding(self, now: float) -> int:
        """Return the most that may be in use."""
        if self.entries and any(entry.free_at <= now for entry in self.entries):
            self.entries = [entry for entry in self.entries if entry.free_at > now]
        return max((entry.amount for entry in self.entries), default=0)

    def acknowledge(self, demand: KeyDemand) -> None:
        """Drop the entries that the holder can no longer use, as it adopted a later response.

        The holder reports what it has in use from earlier grants: starts in the last window, or runs in flight. That
        never grows beyond what it adopted.
        """
        if not any(entry.sequence_number == demand.acknowledged for entry in self.entries):
            return
        self.entries = [entry for entry in self.entries if entry.sequence_number >= demand.acknowledged]
        for entry in self.entries:
            if entry.sequence_number == demand.acknowledged:
                entry.amount = max(entry.amount, demand.in_flight)

    def record_grant(self, sequence_number: int, amount: int, free_at: float) -> None:
        """Add a grant, or prolong the latest one if it is of the same amount."""
        latest = self.entries[-1] if self.entries else None
        if latest is not None and latest.amount == amount and latest.sequence_number != REPORTED_BY_VOTER:
            latest.sequence_number = sequence_number
            latest.free_at = free_at
        elif amount or latest is not None:
            self.entries.append(GrantEntry(sequence_number, amount, free_at))


def divide_fairly(pool: int, wanted: Mapping[Incarnation, int]) -> dict[Incarnation, int]:
    """Divide the pool into max-min fair whole parts.

    Nobody gets more than it wants, and nobody gets less than it wants while another gets more than it.
    """
    parts = dict.fromkeys(wanted, 0)
    remaining = pool
    unsatisfied = sorted(wanted, key=lambda holder: (wanted[holder], holder))
    while unsatisfied and remaining > 0:
        even_part, remainder = divmod(remaining, len(unsatisfied))
        smallest = unsatisfied[0]
        if wanted[smallest] <= even_part:
            parts[smallest] = wanted[smallest]
            remaining -= wanted[smallest]
            unsatisfied.pop(0)
            continue
        for position, holder in enumerate(unsatisfied):  # nobody gets all it wants: the remainder goes one by one
            parts[holder] = even_part + (position < remainder)
        break
    return parts


def _entitlements(pool: int, requesting: Mapping[Incarnation, HolderGrant]) -> dict[Incarnation, int]:
    """Return every holder's part of the pool.

    While not all can have their mean demand, holders of little demand get a little less: of a few starts in a window,
    what is set aside for the mean is idle half of the time. What is left goes to the means first, then to the peaks.
    """
    parts = dict.fromkeys(requesting, 0)
    rounds = (
        [int(MIN_SHARE_OF_MEAN * holder.wanted) for holder in requesting.values()],
        [holder.wanted for holder in requesting.values()],
        [holder.peak for holder in requesting.values()],
    )
    for wanted in rounds:
        remaining = pool - sum(parts.values())
        if remaining <= 0:
            break
        missing = {holder: max(0, amount - parts[holder]) for holder, amount in zip(requesting, wanted, strict=True)}
        for holder, part in divide_fairly(remaining, missing).items():
            parts[holder] += part
    return parts


class GrantLedger:
    """The grants of one shard under one lease."""

    def __init__(self, settings: GrantSettings, acquired_at: float, voters: frozenset[str]) -> None:
        self.settings = settings
        self.acquired_at = acquired_at  # when the lease began
        self.unreported_voters = set(voters)  # those that have not reported all their allowances
        self.grants: dict[str, dict[Incarnation, HolderGrant]] = {}  # by key and holder
        self.budget_allocator = BudgetAllocator(voters)

    def predecessor_grants_end(self, limit: Limit) -> float:
        """Return when whatever an earlier leader granted has ended, reported or not."""
        return self.acquired_at + self.settings.safe_wait_ms(self.settings.grant_ms + limit.linger_ms)

    def record_voter_allowances(
        self,
        now: float,
        voter: Incarnation,
        complete: bool,
        allowances: tuple[tuple[str, int], ...],
        limits: Mapping[str, Limit],
    ) -> None:
        """Record what a voter reports as (key, amount); `limits` are by key.

        Only its first complete report counts, as later ones include our own grants.
        """
        if voter.name not in self.unreported_voters:
            return
        if complete:
            self.unreported_voters.discard(voter.name)
        for key, amount in allowances:
            limit = limits.get(key)
            if limit is not None and amount > 0:
                holder = self.grants.setdefault(key, {}).setdefault(voter, HolderGrant())
                free_at = now + self.settings.safe_wait_ms(self.settings.grant_ms + limit.linger_ms)
                holder.entries.append(GrantEntry(REPORTED_BY_VOTER, amount, free_at))

    def grant(
        self, now: float, sender: Incarnation, sequence_number: int, demand: KeyDemand, limit: Limit, pool: int
    ) -> int | None:
        """Return what this holder may use from now on; None for an outdated request."""
        holders = self.grants.setdefault(demand.key, {})
        holder = holders.setdefault(sender, HolderGrant())
        if sequence_number <= holder.sequence_number:
            return None
        holder.sequence_number = sequence_number
        holder.wanted = max(0, min(demand.want, pool))
        holder.peak = max(holder.wanted, min(demand.peak, pool))
        holder.requested_at = now
        holder.acknowledge(demand)
        others = sum(other.outstanding(now) for incarnation, other in holders.items() if incarnation != sender)
        available = pool - others
        if limit.kind is LimitKind.STRICT and self.unreported_voters and now < self.predecessor_grants_end(limit):
            # what the other voters may hold is not known, so a holder gets no more than it reported
            available = holder.outstanding(now) if sender.name not in self.unreported_voters else 0
        oldest = now - RECENT_REQUESTS * self.settings.ask_ms
        requesting = {incarnation: other for incarnation, other in holders.items() if other.requested_at >= oldest}
        amount = max(0, min(_entitlements(pool, requesting)[sender], available))
        free_at = now + self.settings.safe_wait_ms(self.settings.grant_ms)
        free_at += self.settings.safe_wait_ms(limit.linger_ms)
        holder.record_grant(sequence_number, amount, free_at)
        return amount

    def outstanding(self, now: float, key: str) -> int:
        """Return what may be in use of a key by all holders."""
        return sum(holder.outstanding(now) for holder in self.grants.get(key, {}).values())

    def drop_idle(self, now: float) -> None:
        """Drop the holders and keys of which nothing is outstanding or wanted."""
        oldest = now - self.settings.cold_ms
        for key, holders in list(self.grants.items()):
            for incarnation, holder in list(holders.items()):
                if holder.requested_at < oldest and not holder.outstanding(now):
                    del holders[incarnation]
            if not holders:
                del self.grants[key]
