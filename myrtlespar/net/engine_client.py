"""The link to the kernel, which does the work. Reconnects, moves, and repeats only what cannot run twice."""

from __future__ import annotations

import base64
import json
import math
from typing import Any

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.connections import ConnectionEndedError, Outbox, Reader, connect
from myrtlespar.policy.messages import Effect, RunOutcome
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.attempts import STARTED
from myrtlespar.state_machines.engine_link import (
    GAP,
    NEXT,
    RENUMBERED,
    Command,
    CommandLog,
    EndRun,
    LinkEffect,
    RequestMark,
    SendOpen,
    WriteCommand,
)
from myrtlespar.state_machines.request_tracker import NEVER_RAN

log = structlog.get_logger()
ENDS = {"PASS": RunOutcome.OK, "FAIL": RunOutcome.ERROR, "KILLED": RunOutcome.STOPPED, "NOOP": RunOutcome.MOOT}


def line(**fields: Any) -> bytes:
    """One message."""
    return json.dumps(fields).encode() + b"\n"


def _finite(value: Any) -> float:
    """A number from a notice. Guards all later decisions against one that is none: it would spread through every
    mean it enters.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is no time or gauge")
    return number


class EngineClient:
    """Engine and gauges for the core."""

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        self.config, self.coordinator, self.limits = config, coordinator, config.limits
        self.up = False
        self._address = config.kernel
        self._routes = [json.dumps(name).encode() for name in config.class_names]
        self.book = CommandLog(coordinator.tracker.is_wanted, config.limits.max_pending_engine_marks)
        self._booted: float | None = None
        self._link: Outbox | None = None
        self._heard = 0.0
        self._opened_at = 0.0  # the present link
        self._started_here: set[str] = set()  # runs started on the present link that have not ended
        self._values: list[float] = []
        self._values_at = 0.0

    # What the core asks for.

    def run(self, exchange: Exchange) -> None:
        """Start a request."""
        # Written without the JSON library: ids are letters and digits, bodies base64.
        text = b'{"t":"SCHED","rid":"%s","route":%s,"b64":"%s"}\n' % (
            exchange.id.encode(),
            self._routes[exchange.class_index],
            base64.b64encode(exchange.body),
        )
        safe = self.config.settings.classes[exchange.class_index].effect is Effect.SAFE
        self._carry(self.book.send(Command(exchange.id, text, True, safe)))

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Hand a run its reply."""
        self._carry(
            self.book.send(
                Command(
                    exchange.id,
                    b'{"t":"IODONE","rid":"%s","b64":"%s"}\n' % (exchange.id.encode(), base64.b64encode(reply)),
                    False,
                )
            )
        )

    def ask(self) -> None:
        """Ask for the gauges; the answer also proves that all before it was read."""
        self._carry(self.book.request_gauges())

    def latest(self, now: float) -> list[float]:
        """The freshest gauges, if fresh enough to mean anything."""
        return self._values if now - self._values_at <= self.limits.max_gauge_age_ms else []

    def move(self, address: Address) -> None:
        """Go on at another address, once the old link was read to its end: nothing is in doubt then."""
        if address == self._address:
            return
        self._address = address
        orders = self.book.move()
        if self._link is not None and any(isinstance(order, RequestMark) for order in orders):
            # Guards against an old kernel that does not answer the last mark.
            gevent.spawn_later(self.limits.engine_move_timeout_ms / 1000.0, self._link.close)
        self._carry(orders)

    def _carry(self, orders: list[LinkEffect]) -> None:
        """Carry out what the book says."""
        for order in orders:
            if isinstance(order, EndRun):
                self.coordinator.counters.add("kernel.given_up")
                self.coordinator.run_ended(order.request_id, RunOutcome.MOOT, 0.0)
            elif self._link is None:
                continue
            elif isinstance(order, WriteCommand):
                if not self._link.put(order.command.line):  # none of it left: nothing can be lost
                    self.book.send_failed(order.command)
                elif order.command.is_start:
                    self._started_here.add(order.command.request_id)
            elif isinstance(order, RequestMark):
                self._link.put(line(t="SYSINFO", mark=order.name))
            elif isinstance(order, SendOpen):
                self._link.put(line(t="OPEN", no=order.last_notice))
            else:
                self._link.close()

    # The link.

    def serve(self) -> None:
        """Keep a link for good."""
        while True:
            began = unix_ms()
            try:
                self._connect()
            except (OSError, ConnectionEndedError) as error:
                if self.coordinator.counters.rare(
                    "kernel.link_ended"
                ):  # a kernel that is down is tried again very often
                    log.info("kernel link", error=str(error))
            except (ValueError, TypeError, OverflowError) as error:  # guards against numbers that are none
                log.error("kernel sent what can't be read", error=str(error)[:200])
                self.coordinator.counters.add("kernel.bad_notice")
            finally:  # whatever ended it: with the book still at this link, the next one would never be greeted
                if self._link is not None:
                    self._link = None
                    self.book.broken()
            # A link that held is replaced at once: runs go on meanwhile, and their notices wait.
            gevent.sleep(max(0.0, began + self.limits.reconnect_ms - unix_ms()) / 1000.0)

    def _connect(self) -> None:
        address = self._address
        sock = connect(address, self.limits.connect_timeout_ms)
        if address != self._address:  # guards against staying at an address that a reload gave up meanwhile
            self.coordinator.counters.add("kernel.moved_meanwhile")
            sock.close()
            raise ConnectionEndedError("moved while it was reached")
        self.coordinator.counters.add("kernel.link")
        self._opened_at = unix_ms()
        self._started_here.clear()
        self._link = link = Outbox(sock, self.limits.max_engine_outbox_bytes, self.limits.send_timeout_ms)
        reader = Reader(sock, self.limits.max_engine_line_bytes)
        tasks = [gevent.spawn(self._watch, link, reader), gevent.spawn(self._settle_doubts)]
        try:
            self._carry(self.book.connected())
            booted = False
            while True:
                notice = self._parse(reader.line())
                if not notice and not self.book.is_synchronized:
                    # Guards against waiting for good for a greeting or mark that was lost in that line.
                    raise ConnectionEndedError("unreadable line before the link was in step")
                if notice.get("t") == "BOOTED" and not booted:
                    booted = True
                    self._boot(notice)
                    self._carry(self.book.booted())
                self._heard = unix_ms()
                number = notice.get("no")
                if not isinstance(number, int):
                    self._unnumbered(notice)
                    continue
                kind = self.book.classify_notice(number)
                if kind == RENUMBERED:
                    self.coordinator.counters.add("kernel.renumbered")
                    self._forget_old_runs()
                    kind = self.book.classify_notice(number)
                if kind == GAP:  # guards against notices lost on the way
                    self.coordinator.counters.add("kernel.gap")
                    raise ConnectionEndedError(f"notice {number} after {self.book.last_notice}")
                if kind == NEXT:  # guards against handling a notice twice
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
        except (ValueError, RecursionError):
            pass
        self.coordinator.counters.add("kernel.bad_notice")
        return {}

    def _watch(self, link: Outbox, reader: Reader) -> None:
        """Guards against a link that is dead without having ended. One whose answers came while this process stood
        still, and are not read yet, is not.
        """
        while True:
            gevent.sleep(self.limits.engine_silence_timeout_ms / 3000.0)
            silent = self.book.pending_marks and unix_ms() - self._heard > self.limits.engine_silence_timeout_ms
            if silent and not reader.waits():
                self.coordinator.counters.add("kernel.silent")
                link.close()

    def _boot(self, notice: dict[str, Any]) -> None:
        age_ms = _finite(notice.get("time_ms", 0.0))
        # Only a kernel younger than all that was heard of it before is a new one. Guards against a pause of this
        # machine or a slow link, which make the same start look late: its age counts from our greeting.
        started = self._opened_at - age_ms
        newest = max(self._heard, (self._booted or 0.0) + self.limits.same_engine_start_ms)
        if self._booted is not None and started > newest:
            self._forget_old_runs()
        self._booted, self.up = unix_ms() - age_ms, True
        log.info("kernel up", status=notice.get("status"))

    def _forget_old_runs(self) -> None:
        """Another kernel. Guards against waiting for runs that died with the one they ran in."""
        log.warning("the kernel started anew")
        for id in self._lost():
            self.coordinator.run_ended(id, RunOutcome.ERROR, 0.0)

    def _lost(self) -> list[str]:
        """All runs of the kernel that is gone. What was kept for a link is sent to the new one."""
        self.book.restarted()
        return [
            id
            for id, exchange in self.coordinator.tracker.requests.items()
            if exchange.state in STARTED
            and not exchange.target
            and id not in self.book.unconfirmed
            and id not in self._started_here
        ]

    def _settle_doubts(self) -> None:
        """Ask for proofs of what a break may have lost, until none of it is in doubt."""
        while True:
            gevent.sleep(self.limits.unconfirmed_check_ms / 1000.0)
            self._carry(self.book.request_doubt_mark())

    def _unnumbered(self, notice: dict[str, Any]) -> None:
        kind = notice.get("t")
        if kind == "INFO":
            self._info(notice)
        elif kind == "EINVAL":
            if self.coordinator.counters.rare("kernel.einval"):
                log.error("command not carried out", command=notice.get("status"), rid=notice.get("rid"))
            if notice.get("status") == "SYSINFO":
                self._carry(self.book.mark_rejected())
            elif notice.get("status") == "SCHED":
                self.book.run_reported(str(notice.get("rid")))
                self._started_here.discard(str(notice.get("rid")))
                # Nothing was started. Guards against clients whose made-up ids would look like failing runs.
                self.coordinator.run_ended(str(notice.get("rid")), RunOutcome.MOOT, 0.0)

    def _numbered(self, notice: dict[str, Any]) -> None:
        kind, rid = notice.get("t"), str(notice.get("rid"))
        try:
            if kind == "REAP":
                self.book.run_reported(rid)
                self._started_here.discard(rid)
                outcome = ENDS[notice["status"]]
                elapsed = max(0.0, _finite(notice.get("time_ms", 0.0)))
                body = base64.b64decode(notice.get("b64", ""), validate=True)
                self.coordinator.counters.add(f"kernel.{notice['status'].lower()}")
                result = Answer(AnswerKind.SERVED, body) if outcome is RunOutcome.OK else None
                if outcome is RunOutcome.MOOT:  # it never ran: a repeat of its key may, so the key is free again
                    result = NEVER_RAN
                self.coordinator.run_ended(rid, outcome, elapsed, result)
            elif kind == "IOREQ":
                self.book.run_reported(rid)
                self.coordinator.call_needed(rid, base64.b64decode(notice.get("b64", ""), validate=True))
        except (KeyError, TypeError, ValueError, OverflowError) as error:  # guards the link against one odd notice
            if self.coordinator.counters.rare("kernel.bad_notice"):
                log.error("notice can't be read", error=f"{type(error).__name__}: {error}"[:200])
            if kind == "REAP":  # it is over all the same, and nobody knows how
                self.coordinator.run_ended(rid, RunOutcome.ERROR, 0.0)

    def _info(self, notice: dict[str, Any]) -> None:
        orders, values = self.book.mark_received(str(notice.get("mark", ""))), notice.get("v")
        if orders is None:
            return
        self._carry(orders)
        if isinstance(values, list):
            self._values, self._values_at = [_finite(value) for value in values], unix_ms()
