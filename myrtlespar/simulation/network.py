"""The simulated network: when messages arrive over links with faults."""

from __future__ import annotations

from random import Random

from myrtlespar.fault_proxy.faults import ActiveFaults

HOP_MS = 0.4  # one way within a site or between near ones, as on loopback through the proxy
HOP_JITTER_MS = 0.4
MAX_RETRANSMISSIONS = 8
RETRANSMISSION_MS = 200.0


class SimulatedNetwork:
    """Draws delays and losses from a seeded random source."""

    def __init__(self, seed: int) -> None:
        self.faults = ActiveFaults()
        self.random = Random(f"network {seed}")

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes from one member to the other."""
        return self.faults.link(sender, receiver).cut

    def datagram_arrivals(self, now: float, sender: str, receiver: str) -> list[float]:
        """When a datagram arrives: never, once, or several times."""
        link = self.faults.link(sender, receiver)
        if link.cut:
            return []
        random = self.random
        return [now + HOP_MS + HOP_JITTER_MS * random.random() + delay for delay in link.delays_ms(random)]

    def stream_ms(self, a: str, b: str, round_trips: int) -> float:
        """How long an exchange over TCP takes; a lost segment is sent again after 200 ms."""
        total = 0.0
        for sender, receiver in ((a, b), (b, a)) * round_trips:
            link = self.faults.link(sender, receiver)
            total += HOP_MS + link.delay_ms + link.jitter_ms * self.random.random()
            for _ in range(MAX_RETRANSMISSIONS):
                if self.random.random() >= link.drop:
                    break
                total += RETRANSMISSION_MS
        return total
