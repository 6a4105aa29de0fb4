"""All settings of membership in one frozen value, and the bounds that follow from them as formulas."""

from __future__ import annotations

import math

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times in milliseconds. The defaults are for one data centre or a few near ones (round trips under 100 ms)."""

    probe_ms: int = 200  # one member is probed each so often
    reply_ms: int = 400  # direct and indirect answers of one probe must come within this
    direct_min_ms: int = 60  # at least so long before others are asked to probe
    direct_max_ms: int = 200  # at most so long
    relays: int = 3  # members asked to probe for us
    suspect_min_ms: int = 1100  # from suspicion to failure, enough accusers
    suspect_max_ms: int = 1800  # the same, one accuser
    accusers: int = 3  # independent ones that bring the time down to its least
    health_most: int = 3  # local health: probes wait up to 1 + this times as long when we are slow ourselves
    late_ms: int = 60  # a turn that comes so late is our own fault: every wait is moved on by the delay
    burst: int = 3  # further probes a period while we look for what else failed
    verify: float = 6.0  # members (on average) that check a suspicion they hear of
    fanout: int = 3  # members told at once of something new
    push_ms: int = 10  # news are gathered for so long before they are told
    push_per_s: int = 20  # datagrams a second spent on telling news, beside what rides on probes
    carry: int = 8  # rumours in one datagram
    repeat: float = 3.0  # a rumour rides this many times log2(n + 1)
    knock_ms: int = 400  # a failed member, or a seed while alone, is looked for each so often
    sync_ms: int = 1000  # least time between whole views we ask for; grows with the fleet
    differ_ms: int = 300  # hashes that differ for so long lead to an exchange of whole views
    disagree_ms: int = 10_000  # hashes that differ for so long are a disagreement, told to the operators
    forget_ms: int = 600_000  # failed ones outside the electorate, and left ones, are kept for so long
    cannot: int = 8  # members in one reach row at the most
    link_tries: int = 3  # direct probes in a row that only others' help saved, until a link is named as broken

    def fault(self) -> str:
        """The first setting that contradicts another or is out of range, with why; empty if none."""
        for name in self.__struct_fields__:
            if getattr(self, name) < (0 if name in ("health_most", "relays", "burst") else 1):
                return f"{name}: expected at least 1, got {getattr(self, name)}"
            if getattr(self, name) > 86_400_000:
                return f"{name}: expected at most 86400000, got {getattr(self, name)}"
        for low, high in (
            ("direct_min_ms", "direct_max_ms"),
            ("direct_max_ms", "reply_ms"),
            ("suspect_min_ms", "suspect_max_ms"),
            ("reply_ms", "suspect_min_ms"),
        ):
            if getattr(self, low) > getattr(self, high):
                return f"{low}: {getattr(self, low)} is over {high}, {getattr(self, high)}"
        if self.carry > 8:
            return f"carry: expected at most 8, got {self.carry}"  # what a datagram of 1,200 bytes holds for sure
        return ""

    def spread_ms(self, n: int) -> float:
        """News reach all connected members within this, at a loss of up to 5%: rounds of telling, each after
        `push_ms` and a hop of at most `direct_max_ms`, twice over for losses.
        """
        return 2 * math.log(n + 1, 1 + self.fanout) * (self.push_ms + self.direct_max_ms / 4)

    def pause_ms(self) -> float:
        """A member that is silent for no longer than this is never failed by a healthy one (no loss): the least time
        from the start of a probe to a failure, less the way of its refutation.
        """
        return self.reply_ms + self.suspect_min_ms - self.direct_max_ms

    def detect_ms(self, n: int) -> float:
        """All members still connected to one another know a stopped one as failed within this (n of them, none of
        them slow itself): somebody probes it, one probe fails, the longest suspicion, and the spreading.
        """
        return self._found_ms(n) + self.reply_ms + self.suspect_max_ms + self.spread_ms(n)

    def standing_ms(self, n: int) -> float:
        """A standing is right this long after the last change of links, n members in all: the first lost one is
        found, the rest in bursts, each with a probe at our worst local health and the longest suspicion.
        """
        bursts = math.ceil(n / (1 + self.burst)) * self.probe_ms
        return (
            self._found_ms(n)
            + bursts
            + self.reply_ms * (1 + self.health_most)
            + self.suspect_max_ms
            + self.spread_ms(n)
        )

    def isolated_ms(self) -> float:
        """Who has had no answer from anybody for so long claims nothing for others, whatever it hears: one that hears
        all and is heard by none must not count them, though their refutations keep them alive to it.
        """
        return self.reply_ms * (1 + self.health_most) + self.suspect_min_ms

    def heal_ms(self, n: int) -> float:
        """Views are equal this long after all links work again: each side looks for a lost one every `knock_ms`, the
        refutations spread, and whole views are exchanged once.
        """
        return 2 * self.knock_ms + self.differ_ms + self.sync_every_ms(n) + 2 * self.spread_ms(n)

    def sync_every_ms(self, n: int) -> float:
        """Whole views grow with the fleet, so they are asked for more seldom in a large one."""
        return self.sync_ms + 5.0 * max(0, n - 50)

    def _found_ms(self, n: int) -> float:
        """Until some member probes a given one: n - 1 probers each pick about one of n - 1 a period, so the chance of
        none in k periods is e^-k, and e^-4 / n (0.0008 for 24 members) in these.
        """
        return self.probe_ms * (4 + math.log(max(n, 2)))
