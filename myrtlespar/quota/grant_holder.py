"""What one member may use: its standing shares and its grants, and how much of them is in use.

A grant counts from the sending of the ask that it answers, and is counted short. Nothing here waits: `look` says at
once whether there is room, and if not, when there may be.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit, LimitKind
from myrtlespar.quota.usage_windows import ConcurrencyCounter, UsageWindow


@dataclass(slots=True)
class KeyAllowance:
    """One key as this member has it."""

    limit: Limit
    standing: int
    meter: UsageWindow | ConcurrencyCounter
    tries: UsageWindow  # all that asked for room, let in or not
    amount: int = 0
    until: float = 0.0
    took: int = 0
    wanted_at: float = 0.0
    mean: float = 0.0  # of the demand in a window, over some of them
    looks: int = 0  # that the mean was taken over
    want: int = 0
    rate: bool = True  # not what is in hand
    high: int = 0  # of what is in use, the most since the last ask
    past: list[tuple[int, float]] = field(default_factory=list)  # grants that ended: amount, when

    def granted(self, now: float) -> int:
        """What is granted now."""
        return self.amount if now < self.until else 0


@dataclass(frozen=True, slots=True)
class AdmissionCheck:
    """Whether there is room for one more; if not, in how long there may be, and by which number it was refused."""

    ok: bool
    after_ms: float = 0.0
    allowance: int = 0
    used: int = 0
    granted: int = 0
    left_ms: float = 0.0  # of the grant at hand; below 0: it lapsed so long ago


ADMITTED = AdmissionCheck(True)
SWING, SWING_LEAST = 3.0, 3  # demand that leaves its mean by so many roots of it, upwards by this much more, has moved
SILENT = 1.5  # windows without any demand: it has gone
STEADY = 1.25  # and a tenth: a mean within so much of what was asked last is the same
MEAN_MS = 8000.0  # over which the mean forgets


class GrantHolder:
    """All keys of one member. `shares` are made as keys are first wanted and dropped when cold."""

    def __init__(self, terms: GrantSettings, members: int, now: float) -> None:
        self.terms, self.members, self.began = terms, members, now
        self.shares: dict[str, KeyAllowance] = {}
        self.settled = False  # whether all members are known to go by our version of the limits
        self.retired = False  # a second process of our name goes on: our standing share is its own now
        self._asks: dict[int, tuple[float, int]] = {}  # number: when sent, range
        self._no = 0

    def share(self, key: str, limit: Limit) -> KeyAllowance:
        """The state of a key."""
        found = self.shares.get(key)
        if found is None:
            span = self.terms.waited(limit.window_ms)
            meter: UsageWindow | ConcurrencyCounter = (
                UsageWindow(span) if limit.of is CountedUnit.RATE else ConcurrencyCounter()
            )
            found = self.shares[key] = KeyAllowance(
                limit, self._standing(limit), meter, UsageWindow(span), rate=limit.of is CountedUnit.RATE
            )
        return found

    def _standing(self, limit: Limit) -> int:
        return self.terms.shares(limit, self.members, self.settled)[1]

    def adopt(self, limits: Mapping[str, Limit], settled: bool) -> None:
        """Go by these limits from now on; what is in use stays counted."""
        self.settled = settled
        for key, share in self.shares.items():
            share.limit = limits[key.partition("/")[0]]
            share.standing = self._standing(share.limit)

    def allowance(self, now: float, share: KeyAllowance) -> int:
        """What may be in use now. A new life uses no standing share before an earlier one's use has faded."""
        quiet = self.retired or now < self.began + self.terms.silent_ms(share.limit)
        return share.granted(now) + (0 if quiet and share.limit.kind is LimitKind.STRICT else share.standing)

    def look(self, now: float, key: str, limit: Limit, ahead: int = 0, again: bool = False) -> AdmissionCheck:
        """Whether there is room for one more behind so many that wait; unless it asks `again`, it counts as demand
        either way.
        """
        share = self.share(key, limit)
        share.wanted_at = now
        if not again and share.rate:
            share.tries.add(now)
        if limit.kind is LimitKind.ADVISORY:
            return ADMITTED
        allowance, used = self.allowance(now, share), share.meter.look(now)
        if used + ahead < allowance:
            return ADMITTED
        if not again and not share.rate:  # of what is in hand, the most at a time counts, and what found no room
            share.tries.add(now)
        at = share.meter.room_at(now, allowance, ahead)
        after = at - now if at < float("inf") else self.terms.moved_ms(limit)
        return AdmissionCheck(False, max(after, 1.0), allowance, used, share.granted(now), share.until - now)

    def free(self, now: float, key: str) -> int:
        """How many more there is room for."""
        share = self.shares.get(key)
        return self.allowance(now, share) - share.meter.look(now) if share is not None else 0

    def room_ms(self, now: float, key: str) -> float:
        """In how long there is room for one more; infinity if that is not known."""
        share = self.shares.get(key)
        return max(0.0, share.meter.room_at(now, self.allowance(now, share)) - now) if share else float("inf")

    def use(self, now: float, key: str) -> None:
        """Use one, right after `look` said that there is room."""
        share = self.shares.get(key)
        if share is None:  # no limit has this key
            return
        share.meter.add(now)
        if share.meter.count > share.high:
            share.high = share.meter.count

    def ended(self, key: str) -> None:
        """A run of a limit on what is in hand is over."""
        share = self.shares.get(key)
        if share is not None and isinstance(share.meter, ConcurrencyCounter) and share.meter.count > 0:
            share.meter.drop()

    # To and from the keeper.

    def wants(self, now: float) -> dict[str, KeyDemand]:
        """What is to be asked for now: keys with demand beyond the standing share, or with a grant to give back."""
        out: dict[str, KeyDemand] = {}
        for key, share in list(self.shares.items()):
            if share.limit.kind is LimitKind.ADVISORY:
                continue
            used = share.meter.look(now)
            need = share.tries.look(now)
            if isinstance(share.meter, ConcurrencyCounter):
                need, share.high = need + max(share.high, used), used
            if now - share.wanted_at > self.terms.cold_ms:
                share.mean, share.want, share.looks = 0.0, 0, 0
            want = min(max(0, self._mean(now, share, need) - share.standing), share.limit.amount)
            warm = now - share.wanted_at < self.terms.cold_ms  # seldom wanted: one place is kept for the next
            peak = min(max(want, need + need // 8 + 1 - share.standing), share.limit.amount) if need or warm else 0
            live = share.granted(now) > 0 or any(at > now for _, at in share.past)
            if want or peak or live:
                out[key] = KeyDemand(key, want, share.took, max(0, used - share.standing), peak)
            elif not used and now - share.wanted_at > self.terms.cold_ms:
                del self.shares[key]  # a cold key costs nothing
        return out

    def _mean(self, now: float, share: KeyAllowance, need: int) -> int:
        """Demand in whole parts, slow to change: what swings in it would be set aside at its height for a whole
        linger. A move of demand is no swing, and is followed at once.
        """
        share.looks = share.looks + 1 if need or share.mean > 0.5 else 0
        swing = SWING * math.sqrt(share.mean)
        silent = not need and now - share.wanted_at > SILENT * share.limit.window_ms
        if silent or not share.mean - swing <= need <= share.mean + swing + SWING_LEAST:
            share.mean, share.looks = need, 1
        else:
            share.mean += (need - share.mean) * max(self.terms.ask_ms / MEAN_MS, 1 / (share.looks + 1))
        if abs(share.mean - share.want) > STEADY + share.want / 10:
            share.want = round(share.mean)
        return share.want

    def asking(self, now: float, rng: int) -> int:
        """The number of an ask that is sent now."""
        self._no += 1
        self._asks[self._no] = now, rng
        for no in [no for no, (at, _) in self._asks.items() if at < now - self.terms.grant_ms]:
            del self._asks[no]
        return self._no

    def granted(self, now: float, rng: int, no: int, for_ms: float, amounts: tuple[tuple[str, int], ...]) -> bool:
        """Take an answer. False: it is too old, or was never asked for."""
        asked = self._asks.get(no)
        if asked is None or asked[1] != rng:
            return False
        until = asked[0] + self.terms.used(min(for_ms, self.terms.grant_ms))
        if until <= now:
            return False
        for key, amount in amounts:
            share = self.shares.get(key)
            if share is not None and no > share.took:
                self._end(now, share)
                share.amount, share.until, share.took = amount, until, no
        return True

    def _end(self, now: float, share: KeyAllowance) -> None:
        """The grant at hand ends now, or has ended."""
        fades = min(now, share.until) + self.terms.waited(share.limit.linger_ms)
        share.past = [row for row in share.past if row[1] > now and (row[0] > share.amount or row[1] > fades)]
        if share.amount and fades > now:
            share.past.append((share.amount, fades))

    def holds(self, now: float, ours: Mapping[str, int]) -> list[tuple[str, int]]:
        """What may be in use beyond the standing shares, of the keys in `ours` (key: range)."""
        out = []
        for key, share in self.shares.items():
            if key not in ours:
                continue
            most = max([share.granted(now), *(amount for amount, fades in share.past if fades > now)])
            if share.amount and share.until <= now < share.until + self.terms.waited(share.limit.linger_ms):
                most = max(most, share.amount)
            if isinstance(share.meter, ConcurrencyCounter):
                most = max(most, share.meter.count - share.standing)
            if most > 0:
                out.append((key, most))
        return out
