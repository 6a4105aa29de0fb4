"""Rounds of probing: whom to ask, what its answer or silence means, and help for others' probes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from myrtlespar.membership.messages import Ack, CountEvent, IndirectProbe, MemberUpdate, Nack, Ping
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probing import Prober, Timers
from myrtlespar.membership.reachability import ReachabilityMatrix
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MemberEntry, View


class ProbeRounds:
    """`accuse` is called with what is believed of a member that no probe reached."""

    def __init__(
        self,
        site: str,
        terms: MembershipSettings,
        dice: Random,
        view: View,
        voice: PacketOutbox,
        timers: Timers,
        reach: ReachabilityMatrix,
        accuse: Callable[[float, MemberUpdate], None],
    ) -> None:
        self.site, self.terms, self.dice, self.view, self.voice = site, terms, dice, view, voice
        self.timers, self.reach, self.accuse = timers, reach, accuse
        self.prober = Prober(terms, dice)
        self.proof_at = float("-inf")  # when anybody last answered a probe of ours, itself or through another

    def nacked(self, seq: int) -> None:
        """A helper lives, and heard nothing either."""
        probe = self.prober.probes.get(seq)
        if probe is not None:
            probe.nacks += 1

    def period(self, now: float, _: str | int) -> None:
        """Probe those whose turn it is."""
        self.timers.put(now + self.terms.probe_ms * (0.9 + 0.2 * self.dice.random()), "period")
        for name in self.prober.targets(self.view):
            entry = self.view.entries[name]
            entry.probed, rumour = now, entry.update
            seq = self.prober.begin(name, rumour.site, now)
            probe = self.prober.probes[seq]
            self.timers.put(probe.direct_by, "direct", seq)
            self.timers.put(probe.reply_by, "reply", seq)
            self.voice.send(now, rumour.address, Ping(seq), name)

    def direct(self, now: float, seq: str | int) -> None:
        """No direct answer in time: ask others; if it was for another, say so."""
        probe = self.prober.probes.get(int(seq))
        if probe is None:
            return None
        if probe.origin:
            return self.voice.send(now, probe.origin, Nack(probe.origin_seq))
        entry = self.view.entries.get(probe.target)
        if entry is None or not entry.here:
            return None
        helpers = self.prober.helpers(self.view, probe.target, entry.update.site, self.site)
        probe.asked = len(helpers)
        self.voice.send(now, entry.update.address, Ping(int(seq)), probe.target)  # the first one may just be lost
        for name in helpers:
            body = IndirectProbe(int(seq), probe.target, entry.update.address)
            self.voice.send(now, self.view.entries[name].update.address, body, name)
        return None

    def reply(self, now: float, seq: str | int) -> None:
        """No answer at all."""
        probe = self.prober.end(int(seq))
        if probe is None or probe.origin or probe.helped:
            return
        if probe.asked > 1 and not probe.nacks:
            self.prober.worse()  # not even those asked to help answered
        entry = self.view.entries.get(probe.target)
        if entry is None or not entry.here:
            return
        for name in self.view.sites[entry.update.site].some(self.dice, 8):  # what fails together is looked at at once
            if now - self.view.entries[name].answered > self.terms.reply_ms:
                self.prober.want(name)
        self.accuse(now, entry.update)

    def help(self, now: float, body: IndirectProbe, origin: str) -> None:
        """Probe one for another member."""
        if self.prober.full():
            return self.voice.out.append(CountEvent("relay_spared"))
        known = self.view.entries.get(body.name)
        seq = self.prober.begin(body.name, known.update.site if known else "", now, origin, body.seq)
        self.timers.put(self.prober.probes[seq].direct_by, "direct", seq)
        self.timers.put(self.prober.probes[seq].reply_by, "reply", seq)
        self.voice.send(now, body.address, Ping(seq), body.name)
        return None

    def acked(self, now: float, body: Ack, entry: MemberEntry) -> None:
        """An answer, of the sender or of one it probed for us. A late one still proves that it lives."""
        probe, name = self.prober.probes.get(body.seq), entry.update.name
        if body.target == name:
            self.proof_at = now
            self.view.proven(name, now)
            self.reach.direct(self.view, entry)
            if probe is not None and probe.target == name:
                self.prober.end(body.seq)
                self.prober.measure(entry.update.site, now - probe.sent)
                if probe.origin:
                    return self.voice.send(now, probe.origin, Ack(probe.origin_seq, name))
                self.prober.better()
            return None
        target = self.view.entries.get(body.target)
        if probe is None or target is None or probe.target != body.target or probe.helped or probe.origin:
            return None
        probe.helped = True
        self.prober.busy.discard(body.target)
        self.prober.better()
        self.proof_at = now
        self.view.proven(body.target, now)
        if self.reach.helped(self.view, target, now):
            self.prober.want(body.target)
            return None
        return None
