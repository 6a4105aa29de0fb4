"""The link to the kernel, which does the work. Reconnects, and repeats only what cannot run twice."""

from __future__ import annotations

import base64
import json
from collections import deque
from dataclasses import dataclass
from typing import Any

import gevent
import structlog

from myrtlespar.config import Config
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
    repeatable: bool
    sent: bool = False


def line(**fields: Any) -> bytes:
    """One message."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Kernel:
    """Engine and gauges for the core."""

    def __init__(self, config: Config, core: Core) -> None:
        self.config, self.core, self.limits = config, core, config.limits
        self.up = False
        self._last = 0  # number of the last notice read
        self._booted: float | None = None
        self._outbox: Outbox | None = None
        self._synced = False
        self._open: deque[Command] = deque()
        self._marks: dict[str, Command | None] = {}  # what was the newest command when the mark was sent
        self._serial = 0
        self._heard = 0.0
        self._values: list[float] = []
        self._values_at = 0.0

    # What the core asks for.

    def run(self, exchange: Exchange) -> None:
        """Start a request."""
        safe = self.config.settings.classes[exchange.cls].effect is Effect.SAFE
        self._command(exchange.id, line(
            t="SCHED", rid=exchange.id, route=self.config.class_names[exchange.cls],
            b64=base64.b64encode(exchange.body).decode()), safe)

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Hand a run its reply."""
        encoded = base64.b64encode(reply).decode()
        self._command(exchange.id, line(t="IODONE", rid=exchange.id, b64=encoded), True)

    def ask(self) -> None:
        """Ask for the gauges; the answer also proves that all before it was read."""
        if self._outbox and self._synced and len(self._marks) < self.limits.kernel_marks:
            self._mark("g")

    def latest(self, now: float) -> list[float]:
        """The freshest gauges, if fresh enough to mean anything."""
        return self._values if now - self._values_at <= self.limits.gauge_age_ms else []

    def _command(self, rid: str, text: bytes, repeatable: bool) -> None:
        command = Command(rid, text, repeatable)
        self._open.append(command)
        if self._outbox and self._synced:
            command.sent = self._outbox.put(text)

    def _mark(self, kind: str) -> None:
        self._serial += 1
        mark = f"{kind}{self._serial}"
        self._marks[mark] = self._open[-1] if self._open else None
        if self._outbox:
            self._outbox.put(line(t="SYSINFO", mark=mark))

    # The link.

    def serve(self) -> None:
        """Keep a link for good."""
        while True:
            try:
                self._link()
            except (OSError, Closed) as error:
                log.info("kernel link", error=str(error))
            except (ValueError, KeyError, TypeError) as error:
                log.error("kernel sent what can't be read", error=str(error))
                self.core.counters.add("kernel.bad_notice")
            self._synced, self._outbox = False, None
            gevent.sleep(self.limits.reconnect_ms / 1000.0)

    def _link(self) -> None:
        sock = connect(self.config.kernel, self.limits.connect_ms)
        self.core.counters.add("kernel.link")
        outbox = Outbox(sock, self.limits.kernel_outbox, self.limits.send_ms)
        self._marks.clear()
        booted = False
        watch = None
        try:
            outbox.put(line(t="OPEN", no=self._last))
            reader = Reader(sock, self.limits.kernel_line)
            while True:
                notice = json.loads(reader.line())
                self._heard = unix_ms()
                if notice["t"] == "BOOTED" and not booted:
                    booted = True
                    self._boot(notice)
                    self._outbox = outbox
                    self._mark("sync")  # its answer comes behind all notices that are replayed
                    watch = gevent.spawn(self._watch, outbox)
                else:
                    self._notice(notice)
        finally:
            outbox.close()
            sock.close()
            if watch:
                watch.kill(block=False)

    def _watch(self, outbox: Outbox) -> None:
        """Guards against a link that is dead without having ended."""
        while True:
            gevent.sleep(self.limits.kernel_silence_ms / 3000.0)
            if self._marks and unix_ms() - self._heard > self.limits.kernel_silence_ms:
                outbox.close()

    def _boot(self, notice: dict[str, Any]) -> None:
        started = unix_ms() - float(notice.get("time_ms", 0.0))
        if self._booted is not None and started - self._booted > self.limits.same_boot_ms:
            # Guards against waiting for runs that died with the kernel they ran in.
            log.warning("the kernel started anew")
            self._last = 0
            self._open = deque(command for command in self._open if not command.sent)
            unsent = {command.rid for command in self._open}
            for id, exchange in list(self.core.open.items()):
                if exchange.started and not exchange.target and id not in unsent:
                    self.core.ended(id, Outcome.ERROR, 0.0)
        self._booted, self.up = started, True
        log.info("kernel up", status=notice.get("status"))

    def _sync(self) -> None:
        """All replayed notices are handled: send what waited, repeat what may be repeated.

        Guards against a second run: an order to start what must not run twice is never repeated."""
        assert self._outbox
        waiting, self._open = self._open, deque()
        self._synced = True
        for command in waiting:
            exchange = self.core.open.get(command.rid)
            if command.sent and not command.repeatable:
                if exchange:
                    exchange.doubt = True
                continue
            if exchange is None or (command.sent and exchange.answer is not None):
                continue
            if command.sent:
                self.core.counters.add("kernel.repeated")
            command.sent = self._outbox.put(command.line)
            self._open.append(command)

    def _notice(self, notice: dict[str, Any]) -> None:
        kind = notice["t"]
        if kind == "INFO":
            return self._info(notice)
        if kind == "EINVAL":
            self.core.counters.add("kernel.einval")
            log.error("command not carried out", command=notice.get("status"), rid=notice.get("rid"))
            if notice.get("status") == "SCHED":
                self.core.ended(notice["rid"], Outcome.ERROR, 0.0)
            return
        number = int(notice.get("no", 0))
        if number <= self._last:  # guards against handling a notice twice
            return
        self._last = number
        if kind == "REAP":
            self._settled(notice["rid"])
            outcome = ENDS[notice["status"]]
            result = None
            if outcome is Outcome.OK:
                result = Answer(Kind.SERVED, base64.b64decode(notice.get("b64", "")))
            self.core.counters.add(f"kernel.{notice['status'].lower()}")
            self.core.ended(notice["rid"], outcome, float(notice.get("time_ms", 0.0)), result)
        elif kind == "IOREQ":
            self._settled(notice["rid"])
            self.core.call_needed(notice["rid"], base64.b64decode(notice.get("b64", "")))

    def _settled(self, rid: str) -> None:
        """A notice of a run proves that what was sent for it was read."""
        if any(command.rid == rid for command in self._open):
            self._open = deque(command for command in self._open if command.rid != rid)

    def _info(self, notice: dict[str, Any]) -> None:
        mark = str(notice.get("mark", ""))
        if mark not in self._marks:
            return
        newest = self._marks.pop(mark)
        if mark.startswith("sync"):
            return self._sync()
        self._values = [float(value) for value in notice["v"]]
        self._values_at = unix_ms()
        if newest is not None and any(command is newest for command in self._open):
            while self._open.popleft() is not newest:
                pass
