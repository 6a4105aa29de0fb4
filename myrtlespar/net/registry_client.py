"""Reports to the roster, by which client proxies find this server."""

from __future__ import annotations

import json
from urllib.parse import quote

import gevent
import httptools
import structlog
from gevent import socket
from gevent.event import Event

from myrtlespar.config import Address, Config
from myrtlespar.net.connections import connect
from myrtlespar.net.engine_client import EngineClient
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms

log = structlog.get_logger()


class ReportReply:
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
    return (
        f"PUT /roster/{quote(name, safe='')} HTTP/1.1\r\nHost: roster\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class RegistryClient:
    """One greenlet that reports well inside the time after which the roster forgets."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, kernel: EngineClient) -> None:
        self.config, self.coordinator, self.kernel, self.limits = config, coordinator, kernel, config.limits
        self._sock: socket.socket | None = None
        self._address = config.roster
        self._moved = Event()

    def move(self, address: Address) -> None:
        """Report to another address from now on; a report on its way ends where it is."""
        if address != self._address:
            self._address = address
            self._moved.set()

    def serve(self) -> None:
        """Report for good. What failed is tried again soon: the list forgets us 3 s after the last report it took."""
        while True:
            began = unix_ms()
            if self._moved.is_set():
                self._moved.clear()
                self._close()
            if not self.kernel.up:
                at = began + self.limits.reconnect_ms
            elif self._report():
                self.coordinator.counters.add("roster.report")
                at = began + self.limits.registry_report_interval_ms
            else:
                self.coordinator.counters.add("roster.failed")
                at = unix_ms() + self.limits.registry_retry_ms
            self._moved.wait(max(0.01, (at - unix_ms()) / 1000.0))

    def _report(self) -> bool:
        """One report. Guards against a kept connection that was closed or hangs: a new one has its try at once."""
        duty = "off" if self.coordinator.draining else "on"
        if self._sock is not None and self._try(duty, self.limits.registry_reused_connection_timeout_ms):
            return True
        return self._try(duty, self.limits.registry_new_connection_timeout_ms)

    def _try(self, duty: str, limit_ms: float) -> bool:
        try:
            with gevent.Timeout(limit_ms / 1000.0, TimeoutError):
                return self._send(duty)
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
            return False

    def _send(self, duty: str) -> bool:
        if self._sock is None:
            self._sock = connect(self._address, self.limits.connect_timeout_ms)
        self._sock.sendall(report(self.config.name, duty))
        reply, left = ReportReply(), self.limits.max_registry_reply_bytes
        while not reply.done:
            data = self._sock.recv(4096)
            left -= len(data)
            if not data or left < 0:  # guards all else against an answer that never ends
                raise ConnectionResetError
            reply.parser.feed_data(data)
        if not reply.parser.should_keep_alive():
            self._close()
        return int(reply.parser.get_status_code()) == 204

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
