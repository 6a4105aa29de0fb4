"""The simulated network: computes arrival times of messages over links with faults."""

from __future__ import annotations

from random import Random

from myrtlespar.fault_proxy.faults import ActiveFaults

ONE_WAY_DELAY_MS = 0.4  # one way within a site or between nearby sites, as on loopback through the fault proxy
ONE_WAY_JITTER_MS = 0.4
MAX_RETRANSMISSIONS = 8
RETRANSMISSION_MS = 200.0


class SimulatedNetwork:
    """Computes delays and losses from the active fault rules and a seeded random source."""

    def __init__(self, seed: int) -> None:
        self.faults = ActiveFaults()
        self.random = Random(f"network {seed}")

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether the link is cut in the direction from sender to receiver."""
        return self.faults.link(sender, receiver).cut

    def datagram_arrivals(self, now: float, sender: str, receiver: str) -> list[float]:
        """Return the times at which a datagram arrives: none if it is lost, several if it is duplicated."""
        link = self.faults.link(sender, receiver)
        if link.cut:
            return []
        random = self.random
        return [
            now + ONE_WAY_DELAY_MS + ONE_WAY_JITTER_MS * random.random() + delay for delay in link.delays_ms(random)
        ]

    def exchange_delay_ms(self, client: str, server: str, round_trips: int) -> float:
        """Return how long so many TCP round trips take (ms); each lost segment adds RETRANSMISSION_MS."""
        total = 0.0
        for sender, receiver in ((client, server), (server, client)) * round_trips:
            link = self.faults.link(sender, receiver)
            total += ONE_WAY_DELAY_MS + link.delay_ms + link.jitter_ms * self.random.random()
            for _ in range(MAX_RETRANSMISSIONS):
                if self.random.random() >= link.drop:
                    break
                total += RETRANSMISSION_MS
        return total
