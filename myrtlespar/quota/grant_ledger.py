"""A shard leader's record of the grants of each key, and the division of the pool among the holders.

The greatest amounts that the holders may have in use never add up to more than the pool. A grant counts until
`Limit.linger_ms` after its expiry, when nothing that it admitted is in use any more, or until its holder has
acknowledged a later grant.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.quota.budget_allocator import BudgetAllocator
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

MIN_SHARE_OF_MEAN = 0.8  # the part of its mean demand that each holder gets first if the pool is too small for all
RECENT_REQUESTS = 4  # a holder's latest request counts for this many request intervals
REPORTED_BY_VOTER = 0  # sequence number of entries that a voter reported; this leader's own grants have greater ones


@dataclass(slots=True)
class GrantEntry:
    """One amount that a holder may have in use until `free_at`."""

    sequence_number: int
    amount: int
    free_at: float


@dataclass(slots=True)
class HolderGrant:
    """One holder's demand for one key, and the amounts that it may have in use."""

    wanted: int = 0  # mean demand
    peak: int = 0  # peak demand
    requested_at: float = 0.0
    sequence_number: int = 0  # of the latest request
    entries: list[GrantEntry] = field(default_factory=list)

    def outstanding(self, now: float) -> int:
        """Return the greatest amount that may be in use."""
        if self.entries and any(entry.free_at <= now for entry in self.entries):
            self.entries = [entry for entry in self.entries if entry.free_at > now]
        return max((entry.amount for entry in self.entries), default=0)

    def acknowledge(self, demand: KeyDemand) -> None:
        """Drop the entries that the holder no longer uses, as it has adopted a later response.

        The holder reports what it has in use from earlier grants: starts in the last window, or runs in flight. If that
        use exceeds the adopted grant, it can only shrink, so the entry of the adopted grant is raised to it.
        """
        if not any(entry.sequence_number == demand.acknowledged for entry in self.entries):
            return
        self.entries = [entry for entry in self.entries if entry.sequence_number >= demand.acknowledged]
        for entry in self.entries:
            if entry.sequence_number == demand.acknowledged:
                entry.amount = max(entry.amount, demand.in_flight)

    def record_grant(self, sequence_number: int, amount: int, free_at: float) -> None:
        """Add a grant, or extend the latest one if it has the same amount."""
        latest = self.entries[-1] if self.entries else None
        if latest is not None and latest.amount == amount and latest.sequence_number != REPORTED_BY_VOTER:
            latest.sequence_number = sequence_number
            latest.free_at = free_at
        elif amount or latest is not None:
            self.entries.append(GrantEntry(sequence_number, amount, free_at))


def divide_fairly(pool: int, wanted: Mapping[Incarnation, int]) -> dict[Incarnation, int]:
    """Divide the pool into max-min fair whole parts.

    No holder gets more than it wants. A holder that gets less than it wants gets at least as much as every other one,
    apart from a rounding difference of 1.
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
        for position, holder in enumerate(unsatisfied):  # none can be satisfied: the remainder is spread one by one
            parts[holder] = even_part + (position < remainder)
        break
    return parts


def _entitlements(pool: int, requesting: Mapping[Incarnation, HolderGrant]) -> dict[Incarnation, int]:
    """Return every holder's part of the pool.

    If the pool is too small for all mean demands, each holder first gets at most MIN_SHARE_OF_MEAN of its own: at a
    demand of a few starts in a window, an amount reserved for the whole mean is idle half of the time. The rest goes to
    the mean demands, then to the peak demands.
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
    """Records the grants of one shard under one lease."""

    def __init__(self, settings: GrantSettings, acquired_at: float, voters: frozenset[str]) -> None:
        self.settings = settings
        self.acquired_at = acquired_at  # when the lease began
        self.unreported_voters = set(voters)  # voters that have not reported all their allowances
        self.grants: dict[str, dict[Incarnation, HolderGrant]] = {}  # by key and holder
        self.budget_allocator = BudgetAllocator(voters)

    def predecessor_grants_end(self, limit: Limit) -> float:
        """Return when all use of grants by earlier leaders has ended, including grants that no voter reported."""
        return self.acquired_at + self.settings.safe_wait_ms(self.settings.grant_ms + limit.linger_ms)

    def record_voter_allowances(
        self,
        now: float,
        voter: Incarnation,
        complete: bool,
        allowances: tuple[tuple[str, int], ...],
        limits: Mapping[str, Limit],
    ) -> None:
        """Record the allowances that a voter reports as (key, amount); `limits` is by key.

        Reports after its first complete one are ignored, as they include grants of this leader.
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
        """Record a holder's request and return the amount granted; None for an outdated request."""
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
            # The allowances of other voters are not known, so a holder gets no more than it has reported itself.
            available = holder.outstanding(now) if sender.name not in self.unreported_voters else 0
        oldest = now - RECENT_REQUESTS * self.settings.ask_ms
        requesting = {incarnation: other for incarnation, other in holders.items() if other.requested_at >= oldest}
        amount = max(0, min(_entitlements(pool, requesting)[sender], available))
        free_at = now + self.settings.safe_wait_ms(self.settings.grant_ms)
        free_at += self.settings.safe_wait_ms(limit.linger_ms)
        holder.record_grant(sequence_number, amount, free_at)
        return amount

    def outstanding(self, now: float, key: str) -> int:
        """Return the greatest amount of a key that all holders may have in use."""
        return sum(holder.outstanding(now) for holder in self.grants.get(key, {}).values())

    def drop_idle(self, now: float) -> None:
        """Drop holders without a recent request or an outstanding amount, and keys without holders."""
        oldest = now - self.settings.cold_ms
        for key, holders in list(self.grants.items()):
            for incarnation, holder in list(holders.items()):
                if holder.requested_at < oldest and not holder.outstanding(now):
                    del holders[incarnation]
            if not holders:
                del self.grants[key]
