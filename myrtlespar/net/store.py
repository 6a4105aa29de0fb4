"""Calls to the scene store: pipelined on one connection, each ending mapped to what it proves."""

from __future__ import annotations

from dataclasses import dataclass

import gevent
import structlog
from gevent.lock import Semaphore

from myrtlespar.config import Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.interface import Outcome
from myrtlespar.net.links import Closed, Outbox, Reader, connect

log = structlog.get_logger()
# BUSY and VOID prove that the call never ran; ERR and LATE prove nothing.
ENDS = {b"OK": Outcome.OK, b"BUSY": Outcome.REJECTED, b"ERR": Outcome.ERROR, b"LATE": Outcome.TIMED_OUT,
        b"VOID": Outcome.MOOT}


@dataclass(slots=True)
class Open:
    """A call in hand."""

    made: float
    gives_up: float
    link: Outbox | None = None


class Store:
    """The dependency that runs call."""

    def __init__(self, config: Config, core: Core) -> None:
        self.config, self.core, self.limits = config, core, config.limits
        self._calls: dict[str, Open] = {}
        self._link: Outbox | None = None
        self._used = 0.0
        self._connecting = Semaphore()

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call. A second call for one request takes the place of the first."""
        now = unix_ms()
        call = Open(now, now + limit_ms + self.limits.store_grace_ms)
        self._calls[id] = call
        text = f"CALL {id} {max(1, int(limit_ms))} {len(body)}\r\n".encode() + body + b"\r\n"
        if self._link is not None and not self._link.closed and not self._link.ending:
            self._send(id, call, self._link, text)
        else:
            gevent.spawn(self._connect_and_send, id, call, text)

    def drop(self, id: str) -> None:
        """Give up a call that nobody needs."""
        call = self._calls.pop(id, None)
        if call is not None:
            self.core.counters.add("store.drop")
            if call.link is not None:
                call.link.put(f"DROP {id}\r\n".encode())

    def _send(self, id: str, call: Open, link: Outbox, text: bytes) -> None:
        call.link = link
        self._used = unix_ms()
        if not link.put(text):
            self._end(id, call, Outcome.UNREACHABLE)

    def _connect_and_send(self, id: str, call: Open, text: bytes) -> None:
        with self._connecting:
            if self._calls.get(id) is not call:
                return
            if self._link is None or self._link.closed or self._link.ending:
                try:
                    sock = connect(self.config.store, self.limits.connect_ms)
                except OSError:  # no connection, no call: it never ran
                    return self._end(id, call, Outcome.UNREACHABLE)
                self._link = Outbox(sock, self.limits.store_outbox, self.limits.send_ms)
                gevent.spawn(self._read, Reader(sock, self.limits.store_line), self._link)
            self._send(id, call, self._link, text)

    def _end(self, id: str, call: Open, outcome: Outcome, reply: bytes = b"") -> None:
        if self._calls.get(id) is call:
            del self._calls[id]
            self.core.called(id, outcome, unix_ms() - call.made, reply)

    def _read(self, reader: Reader, link: Outbox) -> None:
        try:
            while True:
                words = reader.line().rstrip(b"\r").split(b" ")
                id, end = words[0].decode("ascii"), ENDS[words[1]]
                reply = b""
                if end is Outcome.OK:
                    size = int(words[2])
                    if not 0 <= size <= self.limits.store_reply:  # guards against a length that fills memory
                        raise ValueError(f"reply of {size} bytes")
                    reply = reader.exactly(size + 2)[:-2]
                call = self._calls.get(id)
                if call is not None and call.link is link:  # guards against replies to calls given up
                    self._end(id, call, end, reply)
        except Closed:
            pass
        except (KeyError, ValueError, IndexError, UnicodeDecodeError) as error:
            log.error("store sent what can't be read", error=str(error))
        link.close()
        for id, call in list(self._calls.items()):
            if call.link is link:
                self._end(id, call, Outcome.CUT_OFF)

    def serve(self) -> None:
        """Time calls out, and close an idle link before the store does.

        Guards against a call written just as the store closes: nobody could tell whether it ran."""
        while True:
            gevent.sleep(0.02)
            now = unix_ms()
            for id, call in list(self._calls.items()):
                if now >= call.gives_up:
                    if call.link is not None:
                        call.link.put(f"DROP {id}\r\n".encode())
                    self._end(id, call, Outcome.TIMED_OUT)
            if self._link and not self._calls and now - self._used > self.limits.store_idle_ms:
                self._link.finish()
                self._link = None
