"""Settings of membership, and the bounds that follow from them as formulas."""

from __future__ import annotations

import math

import msgspec

MAX_SETTING = 86_400_000  # a day, for times in ms
MAX_CARRY = 8  # updates that fit a datagram of 1,200 bytes in any case
ZERO_ALLOWED = ("health_most", "relays", "burst")


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times in milliseconds; the field names are keys of the fleet file.

    The defaults are for one data centre or a few near ones (round trips under 100 ms).
    """

    probe_ms: int = 200  # period in which one member is probed in turn
    reply_ms: int = 400  # direct and indirect answers of one probe must come within this
    direct_min_ms: int = 60  # minimum wait for a direct answer before indirect probes are requested
    direct_max_ms: int = 200  # maximum of that wait
    relays: int = 3  # members asked for an indirect probe
    suspect_min_ms: int = 1100  # from suspicion to failure, enough accusers
    suspect_max_ms: int = 1800  # the same, one accuser
    accusers: int = 3  # further independent accusers that reduce the time to suspect_min_ms
    health_most: int = 3  # worst local health: probes wait up to 1 + this times as long if we are slow ourselves
    late_ms: int = 60  # a timer that is so late means that we were stopped: all waits are postponed
    burst: int = 3  # probes a period beside the regular one, of members to check soon
    verify: float = 6.0  # members (on average) that check a suspicion they are notified of
    fanout: int = 3  # members that new updates are pushed to at once
    push_ms: int = 10  # updates are gathered for this time before they are pushed
    push_per_s: int = 20  # datagrams a second that only push updates, beside what rides on probes
    carry: int = 8  # updates in one datagram
    repeat: float = 3.0  # an update is sent this many times log2(n + 1)
    knock_ms: int = 400  # interval of pinging a failed member, and a seed that is missing
    sync_ms: int = 1000  # minimum time between requests of complete views; grows with the fleet
    differ_ms: int = 300  # view hashes that differ for this time lead to an exchange of complete views
    disagree_ms: int = 10_000  # view hashes that differ for this time are reported to the operators
    forget_ms: int = 600_000  # failed members that are no voters, and those that left, are forgotten after this time
    cannot: int = 8  # maximum number of members in one reachability row
    link_tries: int = 3  # direct probes in a row that only indirect ones saved, until a link is reported as broken

    def validation_error(self) -> str:
        """The first setting that contradicts another or is out of range, and why; empty if there is none."""
        for name in self.__struct_fields__:
            if getattr(self, name) < (0 if name in ZERO_ALLOWED else 1):
                return f"{name}: expected at least 1, got {getattr(self, name)}"
            if getattr(self, name) > MAX_SETTING:
                return f"{name}: expected at most {MAX_SETTING}, got {getattr(self, name)}"
        for low, high in (
            ("direct_min_ms", "direct_max_ms"),
            ("direct_max_ms", "reply_ms"),
            ("suspect_min_ms", "suspect_max_ms"),
            ("reply_ms", "suspect_min_ms"),
        ):
            if getattr(self, low) > getattr(self, high):
                return f"{low}: {getattr(self, low)} is over {high}, {getattr(self, high)}"
        if self.carry > MAX_CARRY:
            return f"carry: expected at most {MAX_CARRY}, got {self.carry}"
        return ""

    def spread_ms(self, member_count: int) -> float:
        """Bound (ms) for an update to reach all `member_count` connected members, at a loss of up to 5%.

        Rounds of gossip, each after `push_ms` and a hop of a quarter of `direct_max_ms`, doubled for losses.
        """
        return 2 * math.log(member_count + 1, 1 + self.fanout) * (self.push_ms + self.direct_max_ms / 4)

    def pause_ms(self) -> float:
        """A member silent for no longer than this (ms) is never declared failed by a healthy one, without loss.

        The minimum time from the start of a probe to a failure, less the time that a refutation takes.
        """
        return self.reply_ms + self.suspect_min_ms - self.direct_max_ms

    def detect_ms(self, member_count: int) -> float:
        """Bound (ms) until all `member_count` members still connected know a stopped one as failed.

        It holds if none of them is slow itself, and adds up the time until one of them probes it, one failed probe,
        the longest suspicion and the dissemination.
        """
        return self._first_probe_ms(member_count) + self.reply_ms + self.suspect_max_ms + self.spread_ms(member_count)

    def standing_ms(self, member_count: int) -> float:
        """Bound (ms) until a quorum status is right after the last change of links.

        The first lost member is found, the others in bursts, each with a probe at the worst local health and the
        longest suspicion.
        """
        bursts = math.ceil(member_count / (1 + self.burst)) * self.probe_ms
        return (
            self._first_probe_ms(member_count)
            + bursts
            + self.reply_ms * (1 + self.health_most)
            + self.suspect_max_ms
            + self.spread_ms(member_count)
        )

    def isolated_ms(self) -> float:
        """A member without an answer from any other for longer than this (ms) counts no other voter.

        One that receives packets but whose own get lost must not count the others, although their refutations keep
        them alive in its view.
        """
        return self.reply_ms * (1 + self.health_most) + self.suspect_min_ms

    def heal_ms(self, member_count: int) -> float:
        """Bound (ms) until views are equal after all links work again.

        Each side pings a lost member every `knock_ms`, the refutations are disseminated, and complete views are
        exchanged once.
        """
        return 2 * self.knock_ms + self.differ_ms + self.sync_every_ms(member_count) + 2 * self.spread_ms(member_count)

    def sync_every_ms(self, member_count: int) -> float:
        """Minimum time (ms) between requests of complete views, which grow with the fleet."""
        return self.sync_ms + 5.0 * max(0, member_count - 50)

    def _first_probe_ms(self, member_count: int) -> float:
        """Time (ms) until some member probes a given one.

        With n members, each of n - 1 picks about one of n - 1 a period. So the chance of no probe in k periods is
        e^-k, and e^-4 / n (0.0008 for 24 members) in the returned time.
        """
        return self.probe_ms * (4 + math.log(max(member_count, 2)))
