"""The relay that forwards the traffic of a fleet under test."""

from __future__ import annotations

import socket
import statistics
import time

from myrtlespar.fakes import until
from myrtlespar.fakes.tcp_server import FakeServer
from myrtlespar.fault_proxy.relay import service_host
from myrtlespar.fleet_tests.helper_processes import FaultProxyProcess

ROUNDS = 25


class RecordingServer(FakeServer):
    """Records when each line arrived, and answers every second one, as an engine does that runs something first."""

    def __init__(self) -> None:
        self.arrived_at: list[float] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        for _ in link.makefile("rb"):
            self.arrived_at.append(time.monotonic())
            if len(self.arrived_at) % 2 == 0:
                link.sendall(b"y\n")


def test_a_small_message_does_not_wait_for_the_acknowledgement_of_the_one_before() -> None:
    """The relay must forward without Nagle's algorithm.

    The algorithm holds a small segment back until the one before is acknowledged, and the operating system of the fake
    engine acknowledges 40 ms later. So where a member wrote two starts in a row, the second reached the engine late:
    1 in 100 starts arrived 40 to 45 ms after its write, while the median was under 2 ms.
    """
    server = RecordingServer()
    relay = FaultProxyProcess(["a1"], 1, {"kernel": server.port})
    try:
        with socket.create_connection((service_host(1, "kernel"), relay.port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            delays_ms = []
            for number in range(ROUNDS):
                for line in range(2):
                    sent_at = time.monotonic()
                    sock.sendall(b"x\n")
                    if line == 0:  # once it arrived, the second line is sent in a segment of its own
                        until(lambda: len(server.arrived_at) == 2 * number + 1)  # noqa: B023
                until(lambda: len(server.arrived_at) == 2 * number + 2)  # noqa: B023
                assert sock.recv(10) == b"y\n"
                delays_ms.append((server.arrived_at[-1] - sent_at) * 1000)
        assert statistics.median(delays_ms) < 20.0, delays_ms
    finally:
        relay.close()
        server.down()
