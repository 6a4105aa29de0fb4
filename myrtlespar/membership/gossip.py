"""Prompt push of new updates to a few members, in addition to the updates that probes carry."""

from __future__ import annotations

from random import Random

from myrtlespar.membership.messages import GossipPush
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.timers import TimerKind, Timers
from myrtlespar.membership.view import View


class GossipPusher:
    """Gathers updates for `push_ms`, then sends them to `fanout` members."""

    def __init__(
        self, settings: MembershipSettings, random: Random, view: View, outbox: PacketOutbox, timers: Timers
    ) -> None:
        self.settings = settings
        self.random = random
        self.view = view
        self.outbox = outbox
        self.timers = timers
        self._scheduled = False

    def schedule(self, now: float) -> None:
        """Schedule a push of the pending updates, unless one is scheduled already."""
        if not self._scheduled:
            self._scheduled = True
            self.timers.put(now + self.settings.push_ms, TimerKind.GOSSIP_PUSH)

    def push(self, now: float) -> None:
        """Send pending updates to `fanout` members, within the budget for such packets."""
        self._scheduled = False
        for name in self.view.present.sample(self.random, self.settings.fanout):
            if not self.outbox.push_budget.take(now):  # probes carry the remaining updates
                self.outbox.count("push_spared")
                break
            self.outbox.send(now, self.view.entries[name].update.address, GossipPush(), name)
