"""Probe rounds: sends probes, and decides what an answer or its absence means; also probes on behalf of others."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from myrtlespar.membership.messages import Ack, IndirectProbe, MemberUpdate, Nack, Ping
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probing import Probe, Prober
from myrtlespar.membership.reachability import ReachabilityMatrix
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.timers import TimerKind, Timers
from myrtlespar.membership.view import MemberEntry, View

MAX_SITE_CHECKS = 8  # members of a site that are prioritized once one of it did not answer


class ProbeRounds:
    """Runs the probes of one member.

    `accuse` is called with the time and the known update of a member from which neither a direct nor an indirect
    answer came in time.
    """

    def __init__(
        self,
        site: str,
        settings: MembershipSettings,
        random: Random,
        view: View,
        outbox: PacketOutbox,
        timers: Timers,
        reachability: ReachabilityMatrix,
        prober: Prober,
        accuse: Callable[[float, MemberUpdate], None],
        now: float,
    ) -> None:
        self.site = site
        self.settings = settings
        self.random = random
        self.view = view
        self.outbox = outbox
        self.timers = timers
        self.reachability = reachability
        self.prober = prober
        self.accuse = accuse
        self.last_answer_at = now  # when any member last answered a probe of ours, directly or not

    def begin_period(self, now: float) -> None:
        """Probe those whose turn it is."""
        period_ms = self.settings.probe_ms * (0.9 + 0.2 * self.random.random())
        self.timers.put(now + period_ms, TimerKind.PROBE_PERIOD)
        for name in self.prober.targets(self.view):
            entry = self.view.entries[name]
            entry.last_probed_at = now
            update = entry.update
            probe_id = self.prober.begin(name, update.site, now)
            self._start_timers(probe_id)
            self.outbox.send(now, update.address, Ping(probe_id), name)

    def direct_timeout(self, now: float, probe_id: int) -> None:
        """No direct answer in time: ping again and request indirect probes.

        For a probe made for another member, that one is sent a `Nack` instead.
        """
        probe = self.prober.probes.get(probe_id)
        if probe is None:
            return
        if probe.requester:
            self.outbox.send(now, probe.requester, Nack(probe.requester_probe_id))
            return
        entry = self.view.entries.get(probe.target)
        if entry is None or not entry.present:
            return
        address = entry.update.address
        helpers = self.prober.helpers(self.view, probe.target, entry.update.site, self.site)
        probe.helpers = len(helpers)
        self.outbox.send(now, address, Ping(probe_id), probe.target)  # the first one may just be lost
        for name in helpers:
            body = IndirectProbe(probe_id, probe.target, address)
            self.outbox.send(now, self.view.entries[name].update.address, body, name)

    def probe_timeout(self, now: float, probe_id: int) -> None:
        """No answer at all: accuse the target and check the rest of its site soon."""
        probe = self.prober.end(probe_id)
        if probe is None or probe.requester or probe.answered_indirectly:
            return
        if probe.helpers > 1 and not probe.nacks:
            self.prober.worsen_health()  # no helper answered either
        entry = self.view.entries.get(probe.target)
        if entry is None or not entry.present:
            return
        for name in self.view.sites[entry.update.site].sample(self.random, MAX_SITE_CHECKS):
            if now - self.view.entries[name].last_answered_at > self.settings.reply_ms:
                self.prober.prioritize(name)
        self.accuse(now, entry.update)

    def probe_for(self, now: float, request: IndirectProbe, requester: str) -> None:
        """Probe a member for the one at address `requester`."""
        if self.prober.full():
            self.outbox.count("relay_spared")
            return
        known = self.view.entries.get(request.name)
        site = known.update.site if known is not None else ""
        probe_id = self.prober.begin(request.name, site, now, requester, request.probe_id)
        self._start_timers(probe_id)
        self.outbox.send(now, request.address, Ping(probe_id), request.name)

    def acknowledged(self, now: float, ack: Ack, sender: MemberEntry) -> None:
        """The sender answered, or a member that it probed for us did. Even a late answer proves that it is alive."""
        probe = self.prober.probes.get(ack.probe_id)
        if ack.target == sender.update.name:
            self._acknowledged_directly(now, ack.probe_id, probe, sender)
        elif probe is not None and probe.target == ack.target:
            self._acknowledged_indirectly(now, probe)

    def not_acknowledged(self, probe_id: int) -> None:
        """A helper that we asked for an indirect probe is alive, but got no answer from the target."""
        probe = self.prober.probes.get(probe_id)
        if probe is not None:
            probe.nacks += 1

    def _acknowledged_directly(self, now: float, probe_id: int, probe: Probe | None, sender: MemberEntry) -> None:
        name = sender.update.name
        self.last_answer_at = now
        self.view.mark_answered(name, now)
        self.reachability.answered_directly(self.view, sender)
        if probe is None or probe.target != name:
            return
        self.prober.end(probe_id)
        self.prober.record_round_trip(sender.update.site, now - probe.sent)
        if probe.requester:
            self.outbox.send(now, probe.requester, Ack(probe.requester_probe_id, name))
            return
        self.prober.improve_health()

    def _acknowledged_indirectly(self, now: float, probe: Probe) -> None:
        target = self.view.entries.get(probe.target)
        if target is None or probe.answered_indirectly or probe.requester:
            return
        probe.answered_indirectly = True
        self.prober.busy.discard(probe.target)
        self.prober.improve_health()
        self.last_answer_at = now
        self.view.mark_answered(probe.target, now)
        if self.reachability.answered_indirectly(self.view, target, now):
            self.prober.prioritize(probe.target)

    def _start_timers(self, probe_id: int) -> None:
        probe = self.prober.probes[probe_id]
        self.timers.put(probe.direct_deadline, TimerKind.DIRECT_TIMEOUT, probe_id)
        self.timers.put(probe.deadline, TimerKind.PROBE_TIMEOUT, probe_id)
