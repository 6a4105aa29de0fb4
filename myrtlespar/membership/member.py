"""One member of the fleet: receives packets and timer calls, returns what to send and what changed.

The parts that `Member` connects take the decisions; the package docstring lists them. The driver calls `tick` at
`next_at()` or as soon after as it can, and `receive` for each packet. Times are monotonic milliseconds; the wall clock
matters for incarnations only.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from myrtlespar.membership.gossip import GossipPusher
from myrtlespar.membership.maintenance import MAINTENANCE_MS, Maintenance
from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    Ack,
    GossipPush,
    IndirectProbe,
    MembershipEffect,
    MemberUpdate,
    Nack,
    Packet,
    Ping,
    QuorumChanged,
    ViewSync,
)
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.peer_search import PeerSearch
from myrtlespar.membership.probe_rounds import ProbeRounds
from myrtlespar.membership.probing import Prober
from myrtlespar.membership.quorum import QuorumTracker, VoterSet
from myrtlespar.membership.reachability import ReachabilityMatrix, ViewDivergence
from myrtlespar.membership.self_state import SelfState
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.suspicion import SuspicionTable
from myrtlespar.membership.timers import TimerKey, TimerKind, Timers
from myrtlespar.membership.update_merger import UpdateMerger
from myrtlespar.membership.view import MemberEntry, View
from myrtlespar.membership.view_exchange import ViewExchange


class Member:
    """Builds the parts of one member and dispatches packets and timers to them."""

    # Over 40 lines because it builds every part of a member and connects them, in the order of their dependencies.
    def __init__(
        self,
        name: str,
        site: str,
        address: str,
        incarnation: int,
        fleet: str,
        settings: MembershipSettings,
        voter_set: VoterSet,
        seeds: Sequence[str],
        random: Random,
        now: float,
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.settings = settings
        self.random = random
        self_update = MemberUpdate(name, site, address, incarnation, 0, ALIVE)
        self.view = View(name)
        self.timers = Timers()
        self.outbox = PacketOutbox(fleet, self_update, settings, self.view, now)
        self.outbox.voter_set_version = voter_set.version
        self.reachability = ReachabilityMatrix(name, incarnation, settings, self.outbox.dissemination)
        self.divergence = ViewDivergence(settings)
        self.quorum = QuorumTracker(name, voter_set, now)
        self.suspicions = SuspicionTable(settings, self.timers)
        self.prober = Prober(settings, random)
        self.self_state = SelfState(self.view, self.outbox, self.reachability, self.prober, now)
        self.gossip = GossipPusher(settings, random, self.view, self.outbox, self.timers)
        self.merger = UpdateMerger(
            settings,
            random,
            self.view,
            self.outbox,
            self.prober,
            self.self_state,
            self.suspicions,
            self.reachability,
            self.divergence,
            self.quorum,
            self.gossip,
        )
        self.probe_rounds = ProbeRounds(
            site,
            settings,
            random,
            self.view,
            self.outbox,
            self.timers,
            self.reachability,
            self.prober,
            self.merger.accuse,
            now,
        )
        self.view_exchange = ViewExchange(settings, self.view, self.outbox, self.reachability, now)
        other_seeds = [seed for seed in seeds if seed != address]
        self.peer_search = PeerSearch(
            settings, random, other_seeds, self.view, self.outbox, self.timers, self.prober, self.view_exchange
        )
        self.maintenance = Maintenance(
            settings, self.view, self.outbox, self.timers, self.reachability, self.divergence, self.quorum
        )
        self.view.set_self(self_update.precedence)
        self.outbox.dissemination.put(self_update, now)
        self._start_timers(now)

    def _start_timers(self, now: float) -> None:
        """Start the periodic timers, each at a random point of its first period."""
        for kind, period_ms in (
            (TimerKind.PROBE_PERIOD, self.settings.probe_ms),
            (TimerKind.PEER_SEARCH, self.settings.knock_ms),
            (TimerKind.MAINTENANCE, MAINTENANCE_MS),
        ):
            self.timers.put(now + self.random.random() * period_ms, kind)

    @property
    def self_update(self) -> MemberUpdate:
        """The update that this member publishes about itself."""
        return self.outbox.self_update

    @property
    def leaving(self) -> bool:
        """Whether this member has announced that it leaves."""
        return self.self_state.leaving

    def start(self, now: float) -> list[MembershipEffect]:
        """Join the fleet: request the views of up to three seeds."""
        self.peer_search.join(now)
        self.gossip.schedule(now)
        return self.outbox.take_effects()

    def next_at(self) -> float:
        """Return when `tick` is due (ms)."""
        return self.timers.next_at()

    def tick(self, now: float) -> list[MembershipEffect]:
        """Handle all timers that are due."""
        self._check_lateness(now)
        for kind, key in self.timers.due(now):
            self._handle_timer(now, kind, key)
        return self.outbox.take_effects()

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Handle one packet; a replayed one, or one of another fleet or an earlier incarnation, is only counted."""
        self._check_lateness(now)
        sender = packet.sender
        if packet.fleet != self.fleet:
            return self._ignore("foreign")
        if sender.name == self.name:
            return self._ignore("own_name")
        entry = self.view.entries.get(sender.name)
        if entry is not None and not entry.accept_packet(sender.incarnation, packet.sequence_number):
            # A new process whose clock was set back has a lower incarnation. The reply carries the higher one known
            # here, so that the process chooses an incarnation above it.
            if sender.incarnation < entry.packet_incarnation and self.outbox.push_budget.take(now):
                self.outbox.send(now, sender.address, GossipPush(), sender.name, True)
            return self._ignore("replayed")
        self.merger.merge(now, sender, direct=True)
        if entry is None:
            entry = self.view.entries.get(sender.name)
            if entry is None:  # the view is full
                return self.outbox.take_effects()
            entry.accept_packet(sender.incarnation, packet.sequence_number)
        entry.last_packet_at = now
        self._merge_packet(now, packet, entry)
        self._handle_body(now, packet, entry)
        return self.outbox.take_effects()

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Merge the view of a member that requests ours.

        Returns:
            The reply, None if the member is of another fleet or uses our name, and the effects.
        """
        if sync.fleet != self.fleet:
            return None, self._ignore("foreign")
        if sync.sender.name == self.name:
            return None, self._ignore("own_name")
        reply = self.view_exchange.build(now)
        return reply, self.sync_received(now, sync)

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Merge the complete view of another member."""
        self._check_lateness(now)
        if sync.fleet != self.fleet:
            return self._ignore("foreign")
        if sync.sender.name != self.name:
            entry = self.view.entries.get(sync.sender.name)
            if entry is None or sync.sender.incarnation >= entry.packet_incarnation:
                self.merger.merge(now, sync.sender, direct=True)
        for update in sync.updates:
            self.merger.merge(now, update, from_sync=True)
        for row in sync.reachability:
            self.reachability.merge(self.view, row)
        return self.outbox.take_effects()

    def leave(self, now: float) -> list[MembershipEffect]:
        """Leave the fleet: notify some members, which notify the others. From then on, no update is refuted."""
        self.self_state.leave(now)
        for name in self.view.present.sample(self.random, 4 * self.settings.fanout):
            self.outbox.send(now, self.view.entries[name].update.address, GossipPush(), name)
        return self.outbox.take_effects()

    def adopt_voter_set(self, voter_set: VoterSet, now: float) -> list[MembershipEffect]:
        """Adopt a new voter set that `voter_set_change_error` accepts; returns the changes of the quorum status."""
        before = {scope: count.status for scope, count in self.quorum.scopes.items()}
        self.quorum.adopt(voter_set, now)
        self.outbox.voter_set_version = voter_set.version
        for name in self.view.present:
            self.quorum.set_present(name, True, now)
        return [
            QuorumChanged(scope, before[scope], count.status)
            for scope, count in self.quorum.scopes.items()
            if scope in before and before[scope] != count.status
        ]

    def sync(self, now: float) -> ViewSync:
        """Return the complete view, with ages of evidence as of `now`."""
        return self.view_exchange.build(now)

    def _check_lateness(self, now: float) -> None:
        """Postpone all deadlines if our own timers are late, so that our own pause is not taken for failures of others.

        Called first in `tick`, `receive` and `sync_received`: if the process did not run for a time, the deadlines of
        probes and suspicions begun before are postponed, those of later ones are not.
        """
        late_ms = now - self.timers.next_at()
        if late_ms <= self.settings.late_ms:
            return
        self.outbox.count("late")
        self.prober.worsen_health()
        delay_ms = late_ms + self.settings.direct_max_ms
        self.timers.shift(delay_ms)
        self.prober.shift(delay_ms)
        self.probe_rounds.last_answer_at += delay_ms
        self.suspicions.shift(delay_ms)

    def _handle_timer(self, now: float, kind: TimerKind, key: TimerKey) -> None:
        match kind:
            case TimerKind.PROBE_PERIOD:
                self.probe_rounds.begin_period(now)
                isolated = now - self.probe_rounds.last_answer_at > self.settings.isolated_ms()
                self.outbox.effects += self.quorum.set_isolated(isolated, now)
            case TimerKind.DIRECT_TIMEOUT:
                self.probe_rounds.handle_direct_timeout(now, int(key))
            case TimerKind.PROBE_TIMEOUT:
                self.probe_rounds.handle_probe_timeout(now, int(key))
            case TimerKind.PEER_SEARCH:
                self.peer_search.search(now)
            case TimerKind.SUSPICION_TIMEOUT:
                self.merger.end_suspicion(now, key)
            case TimerKind.GOSSIP_PUSH:
                self.gossip.push(now)
            case TimerKind.MAINTENANCE:
                self.maintenance.run(now)

    def _merge_packet(self, now: float, packet: Packet, entry: MemberEntry) -> None:
        """Merge what a packet carries beside its body."""
        sender = packet.sender
        if entry.missed_probes:
            self.reachability.record_packet(self.view, entry)
        for update in packet.updates:
            self.merger.merge(now, update)
        for row in packet.reachability:
            self.reachability.merge(self.view, row)
        same_view = packet.view_hash == self.view.hash
        if self.divergence.compare(now, sender.name, same_view) and entry.present:
            self.view_exchange.request_after_divergence(now, sender.address)
        if packet.voter_set_version != self.quorum.voter_set.version:
            self.outbox.count("other_roll")

    def _handle_body(self, now: float, packet: Packet, entry: MemberEntry) -> None:
        sender = packet.sender
        body = packet.body
        if isinstance(body, Ping):
            self.outbox.send(now, sender.address, Ack(body.probe_id, self.name), sender.name)
        elif isinstance(body, Ack):
            self.probe_rounds.handle_ack(now, body, entry)
        elif isinstance(body, IndirectProbe):
            self.probe_rounds.handle_indirect_probe(now, body, sender.address)
        elif isinstance(body, Nack):
            self.probe_rounds.handle_nack(body.probe_id)
        else:
            believed_failed = not entry.present and sender.state == ALIVE and entry.update.state == FAILED
            if believed_failed and self.outbox.push_budget.take(now):
                self.outbox.send(now, sender.address, GossipPush(), sender.name)  # so that the sender can refute

    def _ignore(self, counter: str) -> list[MembershipEffect]:
        self.outbox.count(counter)
        return self.outbox.take_effects()
