"""Probe rounds: sends probes, handles answers and timeouts, and probes on behalf of other members."""

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

MAX_SITE_CHECKS = 8  # members of a site to be probed before their turn once one of the site did not answer


class ProbeRounds:
    """Runs the probes of one member.

    `accuse` is called with the time and the known update of a member if neither a direct nor an indirect answer came
    in time.
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
        """Send the probes of this period, and set the timer for the next period."""
        period_ms = self.settings.probe_ms * (0.9 + 0.2 * self.random.random())
        self.timers.put(now + period_ms, TimerKind.PROBE_PERIOD)
        for name in self.prober.targets(self.view):
            entry = self.view.entries[name]
            entry.last_probed_at = now
            update = entry.update
            probe_id = self.prober.begin(name, update.site, now)
            self._start_timers(probe_id)
            self.outbox.send(now, update.address, Ping(probe_id), name)

    def handle_direct_timeout(self, now: float, probe_id: int) -> None:
        """Ping again and request indirect probes, if no direct answer came in time.

        If the probe was made on behalf of another member, send that member a `Nack` instead.
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
        self.outbox.send(now, address, Ping(probe_id), probe.target)  # the first ping may just be lost
        for name in helpers:
            body = IndirectProbe(probe_id, probe.target, address)
            self.outbox.send(now, self.view.entries[name].update.address, body, name)

    def handle_probe_timeout(self, now: float, probe_id: int) -> None:
        """Accuse the target if no answer came at all, and probe other members of its site before their turn."""
        probe = self.prober.end(probe_id)
        if probe is None or probe.requester or probe.answered_indirectly:
            return
        if probe.helpers > 1 and not probe.nacks:
            self.prober.worsen_health()  # no helper answered either: this member may be cut off itself
        entry = self.view.entries.get(probe.target)
        if entry is None or not entry.present:
            return
        for name in self.view.sites[entry.update.site].sample(self.random, MAX_SITE_CHECKS):
            if now - self.view.entries[name].last_answered_at > self.settings.reply_ms:
                self.prober.prioritize(name)
        self.accuse(now, entry.update)

    def handle_indirect_probe(self, now: float, request: IndirectProbe, requester: str) -> None:
        """Probe a member on behalf of the member at address `requester`."""
        if self.prober.at_capacity():
            self.outbox.count("relay_spared")
            return
        known = self.view.entries.get(request.name)
        site = known.update.site if known is not None else ""
        probe_id = self.prober.begin(request.name, site, now, requester, request.probe_id)
        self._start_timers(probe_id)
        self.outbox.send(now, request.address, Ping(probe_id), request.name)

    def handle_ack(self, now: float, ack: Ack, sender: MemberEntry) -> None:
        """Record an answer of the sender, or of a member that it probed for us.

        Even an answer to a probe that has timed out proves that the sender is alive.
        """
        probe = self.prober.probes.get(ack.probe_id)
        if ack.target == sender.update.name:
            self._handle_direct_ack(now, ack.probe_id, probe, sender)
        elif probe is not None and probe.target == ack.target:
            self._handle_indirect_ack(now, probe)

    def handle_nack(self, probe_id: int) -> None:
        """Count a helper that is alive but got no answer from the target of an indirect probe."""
        probe = self.prober.probes.get(probe_id)
        if probe is not None:
            probe.nacks += 1

    def _handle_direct_ack(self, now: float, probe_id: int, probe: Probe | None, sender: MemberEntry) -> None:
        name = sender.update.name
        self.last_answer_at = now
        self.view.record_answer(name, now)
        self.reachability.record_direct_answer(self.view, sender)
        if probe is None or probe.target != name:
            return
        self.prober.end(probe_id)
        self.prober.record_round_trip(sender.update.site, now - probe.sent)
        if probe.requester:
            self.outbox.send(now, probe.requester, Ack(probe.requester_probe_id, name))
            return
        self.prober.improve_health()

    def _handle_indirect_ack(self, now: float, probe: Probe) -> None:
        target = self.view.entries.get(probe.target)
        if target is None or probe.answered_indirectly or probe.requester:
            return
        probe.answered_indirectly = True
        self.prober.in_flight_targets.discard(probe.target)
        self.prober.improve_health()
        self.last_answer_at = now
        self.view.record_answer(probe.target, now)
        if self.reachability.record_indirect_answer(self.view, target, now):
            self.prober.prioritize(probe.target)

    def _start_timers(self, probe_id: int) -> None:
        probe = self.prober.probes[probe_id]
        self.timers.put(probe.direct_deadline, TimerKind.DIRECT_TIMEOUT, probe_id)
        self.timers.put(probe.deadline, TimerKind.PROBE_TIMEOUT, probe_id)
