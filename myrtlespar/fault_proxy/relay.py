"""The relay: an unprivileged process that forwards all traffic of a fleet on loopback.

Member i binds 127.0.1.i and advertises 127.8.0.i, where the relay listens (UDP and TCP). The relay identifies the
sender by its source address and forwards from 127.8.0.sender, so each directed pair can be cut, delayed or made lossy
by itself. Member i reaches its services at 127.9.i.1 (store), .2 (roster), .3 (kernel) and .4 (engine);
`faults.SERVICES` explains these names.

Control protocol: JSON lines on standard input, each answered by one on standard output. The first holds `members` and
`seed`, and optionally `services`; its answer holds `port`. Later ones hold one of `on`, `off`, `target`, `stalls` and
`stats`. The process ends at the end of its input.
"""

from __future__ import annotations

import contextlib
import json
import os
import sys
import time
import zlib
from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.fileobject import FileObjectThread
from gevent.server import StreamServer

from myrtlespar.fault_proxy.faults import SERVICES, ActiveFaults, FaultRule

PORTS = range(20000, 32000, 4)  # below those that the system assigns to outgoing connections
MAX_DATAGRAM_BYTES = 65536
RECEIVE_BUFFER_BYTES = 1 << 20
LISTEN_BACKLOG = 256
CHUNK_BYTES = 16384  # of a stream, read and forwarded at a time
CUT_POLL_S = 0.01  # how often a stalled stream checks whether the cut is over
RETRANSMIT_MS = 200.0  # delay of a lost segment of a stream, for its retransmission
MAX_STREAM_DROP = 0.9  # limits the loss on streams, so that each segment arrives in the end
LOOP_CHECK_S = 0.005  # interval of the wake-ups that detect stalls of this process
MIN_STALL_MS = 20.0  # shorter stalls are not reported
MAX_STALLS = 1000  # older stalls are dropped
STREAM_DRAIN_S = 0.5  # time to forward data still under way in one direction after the end of the other


def bind_host(number: int) -> str:
    """Return the address where a member listens; members are numbered from 1."""
    return f"127.0.1.{number}"


def relay_host(number: int) -> str:
    """Return the address where other members reach a member through the relay."""
    return f"127.8.0.{number}"


def service_host(number: int, service: str) -> str:
    """Return the address where a member reaches a service through the relay."""
    return f"127.9.{number}.{SERVICES.index(service) + 1}"


@dataclass(frozen=True, slots=True)
class StreamRoute:
    """Both ends of an accepted connection, and how the relay connects onward."""

    sender: str
    recipient: str  # a member or a service
    source_host: str  # address that the relay connects from
    target: tuple[str, int]  # address that the relay connects to


class FaultProxy:
    """Holds all sockets between the members, and the faults in force.

    A datagram is lost, delayed or duplicated as the faults decide. A stream stalls while its link is cut, and lost
    segments are delayed as if TCP had retransmitted them.
    """

    def __init__(self, members: list[str], seed: int) -> None:
        self.members = members
        self.seed = seed
        self.numbers = {name: index + 1 for index, name in enumerate(members)}
        self.faults = ActiveFaults()
        self.targets: dict[tuple[str, str], int] = {}  # by service and member ('' for all): port on 127.0.0.1
        self.counts: Counter[str] = Counter()
        self.port = 0
        # "relay" for this process or "SENDER to RECIPIENT" for a stream; start and end of the stall in Unix ms.
        self.stalls: deque[tuple[str, float, float]] = deque(maxlen=MAX_STALLS)
        self._random: dict[tuple[str, str], Random] = {}
        self._datagram_sockets: dict[str, socket.socket] = {}

    def open(self) -> int:
        """Listen on all addresses at one port that is free on each of them.

        Returns:
            The port.

        Raises:
            OSError: No port of PORTS is free on all addresses.
        """
        first = os.getpid() * 7 % len(PORTS)
        for offset in range(len(PORTS)):
            port = PORTS[(first + offset) % len(PORTS)]
            if self._listen(port):
                return port
        raise OSError(f"no port in {PORTS} is free on all addresses of the fault proxy")

    def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command of the control protocol.

        Returns:
            The answer: `done` and the counters, or `done` and `stalls` for the command `stalls`.
        """
        if "on" in command:
            rule = dict(command["rule"])
            rule["first"] = frozenset(rule["first"])
            rule["second"] = frozenset(rule["second"])
            self.faults.add_rule(command["on"], FaultRule(**rule))
        elif "off" in command:
            self.faults.remove_rule(command["off"])
        elif "target" in command:
            service, member, port = command["target"]
            self.targets[service, member] = port
        elif "stalls" in command:
            return {"done": True, "stalls": list(self.stalls)}
        return {"done": True, **self.counts}

    def watch_event_loop(self) -> None:
        """Record the periods in which this process did not run, as stalls of `relay`; never returns."""
        woke_at = time.time() * 1000
        while True:
            due_at = woke_at + LOOP_CHECK_S * 1000
            gevent.sleep(LOOP_CHECK_S)
            woke_at = time.time() * 1000
            self._record_stall("relay", due_at, woke_at)

    def _record_stall(self, what: str, begin: float, end: float) -> None:
        if end - begin >= MIN_STALL_MS:
            self.stalls.append((what, begin, end))

    def _listen(self, port: int) -> bool:
        """Bind all addresses at this port and start serving; return false, with none bound, if one is in use."""
        listeners: list[Any] = []
        try:
            for name, number in self.numbers.items():
                self._bind_datagrams(name, (relay_host(number), port))
                for host in (relay_host(number), *(service_host(number, service) for service in SERVICES)):
                    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    listeners.append(listener)
                    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    listener.bind((host, port))
                    listener.listen(LISTEN_BACKLOG)
        except OSError:
            for opened in (*listeners, *self._datagram_sockets.values()):
                opened.close()
            self._datagram_sockets.clear()
            return False
        self.port = port
        for listener in listeners:
            StreamServer(listener, self._serve_stream).start()
        for name, sock in self._datagram_sockets.items():
            gevent.spawn(self._serve_datagrams, name, sock)
        return True

    def _bind_datagrams(self, name: str, address: tuple[str, int]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagram_sockets[name] = sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)

    def _random_for(self, sender: str, recipient: str) -> Random:
        """Return the random source of one directed pair; its traffic then does not affect the faults of other pairs."""
        random = self._random.get((sender, recipient))
        if random is None:
            random = Random(zlib.crc32(f"{self.seed} {sender} {recipient}".encode()))
            self._random[sender, recipient] = random
        return random

    def _member_at(self, host: str) -> str | None:
        """Return the member that sends from this address; None if no member does."""
        parts = host.split(".")
        number = int(parts[3])
        if parts[:3] != ["127", "0", "1"] or not 0 < number <= len(self.members):
            return None
        return self.members[number - 1]

    def _serve_datagrams(self, recipient: str, sock: socket.socket) -> None:
        target = (bind_host(self.numbers[recipient]), self.port)
        while True:
            data, (host, _) = sock.recvfrom(MAX_DATAGRAM_BYTES)
            sender = self._member_at(host)
            if sender is None:
                self.counts["stranger"] += 1
                continue
            delays = self.faults.link(sender, recipient).delays_ms(self._random_for(sender, recipient))
            self.counts["datagrams" if delays else "lost"] += 1
            for delay_ms in delays:
                if delay_ms:
                    gevent.spawn_later(delay_ms / 1000.0, self._forward_datagram, sender, data, target)
                else:
                    self._forward_datagram(sender, data, target)

    def _forward_datagram(self, sender: str, data: bytes, target: tuple[str, int]) -> None:
        try:
            self._datagram_sockets[sender].sendto(data, target)
        except OSError:  # no socket is bound to the target: the datagram is lost, as on a real network
            self.counts["unsent"] += 1

    def _serve_stream(self, accepted: socket.socket, peer: tuple[str, int]) -> None:
        route = self._route(accepted.getsockname()[0], peer[0])
        if route is None:
            self.counts["stranger"] += 1
            accepted.close()
            return
        self.counts["streams"] += 1
        with accepted, contextlib.suppress(OSError):
            self._delay_segment(route.sender, route.recipient)
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as onward:
                onward.bind((route.source_host, 0))
                onward.connect(route.target)
                # With Nagle's algorithm a small segment would wait for the acknowledgement of the one before.
                for sock in (accepted, onward):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                greenlets = [
                    gevent.spawn(self._forward_stream, route.sender, route.recipient, accepted, onward),
                    gevent.spawn(self._forward_stream, route.recipient, route.sender, onward, accepted),
                ]
                gevent.joinall(greenlets, count=1)  # the end of one direction ends both, after STREAM_DRAIN_S at most
                gevent.joinall(greenlets, timeout=STREAM_DRAIN_S)
                gevent.killall(greenlets)

    def _route(self, local_host: str, peer_host: str) -> StreamRoute | None:
        """Return the route of a connection accepted at `local_host`; None if it is to a member but not from one."""
        parts = local_host.split(".")
        if parts[1] == "9":
            member = self.members[int(parts[2]) - 1]
            service = SERVICES[int(parts[3]) - 1]
            port = self.targets.get((service, member), self.targets.get((service, ""), 0))
            return StreamRoute(member, service, "127.0.0.1", ("127.0.0.1", port))
        sender = self._member_at(peer_host)
        if sender is None:
            return None
        recipient = self.members[int(parts[3]) - 1]
        target = (bind_host(self.numbers[recipient]), self.port)
        return StreamRoute(sender, recipient, relay_host(self.numbers[sender]), target)

    def _delay_segment(self, sender: str, recipient: str) -> None:
        """Wait while the link is cut, then as long as its faults delay a segment."""
        while self.faults.link(sender, recipient).cut:
            gevent.sleep(CUT_POLL_S)
        link = self.faults.link(sender, recipient)
        random = self._random_for(sender, recipient)
        delay_ms = link.delay_ms + (link.jitter_ms * random.random() if link.jitter_ms else 0.0)
        while link.drop and random.random() < min(link.drop, MAX_STREAM_DROP):
            delay_ms += RETRANSMIT_MS
        if delay_ms:
            gevent.sleep(delay_ms / 1000.0)

    def _forward_stream(self, sender: str, recipient: str, read: socket.socket, write: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := read.recv(CHUNK_BYTES):
                self._delay_segment(sender, recipient)
                sent_at = time.time() * 1000
                write.sendall(data)
                self._record_stall(f"{sender} to {recipient}", sent_at, time.time() * 1000)
            self._delay_segment(sender, recipient)
            write.shutdown(socket.SHUT_WR)


def main() -> int:
    """Forward traffic and carry out commands until standard input ends."""
    control = FileObjectThread(sys.stdin, "r")
    configuration = json.loads(control.readline())
    proxy = FaultProxy(configuration["members"], configuration["seed"])
    for service, port in configuration.get("services", {}).items():
        proxy.targets[service, ""] = port
    print(json.dumps({"port": proxy.open()}), flush=True)
    gevent.spawn(proxy.watch_event_loop)
    for line in control:
        print(json.dumps(proxy.handle_command(json.loads(line))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
