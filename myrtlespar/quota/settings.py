"""Limits, the settings of grants, and every bound as a formula of them.

`drift` is how much any member's monotonic clock may run fast or slow against true time. A span that must not be
exceeded is counted shorter by whoever uses it and longer by whoever waits for its end, so that true time is on the
safe side on both.
"""

from __future__ import annotations

import math
import zlib
from enum import StrEnum

import msgspec


class LimitKind(StrEnum):
    """What is promised."""

    STRICT = "strict"  # never over, in any window
    BOUNDED = "bounded"  # over by at most a stated factor, for at most a stated time
    ADVISORY = "advisory"  # counted only


class CountedUnit(StrEnum):
    """What is counted."""

    RATE = "rate"  # starts in any window
    AT_ONCE = "at once"  # runs in hand
    BUDGET = "budget"  # starts in a period, over restarts


class CountedWork(StrEnum):
    """What a limit on what is in hand counts."""

    RUNS = "runs"
    CALLS = "calls"  # of runs to the scene store


BY = ("", "peer", "site", "prefix")


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One limit of the file. Exactly one of `per_s` and `at_once`."""

    per_s: float | None = None
    at_once: int | None = None
    per_day: int | None = None
    before: float | None = None  # the number of the version before, by which some members may still go
    kind: LimitKind = LimitKind.STRICT
    cls: str = msgspec.field(name="class", default="")  # a class of requests; empty: all
    counts: CountedWork = CountedWork.RUNS
    by: str = ""  # a key for each value of this: peer, site, prefix (of the idempotency key); empty: one key
    until: str = ":"  # of `prefix`: the key up to the first of these
    standing: float = 0.1  # this part of it is shared out for good, for members that are cut off
    window_ms: int = 1000  # of a rate
    period_ms: int = 86_400_000  # of `per_day`: counted from the Unix epoch
    run_most_ms: int = 10_000  # of `at_once`: no run, or call, lasts longer

    @property
    def of(self) -> CountedUnit:
        """What is counted."""
        return (
            CountedUnit.BUDGET
            if self.per_day is not None
            else CountedUnit.RATE
            if self.at_once is None
            else CountedUnit.AT_ONCE
        )

    @property
    def amount(self) -> int:
        """Whole starts a window, or runs at once."""
        if self.per_day is not None:
            return self.per_day
        return self._whole(self.per_s if self.at_once is None else self.at_once)

    @property
    def amount_before(self) -> int:
        """The same of the version before; the present one where none is told."""
        return self.amount if self.before is None else self._whole(self.before)

    def _whole(self, number: float | None) -> int:
        part = self.window_ms / 1000 if self.at_once is None else 1.0
        return math.floor((number or 0.0) * part + 1e-9)

    @property
    def linger_ms(self) -> int:
        """How long after its end a part of the limit may still be seen in use."""
        return (
            self.run_most_ms
            if self.of is CountedUnit.AT_ONCE
            else 0
            if self.of is CountedUnit.BUDGET
            else self.window_ms
        )

    def fault(self) -> str:
        """Key and why, where it makes no sense; empty otherwise."""
        if sum(number is not None for number in (self.per_s, self.at_once, self.per_day)) != 1:
            return "per_s: exactly one of per_s, at_once and per_day is wanted"
        if self.per_day is not None and (self.kind is not LimitKind.STRICT or self.before is not None):
            return "per_day: a budget is strict, and its number changes with a restart"
        if not 1000 <= self.period_ms <= 366 * 86_400_000:
            return f"period_ms: expected 1000 to {366 * 86_400_000}, got {self.period_ms}"
        if not 100 <= self.window_ms <= 3_600_000:
            return f"window_ms: expected 100 to 3600000, got {self.window_ms}"
        if not 100 <= self.run_most_ms <= 3_600_000:
            return f"run_most_ms: expected 100 to 3600000, got {self.run_most_ms}"
        if not 0 <= self.standing <= 1:
            return f"standing: shares of more than the limit: expected 0 to 1, got {self.standing}"
        if self.by not in BY:
            return f"by: expected one of {', '.join(BY[1:])}, got {self.by!r}"
        if self.counts is CountedWork.CALLS and (self.at_once is None or self.by not in ("", "site")):
            return "counts: calls in hand are limited by at_once, for the fleet or by site"
        if not self.until:
            return "until: expected the character that ends a prefix"
        if not 1 <= self.amount <= 10_000_000:
            name = "per_day" if self.per_day is not None else "at_once" if self.per_s is None else "per_s"
            return f"{name}: less than one, or too many, a window"
        if self.before is not None and not 1 <= self.amount_before <= 10_000_000:
            return f"before: less than one, or too many, a window: {self.before:g}"
        return ""


def prefix(key: str, until: str) -> str:
    """The part of an idempotency key that names its caller: up to the first of `until`, as a short word that is safe
    in a key. A key without it, or none, counts under '-', all together; a long or odd one under its checksum.
    """
    found, mark, _ = key.partition(until)
    if not mark or not found:
        return "-"
    good = len(found) <= 24 and found.isascii() and found.isprintable() and "/" not in found and " " not in found
    return found if good else f"#{zlib.crc32(found.encode('utf-8', 'replace')):08x}"


class GrantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of grants and leases, in milliseconds."""

    drift: float = 0.01  # clocks run fast or slow by at most this
    ask_ms: int = 200  # between a holder's asks
    grant_ms: int = 2000  # a grant holds so long from its ask
    lease_ms: int = 1500  # a keeper's lease, from its ask
    ranges: int = 4  # of keys; each has a keeper
    cold_ms: int = 3000  # a key without demand for so long costs nothing any more
    members_most: int = 0  # standing shares are cut for so many members; 0: as many as the roll has at the start

    def fault(self) -> str:
        """Key and why, where it makes no sense; empty otherwise."""
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
    def renew_ms(self) -> float:
        """Between a keeper's askings for its lease: two may be lost."""
        return max(self.ask_ms, self.lease_ms / 4)

    # What whoever uses a span counts, and what whoever waits for its end counts, on clocks of their own.

    def used(self, span_ms: float) -> float:
        """Not longer than the span in true time."""
        return span_ms * (1 - self.drift)

    def waited(self, span_ms: float) -> float:
        """Not shorter than the span in true time."""
        return span_ms * (1 + self.drift)

    # Promises.

    def over(self, limit: Limit) -> int:
        """Starts over the limit in any window (runs over it at once). Strict: none, under any cut, crash, restart,
        pause, loss, delay and doubling, with clocks within `drift`. Bounded: a keeper that starts anew does not wait
        for what it can't know, so that grants may be outstanding twice.
        """
        return 0 if limit.kind is LimitKind.STRICT else limit.amount

    def over_ms(self, limit: Limit) -> float:
        """For how long a bounded limit may be over, from the start of a new keeper."""
        return 0.0 if limit.kind is LimitKind.STRICT else (self.grant_ms + limit.linger_ms) * (1 + self.drift) ** 2

    def moved_ms(self, limit: Limit) -> float:
        """From a move of demand until its new place has what is due to it, without losses: one ask that wants less,
        one that says so, the last use's time to fade, one ask that gets it; a round trip each.
        """
        return 3 * self.ask_ms + self.waited(limit.linger_ms) + self.ask_ms

    def rebuilt_ms(self, limit: Limit) -> float:
        """From the death of a keeper that all believe failed until its range is granted anew to the full: its lease
        in the voters' eyes, then what it may have granted, as its own holdings died with it.
        """
        return self.waited(self.lease_ms) + self.waited(self.grant_ms + limit.linger_ms) + 2 * self.ask_ms

    def silent_ms(self, limit: Limit) -> float:
        """How long a new process uses no standing share, as the one before it may have."""
        return self.waited(limit.linger_ms)

    def lowered_ms(self, limit: Limit) -> float:
        """From the moment that a keeper takes a lower number until no more than that is in use, the standing shares
        of members that have not taken it counted in: what is granted, and its use, have to end.
        """
        return self.waited(self.grant_ms + limit.linger_ms) + self.ask_ms

    def settled_ms(self, linger_ms: float) -> float:
        """From the last member's taking of a version until all go by it alone."""
        return self.waited(self.grant_ms + linger_ms) + 2 * self.renew_ms

    def shares(self, limit: Limit, members: int, settled: bool = True) -> tuple[int, int]:
        """(the pool that is granted, each member's standing share); together never more than the limit.

        Until all are known to have taken a version (`settled`), a member's share is the lesser one of this version
        and the one before, and the keeper sets the greater one aside for each: so nobody's version matters, and the
        sum is never over the greater number, and soon not over the new one.
        """
        if not members:
            return limit.amount, 0
        each = math.floor(limit.amount * limit.standing / members)
        if settled or limit.before is None:
            return limit.amount - each * members, each
        former = math.floor(limit.amount_before * limit.standing / members)
        return max(0, limit.amount - max(each, former) * members), min(each, former)
