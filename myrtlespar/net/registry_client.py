"""Client of the service registry, through which client proxies find this server."""

from __future__ import annotations

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from myrtlespar.config import Address, Config
from myrtlespar.net.codec.registry import ReplyParser, encode_report
from myrtlespar.net.connections import connect
from myrtlespar.net.engine_client import EngineClient
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms

MAX_READ_BYTES = 4096  # of one recv call
MIN_PAUSE_S = 0.01  # between two reports
STATUS_ACCEPTED = 204


class RegistryClient:
    """Reports this server as available, often enough that the registry keeps its entry.

    Reports start when the execution engine was up for the first time. While the server drains, they state `off`.
    """

    def __init__(self, config: Config, coordinator: RequestCoordinator, engine: EngineClient) -> None:
        self._name = config.name
        self._coordinator = coordinator
        self._engine = engine
        self._limits = config.limits
        self._sock: socket.socket | None = None
        self._address = config.roster
        self._moved = Event()

    def move(self, address: Address) -> None:
        """Send reports to another address after a reload; a report in flight is finished at the old one."""
        if address != self._address:
            self._address = address
            self._moved.set()

    def serve(self) -> None:
        """Report at regular intervals, and sooner after a failure; never return."""
        while True:
            started_at = unix_ms()
            if self._moved.is_set():
                self._moved.clear()
                self._close()
            if not self._engine.has_been_up:
                next_at = started_at + self._limits.reconnect_ms
            elif self._report():
                self._coordinator.counters.add("roster.report")
                next_at = started_at + self._limits.registry_report_interval_ms
            else:
                self._coordinator.counters.add("roster.failed")
                next_at = unix_ms() + self._limits.registry_retry_ms
            self._moved.wait(max(MIN_PAUSE_S, (next_at - unix_ms()) / 1000.0))

    def _report(self) -> bool:
        """Send one report and return whether it was accepted.

        A reused connection may be closed or hang, so after a failure there the report is sent on a new one.
        """
        duty = "off" if self._coordinator.draining else "on"
        if self._sock is not None and self._attempt(duty, self._limits.registry_reused_connection_timeout_ms):
            return True
        return self._attempt(duty, self._limits.registry_new_connection_timeout_ms)

    def _attempt(self, duty: str, timeout_ms: float) -> bool:
        try:
            with gevent.Timeout(timeout_ms / 1000.0, TimeoutError):
                return self._send(duty)
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
            return False

    def _send(self, duty: str) -> bool:
        if self._sock is None:
            self._sock = connect(self._address, self._limits.connect_timeout_ms)
        self._sock.sendall(encode_report(self._name, duty))
        reply = ReplyParser()
        bytes_left = self._limits.max_registry_reply_bytes
        while not reply.is_complete:
            data = self._sock.recv(MAX_READ_BYTES)
            bytes_left -= len(data)
            if not data or bytes_left < 0:  # bounds the length of the answer
                raise ConnectionResetError
            reply.feed(data)
        if not reply.keeps_connection:
            self._close()
        return reply.status == STATUS_ACCEPTED

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
