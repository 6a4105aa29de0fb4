"""The relay: one process without privileges that all links of a fleet on loopback run through.

Member i binds 127.0.1.i and advertises 127.8.0.i, where the relay listens (UDP and TCP). The relay knows the sender
by its source address and forwards from 127.8.0.sender, so each directed pair can be cut, slowed or spoilt by itself.
Member i reaches its services at 127.9.i.1 (store), .2 (roster), .3 (kernel) and .4 (engine).

Control: JSON lines on standard input, each answered by one on standard output. The first names the members and the
seed; the answer names the port. Later ones: `on`, `off`, `target`, `stats`. End of input ends it.
"""

from __future__ import annotations

import contextlib
import json
import os
import sys
import zlib
from collections import Counter
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.fileobject import FileObjectThread
from gevent.server import StreamServer

from myrtlespar.fault_proxy.faults import SERVICES, ActiveFaults, FaultRule

PORTS = range(20000, 32000, 4)  # below those that the system gives to callers
CHUNK = 16384
LOOK_S = 0.01  # between looks whether a cut is over, for a stream that waits
LOST_MS = 200.0  # a lost segment of a stream comes this much later


def bind_host(n: int) -> str:
    """Where member n listens."""
    return f"127.0.1.{n}"


def relay_host(n: int) -> str:
    """Where others reach member n."""
    return f"127.8.0.{n}"


def service_host(n: int, service: str) -> str:
    """Where member n reaches a service."""
    return f"127.9.{n}.{SERVICES.index(service) + 1}"


class FaultProxy:
    """All sockets of the fabric, and the faults in force."""

    def __init__(self, members: list[str], seed: int) -> None:
        self.number = {name: n + 1 for n, name in enumerate(members)}
        self.members, self.seed = members, seed
        self.faults = ActiveFaults()
        self.dice: dict[tuple[str, str], Random] = {}
        self.targets: dict[tuple[str, str], int] = {}  # service and member ('' for all): a port on 127.0.0.1
        self.counts: Counter[str] = Counter()
        self.udp: dict[str, socket.socket] = {}
        self.port = 0

    def open(self) -> int:
        """Listen everywhere at one free port, which is returned."""
        first = os.getpid() * 7 % len(PORTS)
        for n in range(len(PORTS)):
            port = PORTS[(first + n) % len(PORTS)]
            if self._listen(port):
                return port
        raise OSError("no free port for the fabric")

    def _listen(self, port: int) -> bool:
        opened: list[Any] = []
        try:
            for name, n in self.number.items():
                sock = self.udp[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                opened.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                sock.bind((relay_host(n), port))
                for host in (relay_host(n), *(service_host(n, service) for service in SERVICES)):
                    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    opened.append(listener)
                    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    listener.bind((host, port))
                    listener.listen(256)
        except OSError:
            for one in opened:
                one.close()
            return False
        self.port = port
        for listener in (one for one in opened if one.type & 0xF == socket.SOCK_STREAM):
            StreamServer(listener, self._stream).start()
        for name, sock in self.udp.items():
            gevent.spawn(self._datagrams, name, sock)
        return True

    def _roll(self, a: str, b: str) -> Random:
        """Each directed pair has its own dice, so that one pair's traffic changes no other's."""
        found = self.dice.get((a, b))
        if found is None:
            found = self.dice[a, b] = Random(zlib.crc32(f"{self.seed} {a} {b}".encode()))
        return found

    def _datagrams(self, to: str, sock: socket.socket) -> None:
        target = (bind_host(self.number[to]), self.port)
        while True:
            data, (host, _) = sock.recvfrom(65536)
            parts = host.split(".")
            sender = int(parts[3])
            if parts[:3] != ["127", "0", "1"] or not 0 < sender <= len(self.members):
                self.counts["stranger"] += 1
                continue
            name = self.members[sender - 1]
            delays = self.faults.link(name, to).delays_ms(self._roll(name, to))
            self.counts["datagrams" if delays else "lost"] += 1
            for delay in delays:
                if delay:
                    gevent.spawn_later(delay / 1000.0, self._forward, name, data, target)
                else:
                    self._forward(name, data, target)

    def _forward(self, sender: str, data: bytes, target: tuple[str, int]) -> None:
        try:
            self.udp[sender].sendto(data, target)
        except OSError:  # nobody there: lost, as on a real network
            self.counts["unsent"] += 1

    def _stream(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        parts = sock.getsockname()[0].split(".")
        if parts[1] == "9":
            a, b = self.members[int(parts[2]) - 1], SERVICES[int(parts[3]) - 1]
            source = "127.0.0.1"
            target = ("127.0.0.1", self.targets.get((b, a), self.targets.get((b, ""), 0)))
        else:
            sender = int(peer[0].split(".")[3])
            if not peer[0].startswith("127.0.1.") or not 0 < sender <= len(self.members):
                self.counts["stranger"] += 1
                sock.close()
                return
            a, b = self.members[sender - 1], self.members[int(parts[3]) - 1]
            source, target = relay_host(sender), (bind_host(self.number[b]), self.port)
        self.counts["streams"] += 1
        with sock, contextlib.suppress(OSError):
            self._wait(a, b)
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as out:
                out.bind((source, 0))
                out.connect(target)
                pumps = [gevent.spawn(self._pump, a, b, sock, out), gevent.spawn(self._pump, b, a, out, sock)]
                gevent.joinall(pumps, count=1)  # the end of one way ends both, after what was on its way
                gevent.joinall(pumps, timeout=0.5)
                gevent.killall(pumps)

    def _wait(self, a: str, b: str) -> None:
        """A stream stalls while its link is cut, and is late as the link says."""
        while self.faults.link(a, b).cut:
            gevent.sleep(LOOK_S)
        link, dice = self.faults.link(a, b), self._roll(a, b)
        late = link.delay_ms + (link.jitter_ms * dice.random() if link.jitter_ms else 0.0)
        while link.drop and dice.random() < min(link.drop, 0.9):
            late += LOST_MS
        if late:
            gevent.sleep(late / 1000.0)

    def _pump(self, a: str, b: str, read: socket.socket, write: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := read.recv(CHUNK):
                self._wait(a, b)
                write.sendall(data)
            self._wait(a, b)
            write.shutdown(socket.SHUT_WR)

    def command(self, row: dict[str, Any]) -> dict[str, Any]:
        """One line of the control."""
        if "on" in row:
            rule = dict(row["rule"])
            rule["first"], rule["second"] = frozenset(rule["first"]), frozenset(rule["second"])
            self.faults.put(row["on"], FaultRule(**rule))
        elif "off" in row:
            self.faults.drop(row["off"])
        elif "target" in row:
            service, member, port = row["target"]
            self.targets[service, member] = port
        return {"done": True, **self.counts}


def main() -> int:
    """Serve until the control ends."""
    control = FileObjectThread(sys.stdin, "r")
    first = json.loads(control.readline())
    relay = FaultProxy(first["members"], first["seed"])
    for service, port in first.get("services", {}).items():
        relay.targets[service, ""] = port
    print(json.dumps({"port": relay.open()}), flush=True)
    for line in control:
        print(json.dumps(relay.command(json.loads(line))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
