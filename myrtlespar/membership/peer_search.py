"""Contacts failed members, and seeds at whose address no present member is known, so that partitions heal."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from myrtlespar.membership.messages import Ping
from myrtlespar.membership.outbox import PacketOutbox
from myrtlespar.membership.probing import Prober
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.timers import TimerKind, Timers
from myrtlespar.membership.view import View
from myrtlespar.membership.view_exchange import ViewExchange

MAX_JOIN_SEEDS = 3  # seeds whose views are requested at the start


class PeerSearch:
    """Requests views from seeds at the start, then contacts one failed member and one missing seed every `knock_ms`."""

    def __init__(
        self,
        settings: MembershipSettings,
        random: Random,
        seeds: Sequence[str],
        view: View,
        outbox: PacketOutbox,
        timers: Timers,
        prober: Prober,
        view_exchange: ViewExchange,
    ) -> None:
        self.settings = settings
        self.random = random
        self.seeds = list(seeds)
        self.view = view
        self.outbox = outbox
        self.timers = timers
        self.prober = prober
        self.view_exchange = view_exchange

    def join(self, now: float) -> None:
        """Request the views of up to MAX_JOIN_SEEDS seeds."""
        few = len(self.seeds) <= MAX_JOIN_SEEDS
        for seed in self.seeds if few else self.random.sample(self.seeds, MAX_JOIN_SEEDS):
            self.view_exchange.request(now, seed)

    def search(self, now: float) -> None:
        """Ping a failed member, and contact a seed at whose address no present member is known.

        While this member is alone, the seed's view is requested, at most once in `sync_ms`. Otherwise the seed is
        pinged, unless an absent member is known at its address: if that one failed, it is pinged as a failed member.
        """
        self.timers.put(now + self.settings.knock_ms * (0.9 + 0.2 * self.random.random()), TimerKind.PEER_SEARCH)
        for name in self.view.failed.sample(self.random, 1):
            self._ping(now, self.view.entries[name].update.address, name)
        missing = [seed for seed in self.seeds if self.view.addresses.get(seed) not in self.view.present]
        if not missing:
            return
        seed = missing[int(self.random.random() * len(missing))]
        if not self.view_exchange.request_while_alone(now, seed) and seed not in self.view.addresses:
            self._ping(now, seed)

    def _ping(self, now: float, address: str, name: str = "") -> None:
        self.outbox.send(now, address, Ping(self.prober.next_probe_id()), name)
