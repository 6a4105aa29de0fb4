"""What both fronts share: a listener, its connections, and their end."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import gevent
import structlog
from gevent import socket
from gevent.server import StreamServer

from myrtlespar.config import Address
from myrtlespar.errors import MyrtlesparError
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.connections import OutboxBudget, accepted
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.supervision import run_for_good

log = structlog.get_logger()
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})  # what accept says for the moment
PASSING = frozenset({errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM})  # of one connection, not of the rest
NO_ROOM_PAUSE_S = 0.05  # before accepting goes on
LOOK_S = 0.005  # between looks whether all connections are over


ConnectionType = TypeVar("ConnectionType", bound=ClientConnection)


class AddressInUseError(MyrtlesparError):
    """An address could not be listened on; one line that names its key."""


class Acceptor(StreamServer):  # type: ignore[misc]
    """Accepts connections. What goes wrong with one of them, or for a moment, holds up none of the others."""

    min_delay = max_delay = NO_ROOM_PAUSE_S
    make_room: Callable[[], object] = staticmethod(lambda: None)  # called when the system has no descriptor left

    def do_read(self) -> Any:
        """One connection, or None if none is waiting."""
        try:
            return super().do_read()
        except OSError as error:
            if error.errno in PASSING:
                return None
            if error.errno in NO_ROOM:
                self.make_room()
            raise


class Listener(Generic[ConnectionType]):
    """Accepts connections for one front."""

    def __init__(
        self,
        name: str,
        key: str,
        address: Address,
        coordinator: RequestCoordinator,
        most: int,
        link: Callable[[socket.socket], ConnectionType],
        give_up: Callable[[], bool],
    ) -> None:
        """`key` is the address's in the configuration; `give_up` tells whether waiting for it has become idle."""
        self.name, self.coordinator, self.most, self.link = name, coordinator, most, link
        self.links: set[ConnectionType] = set()
        self.unsent = OutboxBudget(coordinator.limits.max_total_outbox_bytes)
        self.idle_ms = 0.0  # the module's wish; 0 leaves it to the clients
        self._unfinished: dict[ConnectionType, tuple[int, float]] = {}  # messages read, time without more
        self._socket = bind_in_time(
            key, address, 0, True, coordinator.limits.bind_timeout_ms, coordinator.limits, give_up
        )
        self._server = Acceptor(self._socket, self._serve)
        self._server.make_room = self._close_idlest
        # Guards descriptors against a crowd that is accepted before room was made for it.
        self._server.max_accept = coordinator.limits.max_accepts_per_turn

    def start(self) -> None:
        """Listen. Not before: a second process that is refused its start would take connections and drop them."""
        self._socket.listen(self.coordinator.limits.accept_backlog)
        self._server.start()
        gevent.spawn(run_for_good, f"{self.name}.look", self._look, self.coordinator.counters)

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Accept no more: what waits in the queue is taken first, as closing would reset it unheard."""
        if self._server.closed:
            return
        sock = self._socket
        self._server.stop_accepting()
        sock.setblocking(False)
        for conn, peer in self._queued(sock):  # guards connections that the kernel queued beside a second process
            self.coordinator.counters.add(f"in.taken_at_close.{self.name}")
            gevent.spawn(self._serve_then_close, conn, peer)
        gevent.spawn(self.drain)  # once those taken last are served: they too are told that nothing new is wanted
        self._server.close()

    def _queued(self, sock: socket.socket) -> Iterator[tuple[socket.socket, Any]]:
        """All that waits to be accepted. One that fails, or a want of descriptors, leaves no other unheard."""
        for _ in range(2 * self.coordinator.limits.accept_backlog):
            try:
                yield sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in PASSING:
                    continue
                if error.errno not in NO_ROOM or not self._close_idlest():
                    return
                # The descriptor is free once the one that was closed has lingered.
                gevent.sleep(self.coordinator.limits.close_linger_ms / 1000.0 + NO_ROOM_PAUSE_S)

    def drain(self) -> None:
        """Ask every client to send nothing new."""
        raise NotImplementedError

    def end(self) -> None:
        """Read nothing more on any connection."""
        for link in list(self.links):
            link.end()

    def finish(self, timeout: float) -> None:
        """Send what is queued, then close all connections, each once its client has ended it or had time to."""
        self.end()
        for link in list(self.links):
            link.outbox.finish()
        until = unix_ms() + timeout * 1000.0
        while self.links and unix_ms() < until:
            gevent.sleep(LOOK_S)

    def _look(self) -> None:
        """Close what is idle for longer than the module wants, and what is silent or stops within a message.

        Counted in looks, so that a pause of the machine ends nobody's time.
        """
        while True:
            gevent.sleep(self.coordinator.limits.idle_check_ms / 1000.0)
            now, before, self._unfinished = unix_ms(), self._unfinished, {}
            for link in list(self.links):
                if self.idle_ms > 0 and now - link.used > self.idle_ms and self._free(link):
                    self.close_idle(link)
                elif not link.messages or link.reader.begun():
                    self._close_silent(link, *before.get(link, (link.messages, 0.0)))

    def _close_silent(self, link: ConnectionType, messages: int, waited_ms: float) -> None:
        """Close a connection that has finished no message for too long. Guards places against such clients; what has
        just come is read first.
        """
        limits = self.coordinator.limits
        waited_ms = waited_ms + limits.idle_check_ms if messages == link.messages else 0.0
        if waited_ms >= limits.message_timeout_ms and not link.reader.waits():
            self.coordinator.counters.add(f"in.unfinished.{self.name}")
            link.reader.stop()
        else:
            self._unfinished[link] = (link.messages, waited_ms)

    def close_idle(self, link: ConnectionType) -> None:
        """Close a connection that carries nothing."""
        self.coordinator.counters.add(f"in.idle_closed.{self.name}")
        self.links.discard(link)
        link.close()

    def conclude(self, link: ClientConnection) -> None:
        """End a connection of which no more is read, once it has what it is owed."""
        while link.owes() and not link.outbox.closed:
            gevent.sleep(0.02)
        link.outbox.finish()
        link.outbox.drained(self.coordinator.limits.send_timeout_ms / 1000.0)

    @staticmethod
    def _free(link: ConnectionType) -> bool:
        """Whether it carries nothing. Guards a request that has come and was not read yet against our close."""
        return not link.owes() and not link.reader.pending()

    def _make_room(self) -> bool:
        """Guards real clients against connections that hold all places and carry nothing: the idlest goes."""
        return len(self.links) < self.most or self._close_idlest()

    def _close_idlest(self) -> bool:
        """Close the connection that has carried nothing for the longest time; whether there was one."""
        idle = min((link for link in self.links if self._free(link)), key=lambda link: link.used, default=None)
        if idle is not None:
            self.close_idle(idle)
        return idle is not None

    def _serve_then_close(self, sock: socket.socket, peer: Any) -> None:
        try:
            self._serve(sock, peer)
        finally:
            sock.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if not self._make_room():  # guards against running out of descriptors
            self.coordinator.counters.add(f"in.connection_refused.{self.name}")
            return
        accepted(sock, self.coordinator.limits)
        link = self.link(sock)
        self.links.add(link)
        self.coordinator.counters.add(f"in.connection.{self.name}")
        try:
            link.read()
        except Exception:  # guards all other connections, and what this one is owed, against a fault with one message
            if self.coordinator.counters.rare(f"in.fault.{self.name}"):
                log.exception("connection failed", front=self.name)
            link.spoil()
        finally:
            link.outbox.close()  # guards against writes to a descriptor that is closed and used anew
            self.links.discard(link)


def bind_in_time(
    key: str,
    address: Address,
    backlog: int,
    shared: bool,
    for_ms: float,
    limits: ResourceLimits,
    give_up: Callable[[], bool],
) -> socket.socket:
    """A bound socket. Guards a start against what an earlier life left at the address for a moment: a process that
    is still ending, or a connection that happens to have this port.
    """
    until = unix_ms() + for_ms
    while True:
        try:
            return bound(address, backlog, shared)
        except OSError as error:
            if unix_ms() > until or give_up():
                raise AddressInUseError(
                    f"{key}: cannot listen on {address[0]}:{address[1]}: {error.strerror}"
                ) from None
        gevent.sleep(limits.bind_retry_ms / 1000.0)


def bound(address: Address, backlog: int, shared: bool) -> socket.socket:
    """A socket that listens, or with a backlog of 0 only holds its address; `shared` lets a second process of the
    same server listen beside it (SO_REUSEPORT).
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        if backlog:
            sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
