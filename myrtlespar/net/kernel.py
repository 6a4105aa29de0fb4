"""The link to the kernel, which does the work. Reconnects, moves, and repeats only what cannot run twice."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import Any

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.exchange import Answer, Exchange, Kind
from myrtlespar.interface import Effect, Outcome
from myrtlespar.net.links import Closed, Outbox, Reader, connect

log = structlog.get_logger()
ENDS = {"PASS": Outcome.OK, "FAIL": Outcome.ERROR, "KILLED": Outcome.STOPPED, "NOOP": Outcome.MOOT}


@dataclass(slots=True)
class Command:
    """One order to the kernel, until something proves that it was read."""

    rid: str
    line: bytes
    harmless: bool = False  # a second run of it would do no harm
    sent: int = 0  # its place among all that was sent; 0: not sent yet


def line(**fields: Any) -> bytes:
    """One message."""
    return json.dumps(fields).encode() + b"\n"


class Kernel:
    """Engine and gauges for the core."""

    def __init__(self, config: Config, core: Core) -> None:
        self.config, self.core, self.limits = config, core, config.limits
        self.up = False
        self._address = config.kernel
        self._routes = [json.dumps(name).encode() for name in config.class_names]
        self._last = 0  # number of the last notice read
        self._gap = -1  # the last one before a gap that was asked for again
        self._booted: float | None = None
        self._link: Outbox | None = None
        self._ready = False  # commands may go out: replayed notices are read, and no move is under way
        self._open: dict[str, Command] = {}  # by request, which has one at a time; in the order of sending
        self._doubtful: dict[str, Command] = {}  # may be lost with an earlier link
        self._marks: dict[str, int] = {}  # the newest command when the mark was sent
        self._serial = self._sent = 0
        self._heard = 0.0
        self._values: list[float] = []
        self._values_at = 0.0

    # What the core asks for.

    def run(self, exchange: Exchange) -> None:
        """Start a request."""
        # Written without the JSON library: ids are letters and digits, bodies base64.
        text = b'{"t":"SCHED","rid":"%s","route":%s,"b64":"%s"}\n' % (
            exchange.id.encode(), self._routes[exchange.cls], base64.b64encode(exchange.body))
        safe = self.config.settings.classes[exchange.cls].effect is Effect.SAFE
        self._send(Command(exchange.id, text, safe))

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Hand a run its reply."""
        self._send(Command(exchange.id, b'{"t":"IODONE","rid":"%s","b64":"%s"}\n' % (
            exchange.id.encode(), base64.b64encode(reply))))

    def ask(self) -> None:
        """Ask for the gauges; the answer also proves that all before it was read."""
        if self._ready and len(self._marks) < self.limits.kernel_marks:
            self._mark("gauges")

    def latest(self, now: float) -> list[float]:
        """The freshest gauges, if fresh enough to mean anything."""
        return self._values if now - self._values_at <= self.limits.gauge_age_ms else []

    def move(self, address: Address) -> None:
        """Go on at another address, once the old link was read to its end: nothing is in doubt then."""
        if address == self._address:
            return
        self._address = address
        link, ready, self._ready = self._link, self._ready, False
        if link is not None and ready:
            self._mark("move")
            gevent.spawn_later(self.limits.move_ms / 1000.0, link.close)  # should the old kernel not answer
        elif link is not None and not any(mark.startswith("move") for mark in self._marks):
            link.close()

    def _send(self, command: Command) -> None:
        """Send it, or keep it until there is a link to send it on."""
        self._open.pop(command.rid, None)
        self._open[command.rid] = command
        if self._ready and self._link and self._link.put(command.line):
            self._sent += 1
            command.sent = self._sent

    def _mark(self, kind: str) -> None:
        self._serial += 1
        mark = f"{kind}-{self._serial}"
        self._marks[mark] = self._sent
        if self._link:
            self._link.put(line(t="SYSINFO", mark=mark))

    # The link.

    def serve(self) -> None:
        """Keep a link for good."""
        while True:
            began = unix_ms()
            try:
                self._connect()
            except (OSError, Closed) as error:
                log.info("kernel link", error=str(error))
            except (ValueError, TypeError) as error:  # guards against gauges or a start that are no numbers
                log.error("kernel sent what can't be read", error=str(error)[:200])
                self.core.counters.add("kernel.bad_notice")
            self._ready, self._link = False, None
            # A link that held is replaced at once: runs go on meanwhile, and their notices wait.
            gevent.sleep(max(0.0, began + self.limits.reconnect_ms - unix_ms()) / 1000.0)

    def _connect(self) -> None:
        sock = connect(self._address, self.limits.connect_ms)
        self.core.counters.add("kernel.link")
        self._link = link = Outbox(sock, self.limits.kernel_outbox, self.limits.send_ms)
        self._marks.clear()
        self._doubtful.update((rid, command) for rid, command in self._open.items() if command.sent)
        self._open = {rid: command for rid, command in self._open.items() if not command.sent}
        tasks = [gevent.spawn(self._watch, link)]
        try:
            link.put(line(t="OPEN", no=self._last))
            reader = Reader(sock, self.limits.kernel_line)
            booted = False
            while True:
                notice = self._parse(reader.line())
                if notice.get("t") == "BOOTED" and not booted:
                    booted = True
                    self._boot(notice)
                    self._mark("sync")  # its answer comes behind all notices that are replayed
                    tasks.append(gevent.spawn(self._settle_doubts))
                self._heard = unix_ms()
                number = notice.get("no")
                if not isinstance(number, int):
                    self._unnumbered(notice)
                elif number > self._last:  # guards against handling a notice twice
                    if number > self._last + 1 and self._gap != self._last:
                        # Guards against notices lost on the way. Asked for once: not all are kept for good.
                        self._gap = self._last
                        self.core.counters.add("kernel.gap")
                        raise Closed(f"notice {number} after {self._last}")
                    self._last = number
                    self._numbered(notice)
        finally:
            link.close()
            sock.close()
            gevent.killall(tasks, block=False)

    def _parse(self, text: bytes) -> dict[str, Any]:
        """Guards against an odd line: it is passed over; a notice lost with it shows as a gap in numbers."""
        try:
            notice = json.loads(text.decode())  # given bytes, it would look for their encoding each time
            if isinstance(notice, dict):
                return notice
        except ValueError:
            pass
        self.core.counters.add("kernel.bad_notice")
        return {}

    def _watch(self, link: Outbox) -> None:
        """Guards against a link that is dead without having ended."""
        while True:
            gevent.sleep(self.limits.kernel_silence_ms / 3000.0)
            if self._marks and unix_ms() - self._heard > self.limits.kernel_silence_ms:
                link.close()

    def _boot(self, notice: dict[str, Any]) -> None:
        started = unix_ms() - float(notice.get("time_ms", 0.0))
        # Only a kernel younger than all that was heard of it before is a new one. Guards against a pause of
        # this machine, which makes the same start look late.
        newest = max(self._heard, (self._booted or 0.0) + self.limits.same_boot_ms)
        if self._booted is not None and started > newest:
            # Guards against waiting for runs that died with the kernel they ran in.
            log.warning("the kernel started anew")
            self._last = 0
            self._doubtful.clear()
            for id, exchange in list(self.core.open.items()):
                if exchange.started and not exchange.target and id not in self._open:
                    self.core.ended(id, Outcome.ERROR, 0.0)
        self._booted, self.up = started, True
        log.info("kernel up", status=notice.get("status"))

    def _sync(self) -> None:
        """All replayed notices are handled: send what waited, and again what may even run twice."""
        waiting, self._open, self._ready = self._open, {}, True
        self._repeat({rid: command for rid, command in self._doubtful.items() if command.harmless})
        for command in waiting.values():
            if command.rid in self.core.open:
                self._send(command)

    def _settle_doubts(self) -> None:
        """Repeats what may be lost and must not run twice, once nothing has been heard of it for a while.

        A run that began has by then most likely ended or asked for a call, and its notice is read before the
        mark's answer; while it runs, the repeat does nothing. Guards against a second run that a repeat sent
        at once could cause by crossing the notice of its end."""
        while True:
            gevent.sleep(self.limits.doubt_ms / 1000.0)
            if self._doubtful and self._ready:
                self._mark("doubt")

    def _repeat(self, commands: dict[str, Command]) -> None:
        for command in commands.values():
            del self._doubtful[command.rid]
            exchange = self.core.open.get(command.rid)
            if exchange is None:
                continue
            if exchange.answer is not None:  # nobody needs it: its place is free again
                self.core.counters.add("kernel.given_up")
                self.core.ended(command.rid, Outcome.MOOT, 0.0)
                continue
            self.core.counters.add("kernel.repeated")
            self._send(command)

    def _unnumbered(self, notice: dict[str, Any]) -> None:
        kind = notice.get("t")
        if kind == "INFO":
            self._info(notice)
        elif kind == "EINVAL":
            if self.core.counters.rare("kernel.einval"):
                log.error("command not carried out", command=notice.get("status"), rid=notice.get("rid"))
            if notice.get("status") == "SCHED":
                self._settled(str(notice.get("rid")))
                # Nothing was started. Guards against clients whose made-up ids would look like failing runs.
                self.core.ended(str(notice.get("rid")), Outcome.MOOT, 0.0)

    def _numbered(self, notice: dict[str, Any]) -> None:
        kind, rid = notice.get("t"), str(notice.get("rid"))
        try:
            if kind == "REAP":
                outcome = ENDS[notice["status"]]
                elapsed, body = float(notice.get("time_ms", 0.0)), base64.b64decode(notice.get("b64", ""))
                self._settled(rid)
                self.core.counters.add(f"kernel.{notice['status'].lower()}")
                result = Answer(Kind.SERVED, body) if outcome is Outcome.OK else None
                self.core.ended(rid, outcome, elapsed, result)
            elif kind == "IOREQ":
                self._settled(rid)
                self.core.call_needed(rid, base64.b64decode(notice.get("b64", "")))
        except (KeyError, TypeError, ValueError) as error:  # guards the link against one odd notice
            if self.core.counters.rare("kernel.bad_notice"):
                log.error("notice can't be read", error=f"{type(error).__name__}: {error}"[:200])

    def _settled(self, rid: str) -> None:
        """A notice of a run proves that what was sent for it was read."""
        self._open.pop(rid, None)
        self._doubtful.pop(rid, None)

    def _info(self, notice: dict[str, Any]) -> None:
        mark, values = str(notice.get("mark", "")), notice.get("v")
        newest = self._marks.pop(mark, None)
        if newest is None:
            return
        for rid in [rid for rid, command in self._open.items() if 0 < command.sent <= newest]:
            del self._open[rid]
        kind = mark.partition("-")[0]
        if kind == "sync":
            self._sync()
        elif kind == "doubt":
            self._repeat(dict(self._doubtful))
        elif kind == "move" and self._link:
            self._link.close()
        elif isinstance(values, list):
            self._values, self._values_at = [float(value) for value in values], unix_ms()
