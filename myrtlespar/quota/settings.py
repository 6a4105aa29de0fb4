"""Settings of fleet-wide limits and grants, and the bounds that they promise, each as a formula.

`drift` is the largest relative error of any member's monotonic clock. Whoever uses a span counts it shorter on its own
clock, and whoever waits for the span to end counts it longer, so that both are on the safe side of true time.
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
    ADVISORY = "advisory"  # counted, not enforced


class CountedUnit(StrEnum):
    """The unit that a limit counts."""

    RATE = "rate"  # starts in any window
    AT_ONCE = "at once"  # runs in flight
    BUDGET = "budget"  # starts in a period, across restarts


class CountedWork(StrEnum):
    """The work that a limit on concurrency counts."""

    RUNS = "runs"
    CALLS = "calls"  # calls that runs make to their dependency, the scene store


KEY_DIMENSIONS = ("", "peer", "site", "prefix")
MAX_AMOUNT = 10_000_000  # of one limit in a window, a period or at once
MS_PER_DAY = 86_400_000
MAX_PERIOD_MS = 366 * MS_PER_DAY
MIN_SPAN_MS = 100  # of a window and of the longest run
MAX_SPAN_MS = 3_600_000
MAX_CALLER_PREFIX_LENGTH = 24  # characters; longer ones are replaced by their checksum
ROUNDING_SLACK = 1e-9  # so that a rate such as 0.1 x 10 counts as a whole number


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One limit of the fleet's file. Exactly one of `per_s`, `at_once` and `per_day` is set.

    The field names are the keys of the file.
    """

    per_s: float | None = None
    at_once: int | None = None
    per_day: int | None = None
    before: float | None = None  # the number of the previous version, which some members may still use
    kind: LimitKind = LimitKind.STRICT
    cls: str = msgspec.field(name="class", default="")  # a class of requests; empty: all
    counts: CountedWork = CountedWork.RUNS
    by: str = ""  # a separate key for each value of this, one of KEY_DIMENSIONS; empty: one key for all
    until: str = ":"  # with `by: prefix`: the idempotency key's prefix ends before the first of these
    standing: float = 0.1  # the part that is divided into guaranteed shares, which members use without a grant
    window_ms: int = 1000  # of a rate
    period_ms: int = MS_PER_DAY  # of `per_day`; periods are counted from the Unix epoch
    run_most_ms: int = 10_000  # of `at_once`: no run, or call, lasts longer

    @property
    def counted_unit(self) -> CountedUnit:
        """The unit that this limit counts."""
        if self.per_day is not None:
            return CountedUnit.BUDGET
        return CountedUnit.RATE if self.at_once is None else CountedUnit.AT_ONCE

    @property
    def amount(self) -> int:
        """Starts in a window or period, or runs at once."""
        if self.per_day is not None:
            return self.per_day
        return self._whole_amount(self.per_s if self.at_once is None else self.at_once)

    @property
    def amount_before(self) -> int:
        """The amount of the previous version; the present one where the file names none."""
        return self.amount if self.before is None else self._whole_amount(self.before)

    def _whole_amount(self, number: float | None) -> int:
        windows_per_unit = self.window_ms / 1000 if self.at_once is None else 1.0
        return math.floor((number or 0.0) * windows_per_unit + ROUNDING_SLACK)

    @property
    def linger_ms(self) -> int:
        """How long what a grant admitted may be in use after the grant's end: the window, or the longest run."""
        if self.counted_unit is CountedUnit.AT_ONCE:
            return self.run_most_ms
        return 0 if self.counted_unit is CountedUnit.BUDGET else self.window_ms

    def validation_error(self) -> str:
        """Why the settings are invalid, beginning with the key; empty if they are valid."""
        return self._unit_fault() or self._span_fault() or self._key_fault() or self._amount_fault()

    def _unit_fault(self) -> str:
        if sum(number is not None for number in (self.per_s, self.at_once, self.per_day)) != 1:
            return "per_s: exactly one of per_s, at_once and per_day is wanted"
        if self.per_day is not None and (self.kind is not LimitKind.STRICT or self.before is not None):
            return "per_day: a budget is strict, and its number changes with a restart"
        return ""

    def _span_fault(self) -> str:
        if not 1000 <= self.period_ms <= MAX_PERIOD_MS:
            return f"period_ms: expected 1000 to {MAX_PERIOD_MS}, got {self.period_ms}"
        if not MIN_SPAN_MS <= self.window_ms <= MAX_SPAN_MS:
            return f"window_ms: expected {MIN_SPAN_MS} to {MAX_SPAN_MS}, got {self.window_ms}"
        if not MIN_SPAN_MS <= self.run_most_ms <= MAX_SPAN_MS:
            return f"run_most_ms: expected {MIN_SPAN_MS} to {MAX_SPAN_MS}, got {self.run_most_ms}"
        return ""

    def _key_fault(self) -> str:
        if not 0 <= self.standing <= 1:
            return f"standing: shares of more than the limit: expected 0 to 1, got {self.standing}"
        if self.by not in KEY_DIMENSIONS:
            return f"by: expected one of {', '.join(KEY_DIMENSIONS[1:])}, got {self.by!r}"
        if self.counts is CountedWork.CALLS and (self.at_once is None or self.by not in ("", "site")):
            return "counts: calls in hand are limited by at_once, for the fleet or by site"
        if not self.until:
            return "until: expected the character that ends a prefix"
        return ""

    def _amount_fault(self) -> str:
        if not 1 <= self.amount <= MAX_AMOUNT:
            name = "per_day" if self.per_day is not None else "at_once" if self.per_s is None else "per_s"
            return f"{name}: less than one, or too many, a window"
        if self.before is not None and not 1 <= self.amount_before <= MAX_AMOUNT:
            return f"before: less than one, or too many, a window: {self.before:g}"
        return ""


def caller_prefix(key: str, until: str) -> str:
    """Return the part of an idempotency key that names its caller, as a short word that is safe within a limit's key.

    The prefix ends before the first `until`. Keys without one all count under '-'; a long or unprintable prefix is
    replaced by its checksum.
    """
    found, separator, _ = key.partition(until)
    if not separator or not found:
        return "-"
    is_short = len(found) <= MAX_CALLER_PREFIX_LENGTH
    if is_short and found.isascii() and found.isprintable() and "/" not in found and " " not in found:
        return found
    return f"#{zlib.crc32(found.encode('utf-8', 'replace')):08x}"


class LimitSplit(NamedTuple):
    """How a limit is divided: the pool for grants, and the guaranteed share of each member."""

    pool: int
    guaranteed_share: int


class GrantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of grants and leases, in milliseconds. The field names are the keys of the fleet's file."""

    drift: float = 0.01  # clocks run fast or slow by at most this part
    ask_ms: int = 200  # between a holder's grant requests
    grant_ms: int = 2000  # duration of a grant, from the sending of its request
    lease_ms: int = 1500  # duration of a shard leader's lease, from the sending of its request
    ranges: int = 4  # number of shards of the keys; each has one leader
    cold_ms: int = 3000  # a key without demand for so long is dropped
    members_most: int = 0  # the members that guaranteed shares are divided among; 0: the members listed at the start

    def validation_error(self) -> str:
        """Why the settings are invalid, beginning with the key; empty if they are valid."""
        if not 0 < self.drift <= 0.2:
            return f"drift: no clock keeps true time: expected more than 0, at most 0.2, got {self.drift}"
        for name, least in (("ask_ms", 20), ("grant_ms", 100), ("lease_ms", 100), ("cold_ms", 100)):
            if not least <= getattr(self, name) <= 600_000:
                return f"{name}: expected {least} to 600000, got {getattr(self, name)}"
        if self.grant_ms < 3 * self.ask_ms or self.lease_ms < 3 * self.ask_ms:
            return "ask_ms: grants and leases must outlast three asks, so that one lost packet ends none"
        if not 1 <= self.ranges <= 64:
            return f"ranges: expected 1 to 64, got {self.ranges}"
        return ""

    @property
    def renewal_interval_ms(self) -> float:
        """Between a shard leader's lease requests, so that two in a row may be lost."""
        return max(self.ask_ms, self.lease_ms / 4)

    # Spans on a member's own clock.

    def usable_span_ms(self, span_ms: float) -> float:
        """How long the user of a span counts it: in true time never longer than the span."""
        return span_ms * (1 - self.drift)

    def safe_wait_ms(self, span_ms: float) -> float:
        """How long to wait for a span's end: in true time never shorter than the span."""
        return span_ms * (1 + self.drift)

    # Bounds that the limits promise.

    def max_excess(self, limit: Limit) -> int:
        """The most starts over the limit in any window, or runs over it at once.

        A strict limit is not exceeded under any cut, crash, restart, pause, loss, delay or duplication, with clocks
        within `drift`. For a bounded one a new shard leader does not wait for what it cannot know, so that grants may
        be outstanding twice.
        """
        return 0 if limit.kind is LimitKind.STRICT else limit.amount

    def max_excess_duration_ms(self, limit: Limit) -> float:
        """How long a bounded limit may be exceeded, from the start of a new shard leader."""
        if limit.kind is LimitKind.STRICT:
            return 0.0
        return (self.grant_ms + limit.linger_ms) * (1 + self.drift) ** 2

    def max_reallocation_ms(self, limit: Limit) -> float:
        """From a shift of demand between members until the member that now has it has its part, if no message is lost.

        One request that wants less, one that says so, the time in which the last use fades, and one request that gets
        the part; a round trip each.
        """
        return 3 * self.ask_ms + self.safe_wait_ms(limit.linger_ms) + self.ask_ms

    def max_leader_recovery_ms(self, limit: Limit) -> float:
        """From a shard leader's death, once all believe it failed, until its shard is granted again in full.

        First its lease ends for the voters, then whatever it may have granted, as its record of its own allowances
        died with it.
        """
        return self.safe_wait_ms(self.lease_ms) + self.safe_wait_ms(self.grant_ms + limit.linger_ms) + 2 * self.ask_ms

    def guaranteed_share_delay_ms(self, limit: Limit) -> float:
        """How long a new process uses no guaranteed share, as the process before it may have used it."""
        return self.safe_wait_ms(limit.linger_ms)

    def max_lowering_ms(self, limit: Limit) -> float:
        """From a shard leader's adoption of a lower number until no more than that number is in use.

        The guaranteed shares of members that have not adopted it are included. Until then grants, and what they
        admitted, have to end.
        """
        return self.safe_wait_ms(self.grant_ms + limit.linger_ms) + self.ask_ms

    def max_version_settling_ms(self, linger_ms: float) -> float:
        """From the last member's adoption of a version until all members use that version alone."""
        return self.safe_wait_ms(self.grant_ms + linger_ms) + 2 * self.renewal_interval_ms

    def split(self, limit: Limit, members: int, settled: bool = True) -> LimitSplit:
        """Divide a limit into pool and guaranteed shares, which together never exceed it.

        Until all members are known to have adopted a version (`settled`), a member's share is the lesser one of this
        version and the previous one, and the shard leader sets the greater one aside for each member. So the sum never
        exceeds the greater number, whichever version each member uses, and soon not the new one.
        """
        if not members:
            return LimitSplit(limit.amount, 0)
        share = math.floor(limit.amount * limit.standing / members)
        if settled or limit.before is None:
            return LimitSplit(limit.amount - share * members, share)
        previous_share = math.floor(limit.amount_before * limit.standing / members)
        pool = max(0, limit.amount - max(share, previous_share) * members)
        return LimitSplit(pool, min(share, previous_share))
