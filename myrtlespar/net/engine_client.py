"""Client of the execution engine: sends commands and reads notices over one link, which it reconnects when it breaks.

`CommandLog` decides which commands are sent again: only those where a second run would do no harm. A run that the
engine lost is ended by `_fail_lost_runs` or an `EndRun` effect.
"""

from __future__ import annotations

from typing import Any

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.codec import engine as codec
from myrtlespar.net.connections import connect
from myrtlespar.net.outbox import Outbox
from myrtlespar.net.socket_reader import ConnectionEndedError, SocketReader
from myrtlespar.policy.messages import Effect, RunOutcome
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.attempts import STARTED
from myrtlespar.state_machines.command_log import (
    GAP,
    NEXT,
    RENUMBERED,
    Command,
    CommandLog,
    EndRun,
    LinkEffect,
    RefuseStart,
    RequestMark,
    SendOpen,
    WriteCommand,
)
from myrtlespar.state_machines.request_effects import NEVER_RAN
from myrtlespar.state_machines.silence_watch import SilenceWatch

log = structlog.get_logger()
MAX_LOGGED_ERROR_CHARS = 200
SILENCE_CHECKS_PER_TIMEOUT = 3


class EngineClient:
    """Runs requests on the execution engine and reads its gauges.

    Attributes:
        has_been_up: Whether the engine was up at least once; stays true after it is lost.
    """

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        self.has_been_up = False
        self._coordinator = coordinator
        self._limits = config.limits
        self._classes = config.settings.classes
        self._class_names = [codec.encode_class_name(name) for name in config.class_names]
        self._address = config.kernel
        self._commands = CommandLog(
            coordinator.tracker.is_wanted,
            config.limits.max_pending_engine_marks,
            lambda request_id: coordinator.confirm_start(request_id),
        )
        self._link: Outbox | None = None
        self._connected_at = 0.0  # when the current link was connected, in Unix milliseconds
        self._last_notice_at = 0.0  # in Unix milliseconds
        self._engine_started_at: float | None = None  # in Unix milliseconds; None before the first greeting
        self._started_on_link: set[str] = set()  # runs started on the current link that have not ended
        self._gauges: list[float] = []
        self._gauges_at = 0.0  # when the gauges were received, in Unix milliseconds

    # Called by the coordinator.

    def run(self, exchange: Exchange) -> None:
        """Start a request."""
        line = codec.encode_start(exchange.id, self._class_names[exchange.class_index], exchange.body)
        is_idempotent = self._classes[exchange.class_index].effect is Effect.SAFE
        self._carry_out(self._commands.send(Command(exchange.id, line, True, is_idempotent)))

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Pass a run the reply to its call to the dependency."""
        self._carry_out(self._commands.send(Command(exchange.id, codec.encode_call_reply(exchange.id, reply), False)))

    def request_gauges(self) -> None:
        """Request the gauges; the answer also proves that the engine read all commands before the request."""
        self._carry_out(self._commands.request_gauges())

    def latest(self, now: float) -> list[float]:
        """Return the latest gauges, or an empty list if they are older than `max_gauge_age_ms`."""
        return self._gauges if now - self._gauges_at <= self._limits.max_gauge_age_ms else []

    def move(self, address: Address) -> None:
        """Connect to another address after a reload.

        The old link is closed once the engine confirmed all commands on it, or after `engine_move_timeout_ms`.
        """
        if address == self._address:
            return
        self._address = address
        effects = self._commands.move()
        if self._link is not None and any(isinstance(effect, RequestMark) for effect in effects):
            # The old engine may never answer the last mark.
            gevent.spawn_later(self._limits.engine_move_timeout_ms / 1000.0, self._link.close)
        self._carry_out(effects)

    def _carry_out(self, effects: list[LinkEffect]) -> None:
        for effect in effects:
            if isinstance(effect, EndRun):
                self._coordinator.counters.add("kernel.given_up")
                self._coordinator.run_ended(effect.request_id, RunOutcome.MOOT, 0.0)
            elif isinstance(effect, RefuseStart):
                self._coordinator.start_refused(effect.request_id)
            elif self._link is None:
                continue
            elif isinstance(effect, WriteCommand):
                if not self._link.put(effect.command.line):
                    # No byte was sent, so the engine can't have read the command, and sending it again is safe.
                    self._commands.send_failed(effect.command)
                elif effect.command.is_start:
                    self._started_on_link.add(effect.command.request_id)
            elif isinstance(effect, RequestMark):
                self._link.put(codec.encode_gauges_request(effect.name))
            elif isinstance(effect, SendOpen):
                self._link.put(codec.encode_open(effect.last_notice))
            else:
                self._link.close()

    # The link to the engine.

    def serve(self) -> None:
        """Connect to the engine, and reconnect whenever the link ends; never return."""
        counters = self._coordinator.counters
        while True:
            started_at = unix_ms()
            try:
                self._connect()
            except (OSError, ConnectionEndedError) as error:
                if counters.count_and_sample("kernel.link_ended"):  # sampled: an engine that is down is retried often
                    log.info("engine link ended", error=str(error))
            except (ValueError, TypeError, OverflowError) as error:  # malformed number in a notice
                log.error("malformed notice from the engine; reconnecting", error=str(error)[:MAX_LOGGED_ERROR_CHARS])
                counters.add("kernel.bad_notice")
            finally:
                # Also after an unexpected exception: `CommandLog` accepts a new link only after `broken`.
                if self._link is not None:
                    self._link = None
                    self._commands.broken()
            # The delay counts from the last attempt: a link that lasted longer is replaced at once, as runs go on
            # without a link and their notices wait.
            gevent.sleep(max(0.0, started_at + self._limits.reconnect_ms - unix_ms()) / 1000.0)

    def _connect(self) -> None:
        """Open a link and read notices until it ends."""
        address = self._address
        sock = connect(address, self._limits.connect_timeout_ms)
        if address != self._address:  # changed by a reload while connecting
            self._coordinator.counters.add("kernel.moved_meanwhile")
            sock.close()
            raise ConnectionEndedError("the address was changed while connecting to it")
        self._coordinator.counters.add("kernel.link")
        self._connected_at = unix_ms()
        self._started_on_link.clear()
        self._link = link = Outbox(sock, self._limits.max_engine_outbox_bytes, self._limits.send_timeout_ms)
        reader = SocketReader(sock, self._limits.max_engine_line_bytes)
        tasks = [gevent.spawn(self._close_if_silent, link, reader), gevent.spawn(self._check_unconfirmed)]
        try:
            self._carry_out(self._commands.connected())
            self._read_notices(reader)
        finally:
            link.close()
            sock.close()
            gevent.killall(tasks, block=False)

    def _read_notices(self, reader: SocketReader) -> None:
        """Handle notices until the link ends.

        Raises:
            ConnectionEndedError: The link ended, or has to be replaced because a notice was lost on it.
        """
        greeted = False
        while True:
            notice = codec.decode_notice(reader.read_line())
            if notice is None:  # malformed; if the line was a numbered notice, the next number shows the gap
                self._coordinator.counters.add("kernel.bad_notice")
                notice = {}
            if not notice and not self._commands.is_synchronized:
                # The line may have been the greeting or the mark that the link waits for.
                raise ConnectionEndedError("malformed line before the link was synchronized")
            if notice.get("t") == codec.ENGINE_STARTED and not greeted:
                greeted = True
                self._handle_greeting(notice)
                self._carry_out(self._commands.booted())
            self._last_notice_at = unix_ms()
            number = notice.get("no")
            if isinstance(number, int):
                self._handle_unless_duplicate(number, notice)
            else:
                self._handle_unnumbered(notice)

    def _handle_unless_duplicate(self, number: int, notice: dict[str, Any]) -> None:
        """Handle a numbered notice unless it is a duplicate.

        Raises:
            ConnectionEndedError: Notices before it are missing; the next link requests them again.
        """
        position = self._commands.classify_notice(number)
        if position == RENUMBERED:
            self._coordinator.counters.add("kernel.renumbered")
            self._fail_lost_runs()
            position = self._commands.classify_notice(number)
        if position == GAP:
            self._coordinator.counters.add("kernel.gap")
            raise ConnectionEndedError(f"notice {number} came after notice {self._commands.last_notice}")
        if position == NEXT:
            self._handle_numbered(notice)

    def _close_if_silent(self, link: Outbox, reader: SocketReader) -> None:
        """Close the link when the engine has not answered a mark for too long.

        Pauses of this process do not count, and the link is kept while answers wait in the socket: on a working link
        that is closed by mistake every run becomes unconfirmed, and orders may fail.
        """
        period_ms = self._limits.engine_silence_timeout_ms / SILENCE_CHECKS_PER_TIMEOUT
        watch = SilenceWatch(self._limits.engine_silence_timeout_ms, period_ms)
        while True:
            gevent.sleep(period_ms / 1000.0)
            silent = watch.check(unix_ms(), self._commands.oldest_mark, self._last_notice_at)
            if silent and not reader.is_readable():
                self._coordinator.counters.add("kernel.silent")
                log.warning("kernel silent", mark=self._commands.oldest_mark, heard_at=self._last_notice_at)
                link.close()

    def _check_unconfirmed(self) -> None:
        """Periodically request a mark while commands are in doubt; its answer shows which ones a broken link lost."""
        while True:
            gevent.sleep(self._limits.unconfirmed_check_ms / 1000.0)
            self._carry_out(self._commands.request_doubt_mark())

    # Handling of notices.

    def _handle_greeting(self, notice: dict[str, Any]) -> None:
        """Determine from the engine's age in the greeting whether it was restarted.

        The engine was restarted if it started after the last notice was read, and more than `same_engine_start_ms`
        after the start that is known from the last greeting. The start is computed from the time of the connection:
        computed from the time of the greeting, the same start would seem later after a pause of this machine or over a
        slow link.
        """
        age_ms = codec.finite_number(notice.get("time_ms", 0.0))
        started_at = self._connected_at - age_ms
        known_start = (self._engine_started_at or 0.0) + self._limits.same_engine_start_ms
        if self._engine_started_at is not None and started_at > max(self._last_notice_at, known_start):
            self._fail_lost_runs()
        self._engine_started_at = unix_ms() - age_ms
        self.has_been_up = True
        log.info("kernel up", status=notice.get("status"))

    def _fail_lost_runs(self) -> None:
        """Fail the runs of an engine that was restarted, as nothing will report their end."""
        log.warning("the kernel started anew")
        self._commands.restarted()  # queued starts are sent to the new engine
        lost = [
            request_id
            for request_id, exchange in self._coordinator.tracker.requests.items()
            if exchange.state in STARTED
            and not exchange.target
            and request_id not in self._commands.unconfirmed
            and request_id not in self._started_on_link
        ]
        for request_id in lost:
            self._coordinator.run_ended(request_id, RunOutcome.ERROR, 0.0)

    def _handle_unnumbered(self, notice: dict[str, Any]) -> None:
        kind = notice.get("t")
        if kind == codec.GAUGES:
            self._handle_gauges(notice)
        elif kind == codec.COMMAND_REJECTED:
            self._handle_rejection(notice.get("status"), str(notice.get("rid")), notice)

    def _handle_rejection(self, command: Any, request_id: str, notice: dict[str, Any]) -> None:
        if self._coordinator.counters.count_and_sample("kernel.einval"):
            log.error("engine rejected a command", command=command, rid=notice.get("rid"))
        if command == codec.GAUGES_COMMAND:
            self._carry_out(self._commands.mark_rejected())
        elif command == codec.START_COMMAND:
            self._commands.run_reported(request_id)
            self._started_on_link.discard(request_id)
            # MOOT, not ERROR, as nothing was started. If it counted as a failed run, a client with made-up ids could
            # make the policy reject the requests of others.
            self._coordinator.run_ended(request_id, RunOutcome.MOOT, 0.0)

    def _handle_numbered(self, notice: dict[str, Any]) -> None:
        kind = notice.get("t")
        request_id = str(notice.get("rid"))
        try:
            if kind == codec.RUN_ENDED:
                self._commands.run_reported(request_id)
                self._started_on_link.discard(request_id)
                self._handle_run_end(request_id, codec.decode_run_end(notice))
            elif kind == codec.CALL_NEEDED:
                self._commands.run_reported(request_id)
                self._coordinator.call_needed(request_id, codec.decode_body(notice))
        except codec.MALFORMED_NOTICE_ERRORS as error:  # one malformed notice does not end the link
            if self._coordinator.counters.count_and_sample("kernel.bad_notice"):
                log.error(
                    "malformed notice from the engine",
                    error=f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR_CHARS],
                )
            if kind == codec.RUN_ENDED:  # the run has ended, its outcome is not known
                self._coordinator.run_ended(request_id, RunOutcome.ERROR, 0.0)

    def _handle_run_end(self, request_id: str, end: codec.RunEnd) -> None:
        self._coordinator.counters.add(f"kernel.{end.status.lower()}")
        answer = Answer(AnswerKind.SERVED, end.result) if end.outcome is RunOutcome.OK else None
        if end.outcome is RunOutcome.MOOT:  # it never ran, so a retry with its idempotency key may run
            answer = NEVER_RAN
        self._coordinator.run_ended(request_id, end.outcome, end.elapsed_ms, answer)

    def _handle_gauges(self, notice: dict[str, Any]) -> None:
        effects = self._commands.mark_received(str(notice.get("mark", "")))
        if effects is None:
            return
        values = notice.get("v")
        self._carry_out(effects)
        if isinstance(values, list):
            self._gauges = [codec.finite_number(value) for value in values]
            self._gauges_at = unix_ms()
