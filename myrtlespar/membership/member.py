"""One member: hears packets and the clock, says what to send and what changed. Drives the parts beside it.

The driver calls `tick` at `next_at()` or as soon after as it can, and `receive` for each packet; it hands in
monotonic milliseconds, so that the wall clock matters for lives only.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from myrtlespar.membership.dissemination import TokenBucket, aged
from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    HERE,
    LEFT,
    SUSPECT,
    Ack,
    CountEvent,
    GossipPush,
    IndirectProbe,
    MemberChanged,
    MembershipEffect,
    MemberState,
    MemberUpdate,
    Nack,
    Packet,
    Ping,
    QuorumChanged,
    RequestSync,
    ViewSync,
)
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probe_rounds import ProbeRounds
from myrtlespar.membership.probing import Suspicion, Timers
from myrtlespar.membership.quorum import QuorumTracker, VoterSet
from myrtlespar.membership.reachability import ReachabilityMatrix, ViewDivergence
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MOST, MemberEntry, View


class Member:
    """A view of all others, kept up by probing and by what others tell."""

    def __init__(
        self,
        name: str,
        site: str,
        address: str,
        boot: int,
        fleet: str,
        terms: MembershipSettings,
        electorate: VoterSet,
        seeds: Sequence[str],
        dice: Random,
        now: float,
    ) -> None:
        self.name, self.site, self.fleet, self.settings, self.random = name, site, fleet, terms, dice
        me = MemberUpdate(name, site, address, boot, 0, ALIVE)
        self.seeds = [seed for seed in seeds if seed != address]
        self.view, self.timers = View(name), Timers()
        self.outbox = PacketOutbox(fleet, me, terms, self.view, now)
        self.reachability, self.divergence = (
            ReachabilityMatrix(name, boot, terms, self.outbox.spread),
            ViewDivergence(terms),
        )
        self.probe_rounds = ProbeRounds(
            site, terms, dice, self.view, self.outbox, self.timers, self.reachability, self._accuse
        )
        self.quorum = QuorumTracker(name, electorate, now)
        self.outbox.roll = electorate.version
        self.suspicions: dict[str, Suspicion] = {}
        self.leaving = False
        self._unheard = False
        self._pushing = False
        self._sync_at = now
        self._bumps = TokenBucket(5, now)
        self.probe_rounds.proof_at = now
        self._handlers = {
            "period": self._period,
            "direct": self.probe_rounds.direct,
            "reply": self.probe_rounds.reply,
            "knock": self._knock,
            "suspect": self._suspect_due,
            "push": self._push,
            "look": self._look,
        }
        self.view.set_self(self.self_update.precedence)
        self.outbox.spread.put(self.self_update, now)
        for kind, span in (("period", terms.probe_ms), ("knock", terms.knock_ms), ("look", 1000)):
            self.timers.put(now + dice.random() * span, kind)

    @property
    def self_update(self) -> MemberUpdate:
        """What is said of oneself."""
        return self.outbox.me

    def _set_me(self, now: float, boot: int, counter: int, state: MemberState) -> None:
        self.outbox.me = MemberUpdate(self.name, self.site, self.self_update.address, boot, counter, state)
        self.view.set_self(self.self_update.precedence)
        self.reachability.boot = boot
        self.outbox.spread.put(self.self_update, now)

    # What the driver calls.

    def start(self, now: float) -> list[MembershipEffect]:
        """Join: ask up to three seeds for all they know."""
        for seed in self.seeds if len(self.seeds) <= 3 else self.random.sample(self.seeds, 3):
            self.outbox.out.append(RequestSync(seed, self.sync(now)))
        self._news(now)
        return self.outbox.done()

    def next_at(self) -> float:
        """When `tick` is due."""
        return self.timers.next()

    def tick(self, now: float) -> list[MembershipEffect]:
        """Do what is due."""
        self._doubt_self(now)
        for kind, key in self.timers.due(now):
            self._handlers[kind](now, key)
        return self.outbox.done()

    def _doubt_self(self, now: float) -> None:
        """Whatever comes first after a time in which we did not run finds turns that are late: all waits begun before
        are moved on, so that nobody is blamed for our own silence, and none that begin after.
        """
        late = now - self.timers.next()
        if late <= self.settings.late_ms:
            return
        self.outbox.out.append(CountEvent("late"))
        self.probe_rounds.prober.worse()
        by = late + self.settings.direct_max_ms
        self.timers.shift(by)
        self.probe_rounds.prober.shift(by)
        self.probe_rounds.proof_at += by
        for suspicion in self.suspicions.values():
            suspicion.started += by
            suspicion.deadline += by

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Hear one packet. What is foreign, replayed or of an earlier life is counted and changes nothing."""
        self._doubt_self(now)
        sender = packet.sender
        if packet.fleet != self.fleet:
            return self._only("foreign")
        if sender.name == self.name:
            return self._only("own_name")
        entry = self.view.entries.get(sender.name)
        if entry is not None and not entry.fresh(sender.incarnation, packet.sequence_number):
            if sender.incarnation < entry.boot and self.outbox.bucket.take(
                now
            ):  # it may have started with its clock set back
                self.outbox.send(now, sender.address, GossipPush(), sender.name, True)
            return self._only("replayed")
        self._hear(now, sender, True)
        if entry is None:
            entry = self.view.entries.get(sender.name)
            if entry is None:  # no room for it
                return self.outbox.done()
            entry.fresh(sender.incarnation, packet.sequence_number)
        entry.heard = now
        if entry.missed:
            self.reachability.hears(self.view, entry)
        for rumour in packet.updates:
            self._hear(now, rumour)
        for row in packet.reachability:
            self.reachability.heard(self.view, row)
        if self.divergence.compare(now, sender.name, packet.view_hash == self.view.hash) and entry.here:
            self._exchange(now, sender.address)
        if packet.voter_set_version != self.quorum.electorate.version:
            self.outbox.out.append(CountEvent("other_roll"))
        body = packet.body
        if isinstance(body, Ping):
            self.outbox.send(now, sender.address, Ack(body.seq, self.name), sender.name)
        elif isinstance(body, Ack):
            self.probe_rounds.acked(now, body, entry)
        elif isinstance(body, IndirectProbe):
            self.probe_rounds.help(now, body, sender.address)
        elif isinstance(body, Nack):
            self.probe_rounds.nacked(body.seq)
        elif not entry.here and sender.state == ALIVE and entry.update.state == FAILED and self.outbox.bucket.take(now):
            self.outbox.send(now, sender.address, GossipPush(), sender.name)  # so that it learns of it and refutes
        return self.outbox.done()

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Another member sent its whole view; ours, and what follows. None for a foreign one."""
        if sync.fleet != self.fleet or sync.sender.name == self.name:
            return None, self._only("foreign" if sync.fleet != self.fleet else "own_name")
        reply = self.sync(now)
        return reply, self.sync_received(now, sync)

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Take over another's whole view."""
        self._doubt_self(now)
        if sync.fleet != self.fleet:
            return self._only("foreign")
        if sync.sender.name != self.name:
            entry = self.view.entries.get(sync.sender.name)
            if entry is None or sync.sender.incarnation >= entry.boot:
                self._hear(now, sync.sender, True)
        for rumour in sync.updates:
            self._hear(now, rumour, False, True)
        for row in sync.reachability:
            self.reachability.heard(self.view, row)
        return self.outbox.done()

    def leave(self, now: float) -> list[MembershipEffect]:
        """Say goodbye to some, who tell the rest. Nothing is refuted any more."""
        self.leaving = True
        self._set_me(now, self.self_update.incarnation, self.self_update.refutation, LEFT)
        for name in self.view.all.some(self.random, 4 * self.settings.fanout):
            self.outbox.send(now, self.view.entries[name].update.address, GossipPush(), name)
        return self.outbox.done()

    def adopt_voter_set(self, electorate: VoterSet, now: float) -> list[MembershipEffect]:
        """Take over a new roll, already checked to be one step from the old one."""
        before = {scope: tally.now for scope, tally in self.quorum.scopes.items()}
        self.quorum.adopt(electorate, now)
        self.outbox.roll = electorate.version
        for name in self.view.all:
            self.quorum.tell(name, True, now)
        return [
            QuorumChanged(scope, before[scope], tally.now)
            for scope, tally in self.quorum.scopes.items()
            if scope in before and before[scope] != tally.now
        ]

    def sync(self, now: float) -> ViewSync:
        """The whole view, ages as of now."""
        entries = tuple(
            aged(entry.update, now - entry.evidence - entry.update.age_ms) for entry in self.view.entries.values()
        )
        return ViewSync(self.fleet, self.self_update, entries, tuple(self.reachability.rows.values()))

    def _only(self, count: str) -> list[MembershipEffect]:
        """Counted, and nothing else changes."""
        self.outbox.out.append(CountEvent(count))
        return self.outbox.done()

    # What others say.

    def _hear(self, now: float, rumour: MemberUpdate, direct: bool = False, whole: bool = False) -> None:
        """Take over what is greater than what is believed; count another accuser."""
        name = rumour.name
        if name == self.name:
            return self._about_me(now, rumour)
        entry = self.view.entries.get(name)
        if entry is None:
            stale = not direct and rumour.age_ms > self.settings.forget_ms / 2  # it may be long forgotten here
            if stale or len(self.view.entries) >= MOST:
                self.outbox.out.append(CountEvent("unproven" if stale else "full"))
                return None
            self._accept(now, rumour, None, not whole)
            return None
        if rumour.precedence > entry.update.precedence:
            if rumour.state == FAILED and entry.here:
                found = self._doubt(now, rumour, entry)
                if found is None:
                    return None
                rumour = found
            if rumour.precedence > entry.update.precedence:
                self._accept(now, rumour, entry, True)
                return None
            return None
        if rumour.state == SUSPECT and rumour.precedence == entry.update.precedence:
            suspicion = self.suspicions.get(name)
            if (
                suspicion is not None
                and rumour.accuser not in suspicion.accusers
                and len(suspicion.accusers) <= self.settings.accusers
            ):
                suspicion.accusers.add(rumour.accuser)
                self._set_deadline(name, suspicion)
                self.outbox.spread.put(rumour, now)
                self._news(now)
                return None
            return None
        return None

    def _accept(self, now: float, rumour: MemberUpdate, entry: MemberEntry | None, tell: bool) -> None:
        name, state = rumour.name, rumour.state
        old = entry.update if entry else None
        if (
            old is not None
            and state == ALIVE
            and old.incarnation == rumour.incarnation
            and old.state in (SUSPECT, FAILED)
        ):
            self.outbox.out.append(CountEvent("refuted" if old.state == SUSPECT else "returned"))
        self.view.put(rumour, now)
        suspicion = self.suspicions.pop(name, None)
        if state == SUSPECT:
            started = suspicion.started if suspicion and old and old.incarnation == rumour.incarnation else now
            fresh = self.suspicions[name] = Suspicion(started, {rumour.accuser})
            if old is not None and old.precedence[:2] != rumour.precedence[:2]:
                fresh.started = now
            self._set_deadline(name, fresh)
        if (
            state != ALIVE
            and rumour.accuser != self.name
            and self.random.random() < self.settings.verify / self.outbox.size
        ):
            self._verify(now, name, rumour)
        if state in (FAILED, LEFT) or (old is not None and old.incarnation != rumour.incarnation):
            self.reachability.lost(self.view, name)
            self.divergence.end(name)
        if old is None or old.state != state or old.incarnation != rumour.incarnation:
            self.outbox.out.append(
                MemberChanged(
                    name,
                    None if old is None else old.state,
                    state,
                    rumour.incarnation,
                    rumour.refutation,
                    rumour.accuser,
                )
            )
            self.outbox.out += self.quorum.tell(name, state in HERE, now)
        if tell:
            self.outbox.spread.put(rumour, now)
            self._news(now)

    def _doubt(self, now: float, rumour: MemberUpdate, entry: MemberEntry) -> MemberUpdate | None:
        """A failure that another declared, of one who is here to us. Guards a healthy member against the word of one
        that was itself cut off or stopped: if it answered us since, the word is void; if it was not suspected here
        for some time, it is first, so that it can refute to us too.
        """
        if entry.answered > now - rumour.age_ms:
            self.outbox.out.append(CountEvent("outdated"))
            return None
        suspicion = self.suspicions.get(rumour.name)
        if suspicion is not None and now - suspicion.started >= self.settings.suspect_min_ms / 2:
            return rumour
        return MemberUpdate(
            rumour.name,
            rumour.site,
            rumour.address,
            rumour.incarnation,
            rumour.refutation,
            SUSPECT,
            rumour.age_ms,
            rumour.accuser,
        )

    def _verify(self, now: float, name: str, rumour: MemberUpdate) -> None:
        """Look for ourselves at one of whom something bad is told; the ping tells it what is said of it."""
        if rumour.state == SUSPECT:
            self.probe_rounds.prober.want(name)
        elif rumour.state == FAILED and self.outbox.bucket.take(now):
            self.probe_rounds.prober.seq += 1  # no probe: an answer would only prove what its refutation says
            self.outbox.send(now, rumour.address, Ping(self.probe_rounds.prober.seq), name)

    def _about_me(self, now: float, rumour: MemberUpdate) -> None:
        """Refute what is bad, and outlive what an earlier life of ours left (its clock may have been ahead)."""
        if self.leaving or rumour.precedence <= self.self_update.precedence:
            return
        if not self._bumps.take(now):
            self.outbox.out.append(CountEvent("namesake", "another member answers to this name"))
            return
        if rumour.state in (SUSPECT, FAILED) and rumour.incarnation == self.self_update.incarnation:
            self.probe_rounds.prober.worse()
            self.outbox.out.append(CountEvent("accused"))
        if (
            rumour.incarnation > self.self_update.incarnation
        ):  # its packets were numbered by themselves: ours need a boot of their own
            self._set_me(now, rumour.incarnation + 1, 0, ALIVE)
        else:
            self._set_me(now, rumour.incarnation, rumour.refutation + 1, ALIVE)
        self._news(now)

    def _exchange(self, now: float, address: str) -> None:
        """Ask for a whole view, not too often."""
        if now >= self._sync_at:
            self._sync_at = now + self.settings.sync_every_ms(self.outbox.size)
            self.outbox.out.append(RequestSync(address, self.sync(now)))

    def _period(self, now: float, key: str | int) -> None:
        self.probe_rounds.period(now, key)
        isolated = now - self.probe_rounds.proof_at > self.settings.isolated_ms()
        self.outbox.out += self.quorum.isolate(isolated, now)

    # Suspicion.

    def _accuse(self, now: float, known: MemberUpdate) -> None:
        """No probe of ours reached it."""
        self._hear(
            now,
            MemberUpdate(
                known.name, known.site, known.address, known.incarnation, known.refutation, SUSPECT, 0, self.name
            ),
        )

    def _set_deadline(self, name: str, suspicion: Suspicion) -> None:
        suspicion.deadline = suspicion.started + suspicion.wait(self.settings, self.outbox.size)
        self.timers.put(suspicion.deadline, "suspect", name)

    def _suspect_due(self, now: float, name: str | int) -> None:
        suspicion = self.suspicions.get(str(name))
        if suspicion is None:
            return None
        if suspicion.deadline > now:
            return self.timers.put(suspicion.deadline, "suspect", name)
        known = self.view.entries[str(name)]
        if known.answered > suspicion.started and now - known.answered <= self.settings.reply_ms:
            suspicion.deadline = now + self.settings.probe_ms  # it answers us: it will refute once it hears of this
            self.timers.put(suspicion.deadline, "suspect", name)
            return self.outbox.send(now, known.update.address, GossipPush(), str(name))
        rumour = known.update
        self._accept(
            now,
            MemberUpdate(
                rumour.name, rumour.site, rumour.address, rumour.incarnation, rumour.refutation, FAILED, 0, self.name
            ),
            known,
            True,
        )
        return None

    # Spreading and looking around.

    def _news(self, now: float) -> None:
        """Something new is to be told soon."""
        if not self._pushing:
            self._pushing = True
            self.timers.put(now + self.settings.push_ms, "push")

    def _push(self, now: float, _: str | int) -> None:
        self._pushing = False
        for name in self.view.all.some(self.random, self.settings.fanout):
            if not self.outbox.bucket.take(now):  # the rest rides on probes
                self.outbox.out.append(CountEvent("push_spared"))
                break
            self.outbox.send(now, self.view.entries[name].update.address, GossipPush(), name)

    def _knock(self, now: float, _: str | int) -> None:
        """Look for a failed member, and for a seed that none of those here is."""
        self.timers.put(now + self.settings.knock_ms * (0.9 + 0.2 * self.random.random()), "knock")
        for name in self.view.gone.some(self.random, 1):
            self.probe_rounds.prober.seq += 1
            self.outbox.send(now, self.view.entries[name].update.address, Ping(self.probe_rounds.prober.seq), name)
        seeds = [seed for seed in self.seeds if self.view.addresses.get(seed) not in self.view.all]
        if seeds:
            seed = seeds[int(self.random.random() * len(seeds))]
            if not len(self.view.all) and now >= self._sync_at:
                self._sync_at = now + self.settings.sync_ms
                self.outbox.out.append(RequestSync(seed, self.sync(now)))
            elif seed not in self.view.addresses:
                self.probe_rounds.prober.seq += 1
                self.outbox.send(now, seed, Ping(self.probe_rounds.prober.seq))

    def _look(self, now: float, _: str | int) -> None:
        """Forget what is long gone; name lasting disagreement."""
        self.timers.put(now + 1000, "look")
        roll = self.quorum.fleet.electors
        old = (
            [
                name
                for name, entry in self.view.entries.items()
                if not entry.here
                and now - entry.since > self.settings.forget_ms
                and (entry.update.state == LEFT or name not in roll)
            ]
            if len(self.view.entries) > len(self.view.all)
            else []
        )
        for name in old:
            entry = self.view.drop(name)
            self.outbox.out.append(
                MemberChanged(name, entry.update.state, None, entry.update.incarnation, entry.update.refutation, "")
            )
        for name in self.divergence.look(now, self.view):
            self.outbox.out.append(CountEvent("disagree", f"views differ for long: {self.name} and {name}"))
        unheard = self.reachability.one_way(self.view, now) if len(self.view.gone) else []
        if bool(unheard) != self._unheard:
            self._unheard = bool(unheard)
            if unheard:
                who = " ".join(unheard[:8])
                self.outbox.out.append(CountEvent("one_way", f"heard, but they do not answer {self.name}: {who}"))
