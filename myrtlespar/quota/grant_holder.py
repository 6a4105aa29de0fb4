"""One member's allowance of each key (its guaranteed share and its grant), and how much of it is in use.

A grant's duration starts when its request was sent, and is shortened by the clock drift. `check_admission` never
blocks: it returns whether there is capacity and, if not, when there may be.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.key_allowance import KeyAllowance
from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit, LimitKind
from myrtlespar.quota.usage_windows import ConcurrencyCounter, UsageWindow


class PendingRequest(NamedTuple):
    """A grant request that may still be answered."""

    sent_at: float
    shard_id: int


class GrantHolder:
    """The allowances of one member by key. Each is created at the key's first request and dropped when idle.

    Budgets are in `budget_account` instead.
    """

    def __init__(self, settings: GrantSettings, members: int, now: float) -> None:
        self.settings = settings
        self.member_count = members
        self.started_at = now
        self.allowances: dict[str, KeyAllowance] = {}
        self.settled = False  # all members are known to use this member's version of the limits
        self.retired = False  # this process ends, or a second one of the same name now uses the guaranteed share
        self._requests: dict[int, PendingRequest] = {}  # by sequence number
        self._sequence_number = 0

    def allowance_of(self, key: str, limit: Limit) -> KeyAllowance:
        """Return the allowance of a key, created if needed."""
        allowance = self.allowances.get(key)
        if allowance is None:
            window_ms = self.settings.safe_wait_ms(limit.window_ms)
            counts_starts = limit.counted_unit is CountedUnit.RATE
            usage: UsageWindow | ConcurrencyCounter
            usage = UsageWindow(window_ms) if counts_starts else ConcurrencyCounter()
            allowance = KeyAllowance(
                limit, self._guaranteed_share(limit), usage, UsageWindow(window_ms), counts_starts=counts_starts
            )
            self.allowances[key] = allowance
        return allowance

    def _guaranteed_share(self, limit: Limit) -> int:
        return self.settings.split(limit, self.member_count, self.settled).guaranteed_share

    def adopt_limits(self, limits: Mapping[str, Limit], settled: bool) -> None:
        """Replace the limit of each key by the one with the same name in `limits`; usage so far stays counted."""
        self.settled = settled
        for key, allowance in self.allowances.items():
            allowance.limit = limits[key.partition("/")[0]]
            allowance.guaranteed_share = self._guaranteed_share(allowance.limit)

    def usable_amount(self, now: float, allowance: KeyAllowance) -> int:
        """Return the total amount that may be in use now.

        A new incarnation does not use its guaranteed share of a strict limit before all use by an earlier incarnation
        has ended.
        """
        without_share = self.retired or now < self.started_at + self.settings.guaranteed_share_delay_ms(allowance.limit)
        if without_share and allowance.limit.kind is LimitKind.STRICT:
            return allowance.granted(now)
        return allowance.granted(now) + allowance.guaranteed_share

    def check_admission(
        self, now: float, key: str, limit: Limit, ahead: int = 0, is_retry: bool = False
    ) -> AdmissionCheck:
        """Check whether there is capacity for one more request behind `ahead` queued ones.

        Unless `is_retry`, the check counts as demand, whatever its result.
        """
        allowance = self.allowance_of(key, limit)
        allowance.last_demand_at = now
        if not is_retry and allowance.counts_starts:
            allowance.demand.record(now)
        if limit.kind is LimitKind.ADVISORY:
            return ADMITTED
        usable = self.usable_amount(now, allowance)
        used = allowance.usage.in_use(now)
        if used + ahead < usable:
            return ADMITTED
        if not is_retry and not allowance.counts_starts:
            # The demand for runs in flight is their peak number plus the requests that found no capacity.
            allowance.demand.record(now)
        available_at = allowance.usage.available_at(now, usable, ahead)
        is_known = available_at < float("inf")
        retry_after_ms = available_at - now if is_known else self.settings.max_reallocation_ms(limit)
        return AdmissionCheck(
            False,
            max(retry_after_ms, 1.0),
            usable,
            used,
            allowance.granted(now),
            allowance.granted_until - now,
        )

    def available(self, now: float, key: str) -> int:
        """Return how many more requests of a key have capacity; negative if more is in use than may be now."""
        allowance = self.allowances.get(key)
        if allowance is None:
            return 0
        return self.usable_amount(now, allowance) - allowance.usage.in_use(now)

    def available_in_ms(self, now: float, key: str) -> float:
        """Return the time in ms until there is capacity for one more request; infinity if that is not known."""
        allowance = self.allowances.get(key)
        if allowance is None:
            return float("inf")
        return max(0.0, allowance.usage.available_at(now, self.usable_amount(now, allowance)) - now)

    def consume(self, now: float, key: str) -> None:
        """Count one request of a key as in use; call it right after `check_admission` admitted the request."""
        allowance = self.allowances.get(key)
        if allowance is None:  # no limit applies to this key
            return
        allowance.usage.record(now)
        if allowance.usage.count > allowance.peak_in_flight:
            allowance.peak_in_flight = allowance.usage.count

    def give_back(self, consumed_at: float, key: str) -> None:
        """Undo the `consume` of a request that did not start."""
        allowance = self.allowances.get(key)
        if allowance is not None:
            allowance.usage.give_back(consumed_at)

    def run_ended(self, key: str) -> None:
        """Count the end of a run under a limit on runs in flight."""
        allowance = self.allowances.get(key)
        if allowance is not None and isinstance(allowance.usage, ConcurrencyCounter) and allowance.usage.count > 0:
            allowance.usage.release()

    # Messages to and from the shard leader.

    def demands(self, now: float) -> dict[str, KeyDemand]:
        """Return the demand of keys with demand beyond the guaranteed share, or with a grant to give back."""
        demands: dict[str, KeyDemand] = {}
        for key, allowance in list(self.allowances.items()):
            if allowance.limit.kind is LimitKind.ADVISORY:
                continue
            demand = allowance.next_demand(now, key, self.settings)
            if demand is not None:
                demands[key] = demand
            elif not allowance.usage.count and now - allowance.last_demand_at > self.settings.cold_ms:
                del self.allowances[key]
        return demands

    def register_request(self, now: float, shard_id: int) -> int:
        """Assign and return the sequence number of a grant request that is sent now."""
        self._sequence_number += 1
        self._requests[self._sequence_number] = PendingRequest(now, shard_id)
        oldest = now - self.settings.grant_ms
        for number in [number for number, request in self._requests.items() if request.sent_at < oldest]:
            del self._requests[number]
        return self._sequence_number

    def accept_grants(
        self, now: float, shard_id: int, sequence_number: int, duration_ms: float, amounts: tuple[tuple[str, int], ...]
    ) -> bool:
        """Adopt the grants of a response. Returns False if it is too old or does not answer a pending request."""
        request = self._requests.get(sequence_number)
        if request is None or request.shard_id != shard_id:
            return False
        granted_until = request.sent_at + self.settings.usable_span_ms(min(duration_ms, self.settings.grant_ms))
        if granted_until <= now:
            return False
        for key, amount in amounts:
            allowance = self.allowances.get(key)
            if allowance is not None and sequence_number > allowance.acknowledged:
                allowance.expire_grant(now, self.settings)
                allowance.granted_amount = amount
                allowance.granted_until = granted_until
                allowance.acknowledged = sequence_number
        return True

    def outstanding(self, now: float, shard_keys: frozenset[str]) -> list[tuple[str, int]]:
        """Return as (key, amount) how much of each of these keys may be in use beyond the guaranteed share."""
        result = []
        for key, allowance in self.allowances.items():
            amount = allowance.outstanding(now, self.settings) if key in shard_keys else 0
            if amount > 0:
                result.append((key, amount))
        return result
