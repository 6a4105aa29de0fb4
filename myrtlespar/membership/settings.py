"""Settings of membership, and the bounds that follow from them as formulas."""

from __future__ import annotations

import math

import msgspec

MAX_SETTING = 86_400_000  # a day, for times in ms
MAX_CARRY = 8  # this many updates of any size fit into a datagram of 1,200 bytes
ZERO_ALLOWED = ("health_most", "relays", "burst")


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of membership. Times are in milliseconds; the field names are keys of the fleet file.

    The defaults are for one data centre or a few near ones (round trips under 100 ms).
    """

    probe_ms: int = 200  # probe period: one member is probed in each
    reply_ms: int = 400  # timeout of a probe, indirect answers included; longer if round trips are long
    direct_min_ms: int = 60  # minimum wait for a direct answer before indirect probes are requested
    direct_max_ms: int = 200  # maximum wait for a direct answer
    relays: int = 3  # members asked for an indirect probe
    suspect_min_ms: int = 1100  # time from suspicion to failure, with 1 + `accusers` accusers or more
    suspect_max_ms: int = 1800  # time from suspicion to failure, with one accuser
    accusers: int = 3  # further accusers that shorten the time from suspicion to failure to suspect_min_ms
    health_most: int = 3  # worst local health score: a slow member's probes wait up to 1 + this times as long
    late_ms: int = 60  # timers later than this show that this process did not run: all deadlines are postponed
    burst: int = 3  # extra probes per period, of members to be probed before their turn
    verify: float = 6.0  # average number of members that check another member's accusation themselves
    fanout: int = 3  # number of members that new updates are pushed to
    push_ms: int = 10  # updates are gathered for this time before they are pushed
    push_per_s: int = 20  # datagrams a second that only push updates; probes and their answers carry updates too
    carry: int = 8  # maximum number of updates in one datagram
    repeat: float = 3.0  # each of n members sends an update `repeat` * log2(n + 1) times
    knock_ms: int = 400  # interval at which one failed member and one missing seed are contacted
    sync_ms: int = 1000  # minimum time between requests of complete views; grows with the fleet
    differ_ms: int = 300  # view hashes that differ for this time lead to an exchange of complete views
    disagree_ms: int = 10_000  # view hashes that differ for this time are reported to the operators
    forget_ms: int = 600_000  # failed members that are no voters, and those that left, are forgotten after this time
    cannot: int = 8  # maximum number of members in one reachability row
    link_tries: int = 3  # consecutive probes answered only indirectly, after which a link is reported as broken

    def validation_error(self) -> str:
        """Return why a setting is out of range or contradicts another, its name first; empty if all are valid."""
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
                return f"{low}: expected at most {high}, {getattr(self, high)}, got {getattr(self, low)}"
        if self.carry > MAX_CARRY:
            return f"carry: expected at most {MAX_CARRY}, got {self.carry}"
        return ""

    def spread_ms(self, member_count: int) -> float:
        """Bound (ms) for an update to reach all `member_count` connected members, at a loss of up to 5%.

        It counts rounds of gossip, each of `push_ms` and a hop of a quarter of `direct_max_ms`, and doubles their time
        to allow for losses.
        """
        return 2 * math.log(member_count + 1, 1 + self.fanout) * (self.push_ms + self.direct_max_ms / 4)

    def pause_ms(self) -> float:
        """Longest silence (ms) for which no healthy member declares the silent one failed, if no packet is lost.

        It is the minimum time from the start of a probe to a failure, less the time that a refutation takes.
        """
        return self.reply_ms + self.suspect_min_ms - self.direct_max_ms

    def detect_ms(self, member_count: int) -> float:
        """Bound (ms) until all `member_count` members that are still connected believe a stopped one failed.

        It holds if none of them is slow itself. It adds up the time until one of them probes the stopped member, one
        failed probe, the longest suspicion and the dissemination.
        """
        return self._first_probe_ms(member_count) + self.reply_ms + self.suspect_max_ms + self.spread_ms(member_count)

    def standing_ms(self, member_count: int) -> float:
        """Bound (ms) until a quorum status is correct after the last change of links.

        It adds up the time until the first lost member is probed, the periods in which the others are probed in
        bursts, one failed probe at the worst local health, the longest suspicion and the dissemination.
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
        """A member that no other has answered for longer than this (ms) counts no other voter as present.

        Otherwise a member whose own packets all get lost would go on counting the others, as their refutations still
        arrive and keep them alive in its view.
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
        """Time (ms) within which some member almost certainly probes a given one.

        In each period, each of the other n - 1 members probes about one of n - 1. So the probability of no probe of
        the given one is e^-k in k periods, and e^-4 / n (0.0008 for 24 members) in the returned time.
        """
        return self.probe_ms * (4 + math.log(max(member_count, 2)))
