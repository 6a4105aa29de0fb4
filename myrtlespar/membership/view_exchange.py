"""Exchange of complete views between members, over TCP."""

from __future__ import annotations

from myrtlespar.membership.messages import RequestSync, ViewSync
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.reachability import ReachabilityMatrix
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import View


class ViewExchange:
    """Builds our complete view, and limits how often the views of other members are requested."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: View,
        outbox: PacketOutbox,
        reachability: ReachabilityMatrix,
        now: float,
    ) -> None:
        self.settings = settings
        self.view = view
        self.outbox = outbox
        self.reachability = reachability
        self._next_request_at = now

    def build(self, now: float) -> ViewSync:
        """Return the complete view, with ages of evidence as of `now`."""
        updates = tuple(
            entry.update.aged(now - entry.evidence_at - entry.update.age_ms) for entry in self.view.entries.values()
        )
        rows = tuple(self.reachability.rows.values())
        return ViewSync(self.outbox.fleet, self.outbox.self_update, updates, rows)

    def request(self, now: float, address: str) -> None:
        """Request the view of the member at `address`."""
        self.outbox.effects.append(RequestSync(address, self.build(now)))

    def request_after_divergence(self, now: float, address: str) -> None:
        """Request a view that differs from ours, at most once in `sync_every_ms`, which grows with the fleet."""
        if self._may_request(now):
            self._next_request_at = now + self.settings.sync_every_ms(self.outbox.fleet_size)
            self.request(now, address)

    def request_while_alone(self, now: float, address: str) -> bool:
        """Request a seed's view while no other member is present.

        Returns false, with no request, if another member is present or the last request was too recent.
        """
        if self.view.present or not self._may_request(now):
            return False
        self._next_request_at = now + self.settings.sync_ms
        self.request(now, address)
        return True

    def _may_request(self, now: float) -> bool:
        return now >= self._next_request_at
