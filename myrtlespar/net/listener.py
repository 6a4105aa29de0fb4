"""What both fronts share: a listener, its connections, and their end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import gevent
from gevent import socket
from gevent.server import StreamServer

from myrtlespar.config import Address
from myrtlespar.core import Core, unix_ms
from myrtlespar.net.links import Outbox, Reader, accepted

BACKLOG = 512
LOOK_S = 0.005  # between looks whether all connections are over


class ClientLink(Protocol):
    """One client's connection."""

    outbox: Outbox
    reader: Reader
    used: float  # when a message last came or went, in Unix milliseconds
    messages: int  # whole ones read

    def owes(self) -> bool:
        """Whether a request on it is not answered yet."""

    def read(self) -> None:
        """Take messages until the connection ends."""

    def close(self) -> None:
        """Close it unless something is owed on it or being read."""

    def end(self) -> None:
        """Take nothing more; close it behind its last answer."""


Link = TypeVar("Link", bound=ClientLink)


class Listener(Generic[Link]):
    """Accepts connections for one front."""

    def __init__(self, name: str, address: Address, core: Core, most: int,
                 link: Callable[[socket.socket], Link]) -> None:
        self.name, self.core, self.most, self.link = name, core, most, link
        self.links: set[Link] = set()
        self.idle_ms = 0.0  # the module's wish; 0 leaves it to the clients
        self._unfinished: dict[Link, tuple[int, float]] = {}  # messages read, time without more
        self._socket = bound(address, 0, shared=True)
        self._server = StreamServer(self._socket, self._serve)
        # Guards descriptors against a crowd that is accepted before room was made for it.
        self._server.max_accept = core.limits.accept_at_once

    def start(self) -> None:
        """Listen. Not before: a second process that is refused its start would take connections and drop them."""
        self._socket.listen(BACKLOG)
        self._server.start()
        gevent.spawn(self._look)

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
        try:
            while True:  # guards connections that the kernel queued here beside a second process
                conn, peer = sock.accept()
                self.core.counters.add(f"in.taken_at_close.{self.name}")
                gevent.spawn(self._serve_then_close, conn, peer)
        except OSError:
            pass
        gevent.spawn(self.drain)  # once those taken last are served: they too are told that nothing new is wanted
        self._server.close()

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

        Counted in looks, so that a pause of the machine ends nobody's time."""
        limits = self.core.limits
        while True:
            gevent.sleep(limits.idle_look_ms / 1000.0)
            now, before, self._unfinished = unix_ms(), self._unfinished, {}
            for link in list(self.links):
                if self.idle_ms > 0 and now - link.used > self.idle_ms and self._free(link):
                    self.close_idle(link)
                elif not link.messages or link.reader.begun():
                    messages, waited = before.get(link, (link.messages, 0.0))
                    waited = waited + limits.idle_look_ms if messages == link.messages else 0.0
                    self._unfinished[link] = (link.messages, waited)
                    # Guards places against clients that finish no message; what has just come is read first.
                    if waited >= limits.message_ms and not link.reader.waits():
                        self.core.counters.add(f"in.unfinished.{self.name}")
                        del self._unfinished[link]
                        link.reader.stop()

    def close_idle(self, link: Link) -> None:
        """Close a connection that carries nothing."""
        self.core.counters.add(f"in.idle_closed.{self.name}")
        self.links.discard(link)
        link.close()

    def conclude(self, link: Link) -> None:
        """End a connection of which no more is read, once it has what it is owed."""
        while link.owes() and not link.outbox.closed:
            gevent.sleep(0.02)
        link.outbox.finish()
        link.outbox.drained(self.core.limits.send_ms / 1000.0)

    @staticmethod
    def _free(link: Link) -> bool:
        """Whether it carries nothing. Guards a request that has come and was not read yet against our close."""
        return not link.owes() and not link.reader.pending()

    def _make_room(self) -> bool:
        """Guards real clients against connections that hold all places and carry nothing: the idlest goes."""
        if len(self.links) < self.most:
            return True
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
            self.core.counters.add(f"in.connection_refused.{self.name}")
            return
        accepted(sock, self.core.limits)
        link = self.link(sock)
        self.links.add(link)
        self.core.counters.add(f"in.connection.{self.name}")
        try:
            link.read()
        finally:
            link.outbox.close()  # guards against writes to a descriptor that is closed and used anew
            self.links.discard(link)


def bound(address: Address, backlog: int, shared: bool) -> socket.socket:
    """A socket that listens, or with a backlog of 0 only holds its address; `shared` lets a second process of the
    same server listen beside it (SO_REUSEPORT)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    if backlog:
        sock.listen(backlog)
    return sock
