"""Once a second: forgets members absent for `forget_ms`, and reports lasting disagreement to the operators."""

from __future__ import annotations

from myrtlespar.membership.messages import LEFT, MemberChanged
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.quorum import QuorumTracker
from myrtlespar.membership.reachability import ReachabilityMatrix, ViewDivergence
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.timers import TimerKind, Timers
from myrtlespar.membership.view import View

MAINTENANCE_MS = 1000
MAX_NAMES_LOGGED = 8


class Maintenance:
    """Periodic work that is not urgent, done every MAINTENANCE_MS."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: View,
        outbox: PacketOutbox,
        timers: Timers,
        reachability: ReachabilityMatrix,
        divergence: ViewDivergence,
        quorum: QuorumTracker,
    ) -> None:
        self.settings = settings
        self.view = view
        self.outbox = outbox
        self.timers = timers
        self.reachability = reachability
        self.divergence = divergence
        self.quorum = quorum
        self._reported_one_way = False

    def run(self, now: float) -> None:
        """Do all maintenance, and set the timer for the next run."""
        self.timers.put(now + MAINTENANCE_MS, TimerKind.MAINTENANCE)
        self._forget(now)
        self_id = self.view.self_id
        for name in self.divergence.take_lasting(now, self.view):
            self.outbox.count("disagree", f"views of {self_id} and {name} have differed for at least disagree_ms")
        self._report_one_way(now)

    def _forget(self, now: float) -> None:
        """Drop members that left, and failed ones that are no voters, after `forget_ms`."""
        if len(self.view.entries) <= len(self.view.present):
            return
        voters = self.quorum.fleet.voters
        expired = [
            name
            for name, entry in self.view.entries.items()
            if not entry.present
            and now - entry.since > self.settings.forget_ms
            and (entry.update.state == LEFT or name not in voters)
        ]
        for name in expired:
            update = self.view.drop(name).update
            change = MemberChanged(name, update.state, None, update.incarnation, update.refutation, "")
            self.outbox.effects.append(change)

    def _report_one_way(self, now: float) -> None:
        """Report absent members whose packets still arrive; report again only after a run that found none."""
        one_way = self.reachability.one_way(self.view, now) if len(self.view.failed) else []
        if bool(one_way) == self._reported_one_way:
            return
        self._reported_one_way = bool(one_way)
        if one_way:
            names = " ".join(one_way[:MAX_NAMES_LOGGED])
            self.outbox.count(
                "one_way", f"packets still arrive at {self.view.self_id} from members believed failed or left: {names}"
            )
