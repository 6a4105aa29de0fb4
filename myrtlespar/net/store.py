"""Calls to the scene store: one at a time on each of a few connections, each end mapped to what it proves."""

from __future__ import annotations

import contextlib
import os
from collections import deque
from dataclasses import dataclass

import gevent
import structlog
from gevent import Greenlet, socket
from gevent.lock import BoundedSemaphore

from myrtlespar.config import Address, Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.interface import Outcome
from myrtlespar.net.links import Closed, Reader, connect

log = structlog.get_logger()
# BUSY and VOID prove that the call never ran; ERR and LATE prove nothing.
ENDS = {b"OK": Outcome.OK, b"BUSY": Outcome.REJECTED, b"ERR": Outcome.ERROR, b"LATE": Outcome.TIMED_OUT,
        b"VOID": Outcome.MOOT}


class Spoilt(Exception):
    """The store sent what can't be read: nothing more on this connection means anything."""


@dataclass(slots=True)
class Link:
    """One connection to the store."""

    sock: socket.socket
    reader: Reader
    address: Address
    served: deque[str]  # the latest requests it carried calls for
    used: float = 0.0


class Store:
    """The dependency that runs call."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core, self.limits = core, config.limits
        self._address = config.store
        self._calls: dict[str, Greenlet] = {}
        self._idle: deque[Link] = deque()  # the one used last is taken first
        self._room = BoundedSemaphore(self.limits.store_links)

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call. A second call for one request takes the place of the first."""
        self.drop(id)
        if len(self._calls) >= self.limits.store_calls:  # guards memory against a store that only takes calls
            return self.core.called(id, Outcome.UNREACHABLE, 0.0)
        self._calls[id] = gevent.spawn(self._call, id, unix_ms(), limit_ms, body)

    def drop(self, id: str) -> None:
        """Give up a call that nobody needs: its connection closes, which tells the store."""
        task = self._calls.pop(id, None)
        if task is not None:
            self.core.counters.add("store.drop")
            task.kill(block=False)

    def move(self, address: Address) -> None:
        """New calls go to another address; calls in hand end where they are."""
        self._address = address
        self._close_idle()

    def _call(self, id: str, made: float, limit_ms: float, body: bytes) -> None:
        outcome, reply = Outcome.UNREACHABLE, b""
        try:
            with gevent.Timeout((limit_ms + self.limits.store_grace_ms) / 1000.0, TimeoutError), self._room:
                link = self._take(id)
                outcome = Outcome.CUT_OFF  # from here on nothing but a reply proves that it never ran
                try:
                    left = max(1, int(made + limit_ms - unix_ms()))
                    link.sock.sendall(b"CALL %s %d %d\r\n%s\r\n" % (id.encode(), left, len(body), body))
                    outcome, reply = self._reply(link, id)
                except BaseException:  # a call that is given up included
                    self._give_up(link, id)
                    raise
                self._keep(link)
        except TimeoutError:
            if outcome is Outcome.CUT_OFF:  # else it waited for a connection and never ran
                outcome = Outcome.TIMED_OUT
        except (OSError, Closed) as error:
            if outcome is Outcome.CUT_OFF:
                self.core.counters.add("store.reset")
                log.info("store reset a call", error=str(error), id=id)
        except Spoilt as error:
            self.core.counters.add("store.spoilt")
            log.warning("store sent what can't be read", error=str(error)[:200], id=id)
        if self._calls.get(id) is gevent.getcurrent():
            del self._calls[id]
            self.core.called(id, outcome, unix_ms() - made, reply)

    def _take(self, id: str) -> Link:
        """A connection that can be trusted with this call, or a new one.

        Guards against connections that the store closed or forgot while idle, against what came unasked on
        one, and against a second copy of a reply, taken for the reply to the same request's next call."""
        trusted = unix_ms() - self.limits.store_trust_ms
        for link in reversed(self._idle):
            if link.used < trusted:
                break
            if id not in link.served:
                self._idle.remove(link)
                if link.reader.pending():
                    self.core.counters.add("store.stale")
                    link.sock.close()
                    return self._take(id)
                link.served.append(id)
                return link
        sock = connect(self._address, self.limits.connect_ms)
        self.core.counters.add("store.link")
        reader = Reader(sock, self.limits.store_line)
        return Link(sock, reader, self._address, deque([id], maxlen=self.limits.store_served))

    def _give_up(self, link: Link, id: str) -> None:
        if id not in self._calls:  # a later call for the same request must not be given up with it
            with contextlib.suppress(OSError):
                os.write(link.sock.fileno(), b"DROP %s\r\n" % id.encode())
        link.sock.close()

    def _keep(self, link: Link) -> None:
        if link.address == self._address:
            link.used = unix_ms()
            self._idle.append(link)
        else:
            link.sock.close()

    def _reply(self, link: Link, id: str) -> tuple[Outcome, bytes]:
        """The reply to this call; replies to others in front of it are passed over."""
        for _ in range(self.limits.store_strays):
            try:
                text = link.reader.line()
            except Closed as error:
                raise Spoilt(str(error)) if link.reader.begun() else error from None
            words = text.removesuffix(b"\r").split(b" ")
            end = ENDS.get(words[1]) if len(words) == (3 if words[1:2] == [b"OK"] else 2) else None
            if end is None or not text.endswith(b"\r"):
                raise Spoilt(f"line {text[:80]!r}")
            body = self._body(link, words[2]) if end is Outcome.OK else b""
            if words[0] == id.encode():
                return end, body
            self.core.counters.add("store.stray")
        raise Spoilt("too many replies to others")

    def _body(self, link: Link, size: bytes) -> bytes:
        # Guards memory against lengths that fill it, and runs against a reply of another length than told.
        if not size.isdigit() or len(size) > 9 or int(size) > self.limits.store_reply:
            raise Spoilt(f"reply of {size[:20]!r} bytes")
        data = link.reader.exactly(int(size) + 2)
        if not data.endswith(b"\r\n"):
            raise Spoilt("reply of another length than told")
        return data[:-2]

    def serve(self) -> None:
        """Close connections that have been idle for too long to be trusted."""
        while True:
            gevent.sleep(self.limits.store_trust_ms / 1000.0)
            self._close_idle(unix_ms() - self.limits.store_trust_ms)

    def _close_idle(self, before: float = float("inf")) -> None:
        while self._idle and self._idle[0].used < before:
            self._idle.popleft().sock.close()
