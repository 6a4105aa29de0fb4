"""Calls to the scene store: one at a time on each of a few connections, each end mapped to what it proves."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.interface import Outcome
from myrtlespar.net.links import Closed, Outbox, Reader, connect

log = structlog.get_logger()
# BUSY and VOID prove that the call never ran; ERR and LATE prove nothing.
ENDS = {b"OK": Outcome.OK, b"BUSY": Outcome.REJECTED, b"ERR": Outcome.ERROR, b"LATE": Outcome.TIMED_OUT,
        b"VOID": Outcome.MOOT}


class Spoilt(Exception):
    """The store sent what can't be read: nothing more on this connection means anything."""


@dataclass(slots=True, eq=False)
class Link:
    """One connection to the store, read all the time, so that its end is seen while it is idle too."""

    address: Address
    outbox: Outbox
    reader: Reader
    served: deque[str]  # the latest requests it carried calls for
    call: Call | None = None
    used: float = 0.0  # when it last became idle
    rested: float = 0.0  # how long it was idle before its present call


@dataclass(slots=True, eq=False)
class Call:
    """A call in hand, or waiting for a connection."""

    id: str
    body: bytes
    made: float
    limit_ms: float
    link: Link | None = field(default=None)


class Store:
    """The dependency that runs call."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core, self.limits = core, config.limits
        self._address = config.store
        self._calls: dict[str, Call] = {}
        self._idle: deque[Link] = deque()  # the one used last is taken first
        self._waiting: deque[Call] = deque()
        self._links = 0  # connections open or being opened

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call. A second call for one request takes the place of the first."""
        self.drop(id)
        call = self._calls[id] = Call(id, body, unix_ms(), limit_ms)
        link = self._trusted(id)
        if link is not None:
            self._send(link, call)
        elif self._links < self.limits.store_links:
            self._links += 1
            gevent.spawn(self._open, call)
        elif len(self._waiting) < self.limits.store_calls:
            self._waiting.append(call)
        else:  # guards memory against a store that only takes calls
            self._end(call, Outcome.UNREACHABLE)

    def drop(self, id: str) -> None:
        """Give up a call that nobody needs."""
        call = self._calls.pop(id, None)
        if call is not None:
            self.core.counters.add("store.drop")
            if call.link is not None:
                call.link.outbox.put(b"DROP %s\r\n" % id.encode())
                self._give_up(call.link)

    def move(self, address: Address) -> None:
        """New calls go to another address; calls in hand end where they are."""
        self._address = address
        self._close_idle(float("inf"))

    def _trusted(self, id: str) -> Link | None:
        """An idle connection for this call.

        Guards against connections that the store may have forgotten, and against a second copy of a reply,
        which would pass for the reply to the same request's next call."""
        fresh = unix_ms() - self.limits.store_trust_ms
        for link in reversed(self._idle):
            if link.used < fresh:
                break
            if id not in link.served and not link.reader.pending():
                self._idle.remove(link)
                return link
        return None

    def _send(self, link: Link, call: Call) -> None:
        link.call, call.link = call, link
        link.rested = unix_ms() - link.used if link.used else 0.0
        link.served.append(call.id)
        left = max(1, int(call.made + call.limit_ms - unix_ms()))
        # If it can't be written the reader sees the connection's end, and so does the call.
        link.outbox.put(b"CALL %s %d %d\r\n%s\r\n" % (call.id.encode(), left, len(call.body), call.body))

    def _give_up(self, link: Link) -> None:
        """Use a connection no more: its reply may still come, or never. Its close tells the store."""
        link.call = None
        link.outbox.close()

    def _end(self, call: Call, outcome: Outcome, reply: bytes = b"") -> None:
        if self._calls.get(call.id) is call:
            del self._calls[call.id]
            self.core.called(call.id, outcome, unix_ms() - call.made, reply)

    # One greenlet a connection.

    def _open(self, call: Call) -> None:
        try:
            address = self._address
            sock = connect(address, self.limits.connect_ms)
        except OSError:  # no connection, no call: it never ran
            self._links -= 1
            return self._end(call, Outcome.UNREACHABLE)
        self.core.counters.add("store.link")
        outbox = Outbox(sock, self.limits.store_outbox, self.limits.send_ms)
        reader = Reader(sock, self.limits.store_line)
        link = Link(address, outbox, reader, deque(maxlen=self.limits.store_served))
        if self._calls.get(call.id) is call:
            self._send(link, call)
        else:
            self._release(link)
        try:
            while True:
                self._reply(link)
        except Closed as error:
            self._broken(link, "reset", str(error))
        except Spoilt as error:
            self._broken(link, "spoilt", str(error)[:200])
        finally:
            outbox.close()
            sock.close()
            self._links -= 1
            if link in self._idle:
                self._idle.remove(link)
        while self._waiting and self._links < self.limits.store_links:
            self._links += 1
            gevent.spawn(self._open, self._waiting.popleft())

    def _broken(self, link: Link, how: str, error: str) -> None:
        call, link.call = link.call, None
        if call is not None:  # nothing but a reply proves that it never ran
            if self.core.counters.rare(f"store.{how}"):
                log.info("store broke a call", how=how, error=error, id=call.id, rested_ms=round(link.rested))
            self._end(call, Outcome.CUT_OFF)

    def _reply(self, link: Link) -> None:
        """Read one reply. Those to others, such as second copies, are passed over."""
        text = link.reader.line()
        words = text.removesuffix(b"\r").split(b" ")
        end = ENDS.get(words[1]) if len(words) == (3 if words[1:2] == [b"OK"] else 2) else None
        if end is None or not text.endswith(b"\r"):
            raise Spoilt(f"line {text[:80]!r}")
        body = self._body(link, words[2]) if end is Outcome.OK else b""
        call = link.call
        if call is None or words[0] != call.id.encode():
            self.core.counters.add("store.stray")
            return
        link.call = None
        self._release(link)
        self._end(call, end, body)

    def _body(self, link: Link, size: bytes) -> bytes:
        # Guards memory against lengths that fill it, and runs against a reply of another length than told.
        if not size.isdigit() or len(size) > 9 or int(size) > self.limits.store_reply:
            raise Spoilt(f"reply of {size[:20]!r} bytes")
        data = link.reader.exactly(int(size) + 2)
        if not data.endswith(b"\r\n"):
            raise Spoilt("reply of another length than told")
        return data[:-2]

    def _release(self, link: Link) -> None:
        """It carries nothing: the next call that waits may have it."""
        if link.address != self._address:
            return link.outbox.close()
        link.used = unix_ms()
        while self._waiting:
            call = self._waiting.popleft()
            if self._calls.get(call.id) is not call:
                continue
            if call.id not in link.served:
                return self._send(link, call)
            self._waiting.appendleft(call)  # the connection that takes this one's place will carry it
            return link.outbox.close()
        self._idle.append(link)

    def serve(self) -> None:
        """Time calls out, and close connections that have been idle for too long to be trusted."""
        while True:
            gevent.sleep(self.limits.store_look_ms / 1000.0)
            now = unix_ms()
            for call in list(self._calls.values()):
                if now >= call.made + call.limit_ms + self.limits.store_grace_ms:
                    # A call that still waits for a connection never ran.
                    self._end(call, Outcome.TIMED_OUT if call.link else Outcome.UNREACHABLE)
                    if call.link is not None:  # guards later calls against a connection that fell silent
                        self._give_up(call.link)
            self._close_idle(now - self.limits.store_trust_ms)

    def _close_idle(self, before: float) -> None:
        while self._idle and self._idle[0].used < before:
            self._idle.popleft().outbox.close()
