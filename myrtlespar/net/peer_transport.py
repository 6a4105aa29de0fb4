"""The peer link: passes time and messages to `membership.member.Member`, and carries out the effects that it returns.

It consists of greenlets: a reader of datagrams (`peer_datagrams`), a clock, and a bounded number of short TCP exchanges
(`peer_sync`). Messages that are malformed, from another fleet, replayed or over the rate limit are counted and ignored.
After a late tick of the clock the member postpones its deadlines, so that a saturated process does not declare others
failed.
"""

from __future__ import annotations

import errno
import socket as blocking_socket
import time
from collections.abc import Callable

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
    NAME_CONFLICT_MAGIC,
    MalformedPeerMessageError,
    UnsupportedPeerVersionError,
    decode,
    encode,
    split_address,
)
from myrtlespar.net.name_conflict import NameConflictProbe, ProbeResult
from myrtlespar.net.peer_datagrams import DatagramEndpoint, TrafficBytes
from myrtlespar.net.peer_sync import SyncExchanges
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
RECEIVE_BUFFER_BYTES = 1 << 20  # of the UDP socket; holds the datagrams of a pause of some seconds
LISTEN_BACKLOG = 16
SUCCESSOR_TIMEOUT_MS = 1000.0  # a waiting second process sends probes more often than this
LEAVE_DELAY_S = 0.5  # from the announcement that this member leaves to the closing of the sockets


def monotonic_ms() -> float:
    """Return the time for membership in milliseconds, of the monotonic clock, as the wall clock may jump."""
    return time.monotonic() * 1000.0


class PeerAddressInUseError(MyrtlesparError):
    """The address to listen on is in use by another program."""


class PeerTransport:
    """Sockets and greenlets of one `Member`, which `make_member` creates once the address is bound."""

    def __init__(
        self,
        bind: str,
        fleet: str,
        name: str,
        max_datagrams_per_s: int,
        counters: Counters,
        make_member: Callable[[float], Member],
        report_change: Callable[[MemberChanged | QuorumChanged | CountEvent], None],
    ) -> None:
        """Create the transport without binding its address.

        Args:
            bind: The address for UDP and TCP, as A.B.C.D:PORT.
            fleet: Name of the fleet.
            name: Name of this member.
            max_datagrams_per_s: Rate limit on the received datagrams.
            counters: Counts datagrams, exchanges and faults.
            make_member: Creates the member, given the time in milliseconds of the monotonic clock.
            report_change: Called with each effect that sends nothing.
        """
        self.address = split_address(bind)
        self.counters = counters
        self.make_member = make_member
        self.report_change = report_change
        self.handlers: dict[bytes, Callable[[bytes, float], None]] = {}  # of other protocols; key: first 3 bytes
        self.member: Member | None = None  # None while an old process of this member has the address
        self.traffic = TrafficBytes()
        self.tick_delay_ms = 0.0  # how late the last tick was
        self._conflict_probe = NameConflictProbe(self.address, fleet, name, counters)
        self._successor_seen_at = float("-inf")
        self._bucket = TokenBucket(max_datagrams_per_s, monotonic_ms())
        self._datagrams: DatagramEndpoint | None = None
        self._server: StreamServer | None = None
        self._exchanges = SyncExchanges(
            self.address[0], counters, self.traffic, self._sync_received, self._sync_requested
        )
        self._greenlets: list[gevent.Greenlet] = []
        self._closed = False
        self._effects_applied = Event()

    def open(self, wait_s: float = 1.5) -> None:
        """Bind the address; if an old process of this member has it, wait for the address in the background.

        Args:
            wait_s: How long the process that has the address may take to answer the probe.

        Raises:
            PeerAddressInUseError: Another program has the address.
        """
        if self._bind():
            self._begin()
            return
        result = self._conflict_probe.run(wait_s, self._bind)
        if result is ProbeResult.UNKNOWN_PROGRAM:
            raise PeerAddressInUseError
        if result is ProbeResult.BOUND:
            self._begin()
            return
        log.info("fleet: an old process has the address, waiting for it")
        self._greenlets.append(gevent.spawn(self._take_over))

    def has_successor(self) -> bool:
        """Return whether a second process of this member waits for the address."""
        return monotonic_ms() - self._successor_seen_at < SUCCESSOR_TIMEOUT_MS

    def leave(self) -> None:
        """Announce that this member leaves, and close LEAVE_DELAY_S later.

        If a second process of this member waits for the address, close at once without the announcement, as the member
        stays in the fleet as that process.
        """
        if self.member is None or self.member.leaving or self.has_successor():
            self.close()
            return
        self._apply_effects(self.member.leave(monotonic_ms()))
        self._greenlets.append(gevent.spawn_later(LEAVE_DELAY_S, self.close))

    def close(self) -> None:
        """Close the sockets at once, which ends the greenlets."""
        self._closed = True
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._datagrams is not None:
            self._datagrams.close()
        self._effects_applied.set()

    def send(self, name: str, data: bytes) -> None:
        """Send another protocol's datagram to a member; drop it if the member is not in the view or sending fails."""
        entry = self.member.view.entries.get(name) if self.member is not None else None
        if entry is not None and self._datagrams is not None:
            self._datagrams.send(data, entry.update.address)

    def _bind(self) -> bool:
        """Bind both sockets; return false if the address is in use.

        Raises:
            OSError: Binding failed for another reason.
        """
        datagram_socket = blocking_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagram_socket.setblocking(False)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            datagram_socket.bind(self.address)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.address)
            listener.listen(LISTEN_BACKLOG)
        except OSError as error:
            datagram_socket.close()
            listener.close()
            if error.errno != errno.EADDRINUSE:
                raise
            return False
        self._datagrams = DatagramEndpoint(datagram_socket, self.counters, self.traffic, self._datagram_received)
        self._server = StreamServer(listener, self._exchanges.serve)
        return True

    def _take_over(self) -> None:
        self._conflict_probe.wait_for_address(lambda: self._closed or self._bind())
        if not self._closed:
            self._begin()

    def _begin(self) -> None:
        assert self._server is not None
        assert self._datagrams is not None
        now = monotonic_ms()
        self.member = self.make_member(now)
        self._server.start()
        self._datagrams.start_reader()
        self._greenlets.append(gevent.spawn(self._run_clock, self.member, self._datagrams))
        self._apply_effects(self.member.start(now))

    def _run_clock(self, member: Member, datagrams: DatagramEndpoint) -> None:
        while datagrams.is_open:
            wait_ms = member.next_at() - monotonic_ms()
            if wait_ms > 0:
                self._effects_applied.wait(wait_ms / 1000.0)
                self._effects_applied.clear()
                continue
            self.tick_delay_ms = -wait_ms
            datagrams.read_available()  # before the tick, as they may prove that a member is alive
            self._apply_effects(member.tick(monotonic_ms()))
            gevent.sleep(0)

    def _datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        self.traffic.read_bytes += len(data)
        now = monotonic_ms()
        if not self._bucket.take(now):
            return self.counters.add("peers.flooded")
        if data[:4] == NAME_CONFLICT_MAGIC:
            return self._probe_received(data, source, now)
        handler = self.handlers.get(data[:3])
        if handler is not None:
            return handler(data, now)
        try:
            packet = decode(data)
        except UnsupportedPeerVersionError:
            return self.counters.add("peers.other_version")
        except MalformedPeerMessageError as error:
            return self.counters.add(f"peers.spoilt.{str(error).replace(' ', '_')}")
        assert self.member is not None
        self._apply_effects(self.member.receive(now, packet))
        return None

    def _probe_received(self, data: bytes, source: tuple[str, int], now: float) -> None:
        """Answer the probe of a second process of this member, which waits for the address."""
        if self._datagrams is None or not self._conflict_probe.is_from_successor(data, source):
            self.counters.add("peers.foreign")
            return
        self._successor_seen_at = now
        self._datagrams.reply(data, source)

    def _sync_received(self, reply: ViewSync) -> None:
        if self.member is not None and self._is_open():
            self._apply_effects(self.member.sync_received(monotonic_ms(), reply))

    def _sync_requested(self, request: ViewSync) -> ViewSync | None:
        if self.member is None or not self._is_open():
            return None
        reply, effects = self.member.sync_requested(monotonic_ms(), request)
        self._apply_effects(effects)
        return reply

    def _is_open(self) -> bool:
        return self._datagrams is not None and self._datagrams.is_open

    def _apply_effects(self, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPacket):
                if self._datagrams is not None:
                    self._datagrams.send(encode(effect.packet), effect.address)
            elif isinstance(effect, RequestSync):
                self._exchanges.request(effect)
            else:
                if isinstance(effect, CountEvent):
                    self.counters.add(f"fleet.{effect.counter}")
                self.report_change(effect)
        self._effects_applied.set()
