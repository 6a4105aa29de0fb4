"""Settings of fleet-wide limits and grants, and the bounds that they guarantee, each as a formula.

`drift` is the greatest relative rate error of any member's monotonic clock. A member that uses a time span shortens it
by the drift, and a member that waits for the end of a span extends it by the drift, so the use has ended in true time
before the wait has.
"""

from __future__ import annotations

import math
import zlib
from enum import StrEnum
from typing import NamedTuple

import msgspec


class LimitKind(StrEnum):
    """What a limit guarantees."""

    STRICT = "strict"  # never exceeded, in any window
    BOUNDED = "bounded"  # exceeded by at most a stated factor, for at most a stated time
    ADVISORY = "advisory"  # counted, but not enforced


class CountedUnit(StrEnum):
    """The unit that a limit counts."""

    RATE = "rate"  # starts within any window
    AT_ONCE = "at once"  # runs in flight
    BUDGET = "budget"  # starts in a period, across restarts


class CountedWork(StrEnum):
    """The kind of work that a limit counts."""

    RUNS = "runs"
    CALLS = "calls"  # calls of runs to their dependency, the scene store


KEY_DIMENSIONS = ("", "peer", "site", "prefix")
MAX_AMOUNT = 10_000_000  # greatest amount of one limit, per window or period or in flight
MS_PER_DAY = 86_400_000
MAX_PERIOD_MS = 366 * MS_PER_DAY
MIN_SPAN_MS = 100  # bounds of `window_ms` and `run_most_ms`
MAX_SPAN_MS = 3_600_000
MAX_CALLER_PREFIX_LENGTH = 24  # characters; longer ones are replaced by their checksum
ROUNDING_SLACK = 1e-9  # added before rounding down, so that an inexact product such as 0.29 x 100 still counts as 29


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One limit in the fleet file. Exactly one of `per_s`, `at_once` and `per_day` is set.

    The field names are the keys in the file.
    """

    per_s: float | None = None
    at_once: int | None = None
    per_day: int | None = None
    before: float | None = None  # the amount in the previous version, which some members may still use
    kind: LimitKind = LimitKind.STRICT
    cls: str = msgspec.field(name="class", default="")  # the request class that it applies to; empty: all
    counts: CountedWork = CountedWork.RUNS
    by: str = ""  # one of KEY_DIMENSIONS, each value of which has its own key; empty: one key for all
    until: str = ":"  # with `by: prefix`: the character that ends the prefix of an idempotency key
    standing: float = 0.1  # the fraction that is divided into guaranteed shares, which members use without a grant
    window_ms: int = 1000  # the window of `per_s`
    period_ms: int = MS_PER_DAY  # the period of `per_day`; periods are counted from the Unix epoch
    run_most_ms: int = 10_000  # of `at_once`: the longest duration of a run or call

    @property
    def counted_unit(self) -> CountedUnit:
        """The unit that this limit counts."""
        if self.per_day is not None:
            return CountedUnit.BUDGET
        return CountedUnit.RATE if self.at_once is None else CountedUnit.AT_ONCE

    @property
    def amount(self) -> int:
        """The limit in starts per window or period, or in runs in flight."""
        if self.per_day is not None:
            return self.per_day
        return self._whole_amount(self.per_s if self.at_once is None else self.at_once)

    @property
    def amount_before(self) -> int:
        """The amount in the previous version of the limit; the current amount if `before` is not set."""
        return self.amount if self.before is None else self._whole_amount(self.before)

    def _whole_amount(self, number: float | None) -> int:
        windows_per_unit = self.window_ms / 1000 if self.at_once is None else 1.0
        return math.floor((number or 0.0) * windows_per_unit + ROUNDING_SLACK)

    @property
    def linger_ms(self) -> int:
        """How long work may count as in use after the grant that admitted it: the window, or the longest run."""
        if self.counted_unit is CountedUnit.AT_ONCE:
            return self.run_most_ms
        return 0 if self.counted_unit is CountedUnit.BUDGET else self.window_ms

    def validation_error(self) -> str:
        """Return why the settings are invalid, beginning with the key; empty if they are valid."""
        return self._unit_error() or self._span_error() or self._key_error() or self._amount_error()

    def _unit_error(self) -> str:
        if sum(number is not None for number in (self.per_s, self.at_once, self.per_day)) != 1:
            return "per_s: expected exactly one of per_s, at_once and per_day"
        if self.per_day is not None and (self.kind is not LimitKind.STRICT or self.before is not None):
            return "per_day: a budget must have kind strict and no `before`, as its amount changes only with a restart"
        return ""

    def _span_error(self) -> str:
        if not 1000 <= self.period_ms <= MAX_PERIOD_MS:
            return f"period_ms: expected 1000 to {MAX_PERIOD_MS}, got {self.period_ms}"
        if not MIN_SPAN_MS <= self.window_ms <= MAX_SPAN_MS:
            return f"window_ms: expected {MIN_SPAN_MS} to {MAX_SPAN_MS}, got {self.window_ms}"
        if not MIN_SPAN_MS <= self.run_most_ms <= MAX_SPAN_MS:
            return f"run_most_ms: expected {MIN_SPAN_MS} to {MAX_SPAN_MS}, got {self.run_most_ms}"
        return ""

    def _key_error(self) -> str:
        if not 0 <= self.standing <= 1:
            return f"standing: expected 0 to 1, as a fraction of the limit, got {self.standing}"
        if self.by not in KEY_DIMENSIONS:
            return f"by: expected one of {', '.join(KEY_DIMENSIONS[1:])}, got {self.by!r}"
        if self.counts is CountedWork.CALLS and (self.at_once is None or self.by not in ("", "site")):
            return "counts: calls can only be limited by at_once, and `by` must be empty or site"
        if not self.until:
            return "until: expected the character that ends a prefix, got an empty string"
        return ""

    def _amount_error(self) -> str:
        if not 1 <= self.amount <= MAX_AMOUNT:
            name = "per_day" if self.per_day is not None else "at_once" if self.per_s is None else "per_s"
            return (
                f"{name}: expected 1 to {MAX_AMOUNT} starts per window or period, or runs in flight, got {self.amount}"
            )
        if self.before is not None and not 1 <= self.amount_before <= MAX_AMOUNT:
            return f"before: expected 1 to {MAX_AMOUNT} starts per window, or runs in flight, got {self.before:g}"
        return ""


def caller_prefix(key: str, until: str) -> str:
    """Return the prefix of an idempotency key, which identifies its caller, in a form that is safe in a limit's key.

    The prefix ends before the first `until`. Without a prefix the result is '-'; a prefix that is long or has unsafe
    characters is replaced by its checksum.
    """
    found, separator, _ = key.partition(until)
    if not separator or not found:
        return "-"
    is_short = len(found) <= MAX_CALLER_PREFIX_LENGTH
    if is_short and found.isascii() and found.isprintable() and "/" not in found and " " not in found:
        return found
    return f"#{zlib.crc32(found.encode('utf-8', 'replace')):08x}"


class LimitSplit(NamedTuple):
    """The division of a limit into a pool for grants and a guaranteed share of each member."""

    pool: int
    guaranteed_share: int


class GrantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of grants and leases. The field names are the keys in the fleet file."""

    drift: float = 0.01  # the greatest relative rate error of a member's clock
    ask_ms: int = 200  # interval of a holder's grant requests
    grant_ms: int = 2000  # duration of a grant from when its request was sent
    lease_ms: int = 1500  # duration of a shard leader's lease from when its request was sent
    ranges: int = 4  # number of shards that the keys are divided into; each has one leader
    cold_ms: int = 3000  # a key without demand for this time is dropped
    members_most: int = 0  # number of members that share the guaranteed part; 0: the number of voters at the start

    def validation_error(self) -> str:
        """Return why the settings are invalid, beginning with the key; empty if they are valid."""
        if not 0 < self.drift <= 0.2:
            return f"drift: expected more than 0 (no clock is exact) and at most 0.2, got {self.drift}"
        for name, least in (("ask_ms", 20), ("grant_ms", 100), ("lease_ms", 100), ("cold_ms", 100)):
            if not least <= getattr(self, name) <= 600_000:
                return f"{name}: expected {least} to 600000, got {getattr(self, name)}"
        if self.grant_ms < 3 * self.ask_ms or self.lease_ms < 3 * self.ask_ms:
            return "ask_ms: grant_ms and lease_ms must be at least 3 x ask_ms, so that one lost packet ends neither"
        if not 1 <= self.ranges <= 64:
            return f"ranges: expected 1 to 64, got {self.ranges}"
        return ""

    @property
    def renewal_interval_ms(self) -> float:
        """Interval of a shard leader's lease requests in ms, short enough that two in a row may be lost."""
        return max(self.ask_ms, self.lease_ms / 4)

    # Time spans as measured by a member's own clock.

    def usable_span_ms(self, span_ms: float) -> float:
        """Return the time to use of a span, which is never longer than the span in true time."""
        return span_ms * (1 - self.drift)

    def safe_wait_ms(self, span_ms: float) -> float:
        """Return the time to wait for the end of a span, which is never shorter than the span in true time."""
        return span_ms * (1 + self.drift)

    # Bounds that limits guarantee.

    def max_excess(self, limit: Limit) -> int:
        """Return the most starts in any window, or runs in flight, beyond the limit.

        While clocks are within `drift`, a strict limit is not exceeded under any partition, crash, restart, pause or
        message loss, delay or duplication. For a bounded limit, a new shard leader does not wait until grants that it
        does not know of have ended, so the same amount may be granted twice.
        """
        return 0 if limit.kind is LimitKind.STRICT else limit.amount

    def max_excess_duration_ms(self, limit: Limit) -> float:
        """Return how long a bounded limit may be exceeded after a new shard leader has started."""
        if limit.kind is LimitKind.STRICT:
            return 0.0
        return (self.grant_ms + limit.linger_ms) * (1 + self.drift) ** 2

    def max_reallocation_ms(self, limit: Limit) -> float:
        """Return the time from a shift of demand between members to the grant for the new demand, without message loss.

        It adds up one holder's request that wants less, its next request, which acknowledges the lower grant, the time
        until all use of the higher grant has ended, and the other holder's request that gets the amount; each request
        takes a round trip.
        """
        return 3 * self.ask_ms + self.safe_wait_ms(limit.linger_ms) + self.ask_ms

    def max_leader_recovery_ms(self, limit: Limit) -> float:
        """Return the time from when all members consider a shard leader failed until its shard is fully granted again.

        The voters first wait for the end of its lease, then the new leader for the end of all it may have granted, as
        the failed leader can't report its own allowances.
        """
        return self.safe_wait_ms(self.lease_ms) + self.safe_wait_ms(self.grant_ms + limit.linger_ms) + 2 * self.ask_ms

    def guaranteed_share_delay_ms(self, limit: Limit) -> float:
        """Return how long a new process must not use its guaranteed share, as the previous process may have used it."""
        return self.safe_wait_ms(limit.linger_ms)

    def max_lowering_ms(self, limit: Limit) -> float:
        """Return the time from when a shard leader adopts a lower amount until no more than that amount is in use.

        This is the time until earlier grants, and all use that they admitted, have ended. The guaranteed shares of
        members that have not adopted the lower amount are allowed for.
        """
        return self.safe_wait_ms(self.grant_ms + limit.linger_ms) + self.ask_ms

    def max_version_settling_ms(self, linger_ms: float) -> float:
        """Return the time from when the last member adopts a version until all members use that version alone."""
        return self.safe_wait_ms(self.grant_ms + linger_ms) + 2 * self.renewal_interval_ms

    def split(self, limit: Limit, members: int, settled: bool = True) -> LimitSplit:
        """Divide a limit into a pool and guaranteed shares, which together never exceed it.

        Until all members are known to have adopted a version (`settled`), a member's share is the lesser of the shares
        in this version and the previous one, and the shard leader reserves the greater of them for each member. So the
        sum never exceeds the greater amount, whichever version each member uses, nor the new amount for long.
        """
        if not members:
            return LimitSplit(limit.amount, 0)
        share = math.floor(limit.amount * limit.standing / members)
        if settled or limit.before is None:
            return LimitSplit(limit.amount - share * members, share)
        previous_share = math.floor(limit.amount_before * limit.standing / members)
        pool = max(0, limit.amount - max(share, previous_share) * members)
        return LimitSplit(pool, min(share, previous_share))
