"""The peer link: datagrams and whole views between members, for the pure machine in `membership`.

One reader of datagrams, one clock, and a bounded number of short TCP exchanges, all greenlets of one family. What is
spoilt, foreign, replayed or too much is counted and changes nothing. The machine measures how late its clock turns
come; that is how a saturated process comes to doubt itself before others.
"""

from __future__ import annotations

import errno
import socket as plain
import time
from collections.abc import Callable
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from myrtlespar.errors import MyrtlesparError
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    CountEvent,
    MemberChanged,
    MembershipEffect,
    QuorumChanged,
    RequestSync,
    SendPacket,
    ViewSync,
)
from myrtlespar.membership.token_bucket import TokenBucket
from myrtlespar.net.codec.peer import (
    BESIDE,
    HEAD,
    STREAM_MOST,
    MalformedPeerMessageError,
    UnsupportedPeerVersionError,
    beside,
    decode,
    decode_sync,
    encode,
    split,
)
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
AT_ONCE = 32  # datagrams read before others get a turn
EXCHANGES = 4  # whole views on their way at a time, each way
EXCHANGE_S = 2.0  # one may take so long
BUFFER = 1 << 20  # the system's, for datagrams that wait: a stop of some seconds fits


def monotonic_ms() -> float:
    """The clock that membership goes by; the wall clock may jump."""
    return time.monotonic() * 1000.0


class PeerAddressInUseError(MyrtlesparError):
    """The address to listen on is in use by another program."""


class PeerTransport:
    """Sockets and greenlets for one machine, made by `make` once the address is ours."""

    def __init__(
        self,
        bind: str,
        fleet: str,
        name: str,
        per_s: int,
        counters: Counters,
        make: Callable[[float], Member],
        changed: Callable[[MemberChanged | QuorumChanged | CountEvent], None],
    ) -> None:
        self.address, self.fleet, self.name, self.counters = split(bind), fleet, name, counters
        self.make, self.changed = make, changed
        self.others: dict[bytes, Callable[[bytes, float], None]] = {}  # datagrams of other parts, by their magic
        self.member: Member | None = None  # none while an old process of our name has the address
        self.sent_bytes = self.read_bytes = 0
        self.latest_late = 0.0
        self._beside = beside(fleet, name)
        self._successor_at = float("-inf")
        self._bucket = TokenBucket(per_s, monotonic_ms())
        self._sock: plain.socket | None = None  # never waits by itself: reader and clock both take from it
        self._server: StreamServer | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._reader: gevent.Greenlet | None = None
        self._asking = self._answering = 0
        self._closed = False
        self._moved = Event()

    # Start and end.

    def open(self, wait_s: float = 1.5) -> None:
        """Take the address, or find an old process of our name there and wait for it. Taken: another program has it."""
        if self._bind():
            self._begin()
            return
        if not self._old_answers(wait_s):
            raise PeerAddressInUseError
        if self.member is None:
            log.info("fleet: an old process has the address, waiting for it")
            self._tasks.append(gevent.spawn(self._take_over))

    def succeeded(self) -> bool:
        """Whether a second process of our name waits for the address."""
        return monotonic_ms() - self._successor_at < 1000.0

    def leave(self) -> None:
        """Hand the address to a waiting second process without a word, or say goodbye."""
        if self.member is None or self.member.leaving or self.succeeded():
            return self.close()
        self._carry(self.member.leave(monotonic_ms()))
        self._tasks.append(gevent.spawn_later(0.5, self.close))
        return None

    def close(self) -> None:
        """Close the sockets at once; greenlets end by it."""
        self._closed = True
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._sock is not None:
            if self._reader is not None:
                self._reader.kill(block=False)
            self._sock.close()
            self._sock = None
        self._moved.set()

    def _bind(self) -> bool:
        sock = plain.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(self.address)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.address)
            listener.listen(16)
        except OSError as error:
            sock.close()
            listener.close()
            if error.errno != errno.EADDRINUSE:
                raise
            return False
        self._sock, self._server = sock, StreamServer(listener, self._serve)
        return True

    def _old_answers(self, wait_s: float) -> bool:
        """Ask whoever has our address whether it is an old process of our name. True also if it went meanwhile."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((self.address[0], 0))
            sock.settimeout(0.1)
            for _ in range(max(1, int(wait_s / 0.1))):
                try:
                    sock.sendto(self._beside, self.address)
                    if sock.recvfrom(2048) == (self._beside, self.address):
                        return True
                except TimeoutError:
                    pass
                except OSError:
                    gevent.sleep(0.05)
                if self._bind():
                    self._begin()
                    return True
        return False

    def _take_over(self) -> None:
        """Tell the old process that we wait, until its address is free."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((self.address[0], 0))
            while not self._closed and not self._bind():
                try:
                    sock.sendto(self._beside, self.address)
                except OSError:  # it closed between the two
                    self.counters.add("peers.old_gone")
                gevent.sleep(0.05)
        if not self._closed:
            self._begin()

    def _begin(self) -> None:
        assert self._server is not None
        now = monotonic_ms()
        self.member = self.make(now)
        self._server.start()
        self._reader = gevent.spawn(self._read)
        self._tasks.append(gevent.spawn(self._clock))
        self._carry(self.member.start(now))

    # The greenlets.

    def _clock(self) -> None:
        member = self.member
        assert member is not None
        while self._sock is not None:
            now = monotonic_ms()
            wait = member.next_at() - now
            if wait > 0:
                self._moved.wait(wait / 1000.0)
                self._moved.clear()
                continue
            self.latest_late = -wait
            self._drain()  # what came while we were late is heard before anything is concluded
            self._carry(member.tick(monotonic_ms()))
            gevent.sleep(0)

    def _read(self) -> None:
        assert self._sock is not None
        hub = gevent.get_hub()
        ready = hub.loop.io(self._sock.fileno(), 1)
        try:
            while self._sock is not None:
                hub.wait(ready)
                self._drain()
                gevent.sleep(0)
        finally:
            ready.stop()
            ready.close()

    def _drain(self) -> None:
        """Read what is here already, a bounded number, without waiting."""
        for _ in range(AT_ONCE):
            if self._sock is None:
                return
            try:
                data, source = self._sock.recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:  # a port unreachable that came back
                self.counters.add("peers.refused")
                continue
            self._take(data, source)

    def _take(self, data: bytes, source: tuple[str, int]) -> None:
        self.read_bytes += len(data)
        now = monotonic_ms()
        if not self._bucket.take(now):
            return self.counters.add("peers.flooded")
        if data[:4] == BESIDE:
            return self._second(data, source, now)
        other = self.others.get(data[:3])
        if other is not None:
            return other(data, now)
        try:
            packet = decode(data)
        except UnsupportedPeerVersionError:
            return self.counters.add("peers.other_version")
        except MalformedPeerMessageError as why:
            return self.counters.add(f"peers.spoilt.{str(why).replace(' ', '_')}")
        assert self.member is not None
        self._carry(self.member.receive(now, packet))
        return None

    def _second(self, data: bytes, source: tuple[str, int], now: float) -> None:
        """A second process of our name, at our own address only."""
        if data != self._beside or source[0] != self.address[0] or self._sock is None:
            return self.counters.add("peers.foreign")
        self._successor_at = now
        try:
            self._sock.sendto(self._beside, source)
        except OSError:
            self.counters.add("peers.unsent")

    # Effects.

    def _carry(self, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._send(effect)
            elif isinstance(effect, RequestSync):
                if self._asking >= EXCHANGES:
                    self.counters.add("peers.exchange_spared")
                    continue
                self._asking += 1
                gevent.spawn(self._ask, effect)
            else:
                if isinstance(effect, CountEvent):
                    self.counters.add(f"fleet.{effect.counter}")
                self.changed(effect)
        self._moved.set()

    def send(self, name: str, data: bytes) -> None:
        """A datagram of another part to a member that is in the view; lost if it is not, or cannot be sent."""
        entry = self.member.view.entries.get(name) if self.member is not None else None
        if entry is not None:
            self._put(data, entry.update.address)

    def _send(self, effect: SendPacket) -> None:
        self._put(encode(effect.packet), effect.address)

    def _put(self, data: bytes, address: str) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, split(address))
            self.sent_bytes += len(data)
        except OSError:  # a full buffer, an address that can't be: as good as lost
            self.counters.add("peers.unsent")

    def _ask(self, effect: RequestSync) -> None:
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.bind((self.address[0], 0))
                sock.connect(split(effect.address))
                self._write(sock, effect.sync)
                reply = self._whole(sock)
            if self.member is not None and self._sock is not None:
                self._carry(self.member.sync_received(monotonic_ms(), reply))
        except (OSError, MalformedPeerMessageError) as error:
            self.counters.add(
                f"peers.exchange_{'spoilt' if isinstance(error, MalformedPeerMessageError) else 'failed'}"
            )
        finally:
            self._asking -= 1

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if self._answering >= EXCHANGES:  # guards descriptors and memory
            self.counters.add("peers.exchange_refused")
            sock.close()
            return
        self._answering += 1
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError), sock:
                asked = self._whole(sock)
                if self.member is None or self._sock is None:
                    return
                reply, effects = self.member.sync_requested(monotonic_ms(), asked)
                self._carry(effects)
                if reply is not None:
                    self._write(sock, reply)
        except (OSError, MalformedPeerMessageError) as error:
            self.counters.add(
                f"peers.exchange_{'spoilt' if isinstance(error, MalformedPeerMessageError) else 'failed'}"
            )
        finally:
            self._answering -= 1

    def _write(self, sock: socket.socket, sync: ViewSync) -> None:
        data = encode(sync)
        sock.sendall(len(data).to_bytes(4, "big") + data)
        self.sent_bytes += len(data) + 4

    def _whole(self, sock: socket.socket) -> ViewSync:
        size = int.from_bytes(_exactly(sock, 4), "big")
        if not HEAD < size <= STREAM_MOST:
            raise MalformedPeerMessageError("length")
        self.read_bytes += size + 4
        return decode_sync(_exactly(sock, size))


def _exactly(sock: socket.socket, size: int) -> bytes:
    out = bytearray()
    while len(out) < size:
        data = sock.recv(min(65536, size - len(out)))
        if not data:
            raise MalformedPeerMessageError("torn")
        out += data
    return bytes(out)
