"""Decides which updates about members are believed, and which members are suspected or declared failed.

A member becomes failed in the view in two ways: its suspicion ends here (`UpdateMerger.end_suspicion`), or another
member declared it failed and the check in `_check_failure` accepts that.
"""

from __future__ import annotations

from random import Random

from myrtlespar.membership.gossip import GossipPusher
from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    PRESENT_STATES,
    SUSPECT,
    GossipPush,
    MemberChanged,
    MemberUpdate,
    Ping,
)
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probing import Prober
from myrtlespar.membership.quorum import QuorumTracker
from myrtlespar.membership.reachability import ReachabilityMatrix, ViewDivergence
from myrtlespar.membership.self_state import SelfState
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.suspicion import SuspicionTable
from myrtlespar.membership.timers import TimerKey
from myrtlespar.membership.view import MAX_MEMBERS, MemberEntry, View


class UpdateMerger:
    """Applies updates to the view, the suspicions, the quorum status and the reachability rows.

    Of two updates about one member the one with the greater `MemberUpdate.precedence` is kept.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        random: Random,
        view: View,
        outbox: PacketOutbox,
        prober: Prober,
        self_state: SelfState,
        suspicions: SuspicionTable,
        reachability: ReachabilityMatrix,
        divergence: ViewDivergence,
        quorum: QuorumTracker,
        gossip: GossipPusher,
    ) -> None:
        self.settings = settings
        self.random = random
        self.view = view
        self.outbox = outbox
        self.prober = prober
        self.self_state = self_state
        self.suspicions = suspicions
        self.reachability = reachability
        self.divergence = divergence
        self.quorum = quorum
        self.gossip = gossip

    def merge(self, now: float, update: MemberUpdate, direct: bool = False, from_sync: bool = False) -> None:
        """Apply an update if it takes precedence over what is believed, or count a further accuser.

        Args:
            now: Monotonic time, ms.
            update: The update. If it is about this member itself, it is refuted if it is wrong.
            direct: Whether it came from the member that it is about.
            from_sync: Whether it came with a complete view; an update about a member new to us is then not
                disseminated.
        """
        if update.name == self.view.self_id:
            if self.self_state.refute(now, update):
                self.gossip.schedule(now)
            return
        entry = self.view.entries.get(update.name)
        if entry is None:
            self._merge_unknown(now, update, direct, from_sync)
            return
        known = entry.update
        if update.precedence > known.precedence:
            self._merge_greater(now, update, entry)
            return
        if update.state != SUSPECT or update.precedence != known.precedence:
            return
        if self.suspicions.add_accuser(update, self.outbox.fleet_size):
            self.outbox.dissemination.put(update, now)
            self.gossip.schedule(now)

    def accuse(self, now: float, known: MemberUpdate) -> None:
        """Suspect a member that did not answer a probe of ours."""
        self.merge(now, known.with_state(SUSPECT, 0, self.view.self_id))

    def end_suspicion(self, now: float, key: TimerKey) -> None:
        """Declare a member failed when its suspicion's timer is due, unless the member still answers us."""
        name = str(key)
        suspicion = self.suspicions.by_name.get(name)
        if suspicion is None:
            return
        if suspicion.deadline > now:
            self.suspicions.postpone(name, suspicion, suspicion.deadline)
            return
        entry = self.view.entries[name]
        if entry.last_answered_at > suspicion.started and now - entry.last_answered_at <= self.settings.reply_ms:
            # it answered after the suspicion began: notify it, so that it can refute
            self.suspicions.postpone(name, suspicion, now + self.settings.probe_ms)
            self.outbox.send(now, entry.update.address, GossipPush(), name)
            return
        self._accept(now, entry.update.with_state(FAILED, 0, self.view.self_id), entry, True)

    def _merge_unknown(self, now: float, update: MemberUpdate, direct: bool, from_sync: bool) -> None:
        # old evidence may be about a member that was forgotten here long ago
        stale = not direct and update.age_ms > self.settings.forget_ms / 2
        if stale or len(self.view.entries) >= MAX_MEMBERS:
            self.outbox.count("unproven" if stale else "full")
            return
        self._accept(now, update, None, not from_sync)

    def _merge_greater(self, now: float, update: MemberUpdate, entry: MemberEntry) -> None:
        if update.state == FAILED and entry.present:
            checked = self._check_failure(now, update, entry)
            if checked is None or checked.precedence <= entry.update.precedence:
                return
            update = checked
        self._accept(now, update, entry, True)

    def _check_failure(self, now: float, update: MemberUpdate, entry: MemberEntry) -> MemberUpdate | None:
        """Check another member's declaration that a member present in our view has failed.

        A member that was itself cut off or stopped may declare healthy members failed; this check keeps its mistakes
        out of our view.

        Returns:
            None if the member answered us after the evidence for the failure; a suspicion, which the member can refute
            to us, if it has not been suspected here for at least half of `suspect_min_ms`; else the update.
        """
        if entry.last_answered_at > now - update.age_ms:
            self.outbox.count("outdated")
            return None
        suspicion = self.suspicions.by_name.get(update.name)
        if suspicion is not None and now - suspicion.started >= self.settings.suspect_min_ms / 2:
            return update
        return update.with_state(SUSPECT, update.age_ms, update.accuser)

    def _accept(self, now: float, update: MemberUpdate, entry: MemberEntry | None, disseminate: bool) -> None:
        name = update.name
        previous = entry.update if entry is not None else None
        self._count_recovery(update, previous)
        self.view.put(update, now)
        suspicion = self.suspicions.by_name.pop(name, None)
        if update.state == SUSPECT:
            self.suspicions.begin(update, previous, suspicion, self.outbox.fleet_size, now)
        if update.state != ALIVE and update.accuser != self.view.self_id:
            self._maybe_verify(now, update)
        new_incarnation = previous is not None and previous.incarnation != update.incarnation
        if update.state in (FAILED, LEFT) or new_incarnation:
            self.reachability.remove(self.view, name)
            self.divergence.clear(name)
        if previous is None or previous.state != update.state or new_incarnation:
            self._publish_change(now, update, previous)
        if disseminate:
            self.outbox.dissemination.put(update, now)
            self.gossip.schedule(now)

    def _count_recovery(self, update: MemberUpdate, previous: MemberUpdate | None) -> None:
        if previous is None or update.state != ALIVE or previous.incarnation != update.incarnation:
            return
        if previous.state == SUSPECT:
            self.outbox.count("refuted")
        elif previous.state == FAILED:
            self.outbox.count("returned")

    def _maybe_verify(self, now: float, update: MemberUpdate) -> None:
        """Check another member's accusation ourselves, as about `verify` members of the fleet do.

        A suspected member is probed before its turn, a failed one is pinged. The packet carries the accusation, so
        that the accused member can refute it.
        """
        if self.random.random() >= self.settings.verify / self.outbox.fleet_size:
            return
        if update.state == SUSPECT:
            self.prober.prioritize(update.name)
        elif update.state == FAILED and self.outbox.push_budget.take(now):
            # not tracked as a probe: the refutation already proves that the member is alive
            self.outbox.send(now, update.address, Ping(self.prober.next_probe_id()), update.name)

    def _publish_change(self, now: float, update: MemberUpdate, previous: MemberUpdate | None) -> None:
        state = update.state
        old_state = None if previous is None else previous.state
        change = MemberChanged(update.name, old_state, state, update.incarnation, update.refutation, update.accuser)
        self.outbox.effects.append(change)
        self.outbox.effects += self.quorum.set_present(update.name, state in PRESENT_STATES, now)
