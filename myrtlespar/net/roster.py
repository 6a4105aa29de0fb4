"""Reports to the roster, by which client proxies find this server."""

from __future__ import annotations

import json

import gevent
import httptools
import structlog
from gevent import socket
from gevent.event import Event

from myrtlespar.config import Address, Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.net.kernel import Kernel
from myrtlespar.net.links import connect

log = structlog.get_logger()


class Reply:
    """Parses one answer."""

    def __init__(self) -> None:
        self.done = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.done = True


def report(name: str, duty: str) -> bytes:
    """One call, whole."""
    body = json.dumps({"duty": duty}, separators=(",", ":"))
    return (f"PUT /roster/{name} HTTP/1.1\r\nHost: roster\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


class Roster:
    """One greenlet that reports well inside the time after which the roster forgets."""

    def __init__(self, config: Config, core: Core, kernel: Kernel) -> None:
        self.config, self.core, self.kernel, self.limits = config, core, kernel, config.limits
        self._sock: socket.socket | None = None
        self._address = config.roster
        self._moved = Event()

    def move(self, address: Address) -> None:
        """Report to another address from now on; a report on its way ends where it is."""
        if address != self._address:
            self._address = address
            self._moved.set()

    def serve(self) -> None:
        """Report for good; a roster that is down is tried again at the next turn."""
        while True:
            began = unix_ms()
            if self._moved.is_set():
                self._moved.clear()
                self._close()
            if self.kernel.up:
                self.core.counters.add("roster.report" if self._report() else "roster.failed")
            wait = self.limits.report_every_ms if self.kernel.up else self.limits.reconnect_ms
            self._moved.wait(max(0.01, (began + wait - unix_ms()) / 1000.0))

    def _report(self) -> bool:
        duty = "off" if self.core.draining else "on"
        fresh = self._sock is None
        try:
            with gevent.Timeout(self.limits.report_ms / 1000.0, TimeoutError):
                if self._send(duty):
                    return True
                return not fresh and self._send(duty)  # a kept connection may have been closed meanwhile
        except (OSError, httptools.HttpParserError):
            self._close()
            return False

    def _send(self, duty: str) -> bool:
        try:
            if self._sock is None:
                self._sock = connect(self._address, self.limits.connect_ms)
            self._sock.sendall(report(self.config.name, duty))
            reply = Reply()
            while not reply.done:
                data = self._sock.recv(4096)
                if not data:
                    raise ConnectionResetError
                reply.parser.feed_data(data)
        except ConnectionError:
            self._close()
            return False
        if not reply.parser.should_keep_alive():
            self._close()
        return int(reply.parser.get_status_code()) == 204

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
