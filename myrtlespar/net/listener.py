"""What both fronts share: a listener, its connections, and their end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import gevent
from gevent import socket
from gevent.server import StreamServer

from myrtlespar.config import Address
from myrtlespar.core import Core
from myrtlespar.net.links import Outbox, accepted


class ClientLink(Protocol):
    """One client's connection."""

    outbox: Outbox

    def read(self) -> None:
        """Take messages until the connection ends."""


Link = TypeVar("Link", bound=ClientLink)


class Listener(Generic[Link]):
    """Accepts connections for one front."""

    def __init__(self, name: str, address: Address, core: Core, most: int,
                 link: Callable[[socket.socket], Link]) -> None:
        self.name, self.core, self.most, self.link = name, core, most, link
        self.links: set[Link] = set()
        self._server = StreamServer(address, self._serve, backlog=512)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Accept no more."""
        self._server.close()

    def finish(self, timeout: float) -> None:
        """Send what is queued, then close all connections."""
        for link in list(self.links):
            link.outbox.finish()
        gevent.joinall([gevent.spawn(link.outbox.drained, timeout) for link in list(self.links)], timeout)

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if len(self.links) >= self.most:  # guards against running out of descriptors
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
