"""Probes in flight, round-trip times, local health, and the choice of members to probe."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import View

MAX_PROBES = 256  # in flight, those on behalf of other members included
MAX_PRIORITIZED = 64  # members to probe before their turn; further ones are probed at their turn
RTT_MARGIN_MS = 5
MAX_REPLY_FACTOR = 3  # a probe never takes longer than this many times `reply_ms`


@dataclass(slots=True)
class Probe:
    """One probe of ours, or one on behalf of the member at `requester`. Times are monotonic milliseconds."""

    target: str
    sent: float
    direct_deadline: float
    deadline: float
    helpers: int = 0  # members asked for an indirect probe
    nacks: int = 0  # helpers that replied, but got no answer from the target
    requester: str = ""  # address of the member that requested the probe; empty for our own probes
    requester_probe_id: int = 0
    answered_indirectly: bool = False  # a direct answer may still come


class Prober:
    """Keeps the probes in flight, chooses the members to probe and sets the timeouts."""

    def __init__(self, settings: MembershipSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.probes: dict[int, Probe] = {}
        self.in_flight_targets: set[str] = set()  # targets of our own probes in flight
        self.prioritized: dict[str, None] = {}  # to be probed before their turn
        self.health = 0  # 0 is healthy; each step adds the normal timeout once more to our probes' timeouts
        self.last_probe_id = 0
        self.round_trips: dict[str, tuple[float, float]] = {}  # by site: smoothed round trip and its deviation, ms

    def improve_health(self) -> None:
        """Improve local health by one step, as a probe of ours was answered."""
        self.health = max(0, self.health - 1)

    def worsen_health(self) -> None:
        """Worsen local health by one step, on a sign that this member itself is slow or cut off."""
        self.health = min(self.settings.health_most, self.health + 1)

    def next_probe_id(self) -> int:
        """Return an id for a ping, whether or not it is tracked as a probe."""
        self.last_probe_id += 1
        return self.last_probe_id

    def begin(self, target: str, site: str, now: float, requester: str = "", requester_probe_id: int = 0) -> int:
        """Start a probe and return its id; local health prolongs only our own probes."""
        probe_id = self.next_probe_id()
        factor = 1 if requester else 1 + self.health
        self.probes[probe_id] = Probe(
            target,
            now,
            now + self.direct_ms(site) * factor,
            now + self.reply_ms(site) * factor,
            requester=requester,
            requester_probe_id=requester_probe_id,
        )
        if not requester:
            self.in_flight_targets.add(target)
            self.prioritized.pop(target, None)
        return probe_id

    def end(self, probe_id: int) -> Probe | None:
        """Remove a probe and return it, None if it has already ended."""
        probe = self.probes.pop(probe_id, None)
        if probe is not None and not probe.requester and not probe.answered_indirectly:
            self.in_flight_targets.discard(probe.target)
        return probe

    def at_capacity(self) -> bool:
        """Return whether too many probes are in flight to make one for another member; bounds memory and bandwidth."""
        return len(self.probes) >= MAX_PROBES

    def shift(self, delay_ms: float) -> None:
        """Postpone the deadlines of all probes by `delay_ms`."""
        for probe in self.probes.values():
            probe.direct_deadline += delay_ms
            probe.deadline += delay_ms

    def direct_ms(self, site: str) -> float:
        """Return the timeout (ms) of a direct answer: smoothed round trip plus four deviations, within bounds."""
        mean, deviation = self.round_trips.get(site, (self.settings.direct_min_ms, 0.0))
        estimate = mean + 4 * deviation + RTT_MARGIN_MS
        return min(max(estimate, self.settings.direct_min_ms), self.settings.direct_max_ms)

    def reply_ms(self, site: str) -> float:
        """Return the timeout (ms) of a whole probe, indirect answers included; it grows with the site's round trip."""
        mean, deviation = self.round_trips.get(site, (0.0, 0.0))
        estimate = 2 * (mean + 4 * deviation)
        return min(max(estimate, self.settings.reply_ms), MAX_REPLY_FACTOR * self.settings.reply_ms)

    def record_round_trip(self, site: str, round_trip_ms: float) -> None:
        """Update the smoothed round trip of a site and its deviation, with the gains of RFC 6298 (TCP)."""
        mean, deviation = self.round_trips.get(site, (round_trip_ms, round_trip_ms / 2))
        deviation += (abs(round_trip_ms - mean) - deviation) / 4
        self.round_trips[site] = mean + (round_trip_ms - mean) / 8, deviation

    def prioritize(self, name: str) -> None:
        """Have a member probed before its turn, unless it is being probed or too many others wait for that."""
        if len(self.prioritized) < MAX_PRIORITIZED and name not in self.in_flight_targets:
            self.prioritized.setdefault(name)

    def targets(self, view: View) -> list[str]:
        """Choose whom to probe in this period: up to `burst` prioritized members, and one whose turn it is."""
        targets: list[str] = []
        for name in list(self.prioritized):
            if len(targets) == self.settings.burst:
                break
            del self.prioritized[name]
            if name in view.present and name not in self.in_flight_targets:
                targets.append(name)
        regular = view.next_to_probe(
            self.random, self.in_flight_targets.union(targets) if targets else self.in_flight_targets
        )
        return [*targets, regular] if regular else targets

    def helpers(self, view: View, target: str, site: str, own_site: str) -> list[str]:
        """Choose members to ask for an indirect probe: of our site, of the target's, and of other sites if any.

        Other sites are included so that, if the link between our site and the target's is cut, some helper reaches
        both.
        """
        exclude = {target}
        helpers: list[str] = []
        other_sites = [names for key, names in view.sites.items() if key not in (site, own_site) and len(names)]
        self.random.shuffle(other_sites)
        near_sites = [view.sites[key] for key in dict.fromkeys((site, own_site)) if key in view.sites]
        other_sites = other_sites[: max(1, self.settings.relays - 2)]
        for names in [*other_sites, *near_sites, view.present, view.present]:
            if len(helpers) == self.settings.relays:
                break
            helpers += names.sample(self.random, 1, frozenset(exclude))[:1]
            exclude.update(helpers)
        return helpers
