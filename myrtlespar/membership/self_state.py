"""This member's own incarnation and state, and the refutation of wrong updates about it."""

from __future__ import annotations

from myrtlespar.membership.messages import ALIVE, FAILED, LEFT, SUSPECT, MemberState, MemberUpdate
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probing import Prober
from myrtlespar.membership.reachability import ReachabilityMatrix
from myrtlespar.membership.token_bucket import TokenBucket
from myrtlespar.membership.view import View

MAX_REFUTATIONS_PER_S = 5


class SelfState:
    """Publishes this member's update about itself, and replaces it with one of higher precedence to refute others."""

    def __init__(
        self, view: View, outbox: PacketOutbox, reachability: ReachabilityMatrix, prober: Prober, now: float
    ) -> None:
        self.view = view
        self.outbox = outbox
        self.reachability = reachability
        self.prober = prober
        self.leaving = False
        self._refutation_budget = TokenBucket(MAX_REFUTATIONS_PER_S, now)

    @property
    def update(self) -> MemberUpdate:
        """The update that this member publishes about itself."""
        return self.outbox.self_update

    def leave(self, now: float) -> None:
        """Publish that this member left; from then on, updates about it are not refuted."""
        self.leaving = True
        self._set(now, self.update.incarnation, self.update.refutation, LEFT)

    def refute(self, now: float, update: MemberUpdate) -> bool:
        """Refute another member's update about this one if it takes precedence over our own; true if it was refuted.

        The update may be about a later incarnation than ours, of an earlier process whose clock was ahead.
        """
        if self.leaving or update.precedence <= self.update.precedence:
            return False
        if not self._refutation_budget.take(now):
            self.outbox.count("namesake", "too many refutations; another process seems to use this member's name")
            return False
        if update.state in (SUSPECT, FAILED) and update.incarnation == self.update.incarnation:
            self.prober.worsen_health()
            self.outbox.count("accused")
        if update.incarnation > self.update.incarnation:
            # In that incarnation, receivers would drop our packets as replays of those of the earlier process, so ours
            # need a later one.
            self._set(now, update.incarnation + 1, 0, ALIVE)
        else:
            self._set(now, update.incarnation, update.refutation + 1, ALIVE)
        return True

    def _set(self, now: float, incarnation: int, refutation: int, state: MemberState) -> None:
        known = self.update
        update = MemberUpdate(known.name, known.site, known.address, incarnation, refutation, state)
        self.outbox.self_update = update
        self.view.set_self(update.precedence)
        self.reachability.incarnation = incarnation
        self.outbox.dissemination.put(update, now)
