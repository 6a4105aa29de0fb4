"""The Thrift listener for client proxies (framed transport, strict binary protocol).

It translates between messages and requests or answers; the coordinator makes all decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from gevent import socket

from myrtlespar.config import Config
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.codec import thrift as codec
from myrtlespar.net.codec.thrift import MalformedCallError, MalformedMessageError, idl
from myrtlespar.net.listener import Listener
from myrtlespar.net.socket_reader import ConnectionEndedError, PeerFinishedSendingError
from myrtlespar.net.thrift_requests import ThriftRequestReader
from myrtlespar.policy.messages import LoadSignal
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionState

log = structlog.get_logger()
LENGTH_BYTES = 4  # size of the length before each frame
MAX_ERROR_CHARS = 200
TOO_MANY_REQUESTS_BACKOFF_MS = 100
# Bound once, as looking up an enum member takes as long as a step of the state machine.
REQUEST = ConnectionEvent.REQUEST
ANSWERED = ConnectionEvent.ANSWERED
LAST_ANSWERED = ConnectionEvent.LAST_ANSWERED


class ThriftFront(Listener["ThriftConnection"]):
    """Listens for client proxies."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, is_cancelled: Callable[[], bool]) -> None:
        """Bind the address; `is_cancelled` returns whether to stop waiting for it before the timeout.

        Raises:
            AddressInUseError: The address could not be bound in time.
        """
        self.limits = config.limits
        self.hides_advertised_value = config.settings.signal is LoadSignal.NONE
        self.connections_opened = 0
        self.request_reader = ThriftRequestReader(config, coordinator.counters)
        thrift_share = self.limits.max_connections * 3 // 4  # if the AJP listener is configured, it has the rest
        super().__init__(
            "thrift",
            "listen",
            config.listen,
            coordinator,
            thrift_share if config.ajp.listen else self.limits.max_connections,
            lambda sock: ThriftConnection(self, sock),
            is_cancelled,
        )

    def drain(self) -> None:
        """Send `shutdown` once on each connection, which asks the client to send no new requests on it."""
        for connection in [connection for connection in self.connections if not connection.shutdown_sent]:
            connection.shutdown_sent = True
            connection.outbox.put(codec.encode("shutdown", codec.ONEWAY, 0, idl.Front.ping_args()))


class ThriftConnection(ClientConnection):
    """A connection from a client proxy, which carries several requests at a time."""

    def __init__(self, front: ThriftFront, sock: socket.socket) -> None:
        front.connections_opened += 1
        super().__init__(
            f"thrift-{front.connections_opened}",
            sock,
            front.limits,
            front.limits.max_outbox_bytes,
            front.limits.max_frame_bytes,
            front.outbox_budget,
            front.finish_answers,
        )
        self.front = front
        self.coordinator = front.coordinator
        self.shutdown_sent = False
        self._open_requests: dict[int, Exchange] = {}  # key: sequence number

    def has_open_requests(self) -> bool:
        """Return whether a request on the connection is not answered yet."""
        return self.lifecycle.state in (ConnectionState.OWING, ConnectionState.ENDING)

    def read(self) -> None:
        """Handle frames until the connection ends; requests still open then are abandoned."""
        try:
            while self._accepts_requests():
                frame = self._read_frame()
                if not self._accepts_requests():  # the frame arrived while this side was closing
                    self.coordinator.counters.add("in.behind_close.thrift")
                    break
                if self.reader.is_reset():  # nobody waits for the answer
                    self.coordinator.counters.add("in.behind_reset.thrift")
                    break
                rejected_before = self.consecutive_rejected
                self._handle_frame(frame)
                if self.consecutive_rejected == rejected_before:
                    self.consecutive_rejected = 0
                elif self.consecutive_rejected >= self.front.limits.max_consecutive_rejected:
                    raise MalformedMessageError("too many consecutive rejected messages")
                self.reader.yield_if_buffered()
        except PeerFinishedSendingError:  # the client may still read, so all requests received are answered
            if self.has_open_requests():
                self.coordinator.counters.add("in.half_closed.thrift")
            self._stop_reading()
        except ConnectionEndedError:
            pass
        except MalformedMessageError as error:
            self._report_malformed(error)
            self._stop_reading()
        self._close_after_reading()

    def _read_frame(self) -> bytes:
        size = int.from_bytes(self.reader.peek_exactly(LENGTH_BYTES), "big")
        if not 0 < size <= self.front.limits.max_frame_bytes:
            raise MalformedMessageError(f"frame length {size} is zero or over the limit")
        return self.reader.read_exactly(LENGTH_BYTES + size)[LENGTH_BYTES:]

    def _report_malformed(self, error: MalformedMessageError) -> None:
        """Log a malformed message, and answer it with an exception if it is a call.

        There is no answer if an open request has the same sequence number: the client would take the exception for the
        answer to that request.
        """
        if self.coordinator.counters.count_and_sample("in.bad_message.thrift"):
            log.info("malformed message from a client", error=str(error)[:MAX_ERROR_CHARS])
        if isinstance(error, MalformedCallError) and error.sequence_number not in self._open_requests:
            text = str(error)[:MAX_ERROR_CHARS]
            self._send_exception(error.name, error.sequence_number, codec.PROTOCOL_ERROR, text)

    def _handle_frame(self, frame: bytes) -> None:
        self.last_active_at = unix_ms()
        self.messages_read += 1
        message = codec.decode(frame)
        name = message.name
        kind = message.kind
        sequence_number = message.sequence_number
        if kind not in (codec.CALL, codec.ONEWAY):
            raise MalformedMessageError(f"unexpected message type {kind}")
        if message.args is None:
            if kind == codec.CALL:
                self._send_exception(name, sequence_number, codec.UNKNOWN_METHOD, "unknown method")
        elif name == "invoke":
            self._invoke(sequence_number, message)
        elif name == "ping":
            self.coordinator.counters.add("in.check.thrift")
            answer = idl.Answer(body=b"", fields=self._answer_fields(), good=self.coordinator.healthy)
            result = idl.Front.ping_result(success=answer)
            self.outbox.put(codec.encode("ping", codec.REPLY, sequence_number, result))
        else:
            self._abort(message.get(1, codec.I32, 0))

    def _abort(self, sequence_number: int) -> None:
        exchange = self._open_requests.pop(sequence_number, None)
        if exchange is not None:
            self.coordinator.counters.add("in.abort.thrift")
            self._request_answered()
            self.coordinator.caller_gone(exchange)

    def _invoke(self, sequence_number: int, message: codec.ThriftMessage) -> None:
        if sequence_number in self._open_requests:  # answers to the two requests could not be told apart
            raise MalformedMessageError(f"sequence number {sequence_number} belongs to an open request")
        try:
            exchange = self.front.request_reader.read(
                message.get(1, codec.MAP, {}),
                message.get(2, codec.STRING, b""),
                lambda _, answer: self._answer(sequence_number, answer),
            )
        except MalformedMessageError as error:
            self.coordinator.counters.add("in.bad_request.thrift")
            self._send_exception("invoke", sequence_number, codec.PROTOCOL_ERROR, str(error))
            return
        if len(self._open_requests) >= self.front.limits.max_open_requests:
            self.coordinator.counters.add("in.too_many.thrift")
            self.consecutive_rejected += 1
            self._send_result(sequence_number, self._too_many_requests(exchange))
            return
        self._open_requests[sequence_number] = exchange
        self._handle_event(REQUEST)
        if not self.coordinator.submit(exchange):
            del self._open_requests[sequence_number]
            self._send_exception("invoke", sequence_number, codec.PROTOCOL_ERROR, "rid is in use")
            self._request_answered()

    def _too_many_requests(self, exchange: Exchange) -> Any:
        """Return the answer to a request beyond the limit: a rejection, or a failure if it is a repeat.

        The repeat of a request that has run must not be rejected, as the client would run it on another server.
        """
        if exchange.key and exchange.may_have_run:
            return idl.Front.invoke_result(failed=idl.Lost(fields=self._answer_fields()))
        fields = self._answer_fields({"backoff": str(TOO_MANY_REQUESTS_BACKOFF_MS)})
        return idl.Front.invoke_result(refused=idl.Backoff(fields=fields))

    def _abandon_requests(self) -> None:
        for exchange in list(self._open_requests.values()):
            self.coordinator.caller_gone(exchange)
        self._open_requests.clear()

    def _request_answered(self) -> None:
        """Report to the state machine that a request was answered or aborted."""
        self._handle_event(ANSWERED if self._open_requests else LAST_ANSWERED)

    def _answer(self, sequence_number: int, answer: Answer) -> None:
        self.last_active_at = unix_ms()
        if answer.kind is AnswerKind.SERVED and len(answer.body) <= self.front.limits.max_result_bytes:
            success = idl.Answer(body=answer.body, fields=self._answer_fields(), good=True)
            result = idl.Front.invoke_result(success=success)
        elif answer.kind is AnswerKind.REFUSED:
            fields = {}
            if answer.retry_after_ms > 0:
                fields["backoff"] = str(max(1, round(answer.retry_after_ms)))
            if answer.last:
                fields["final"] = "1"
            result = idl.Front.invoke_result(refused=idl.Backoff(fields=self._answer_fields(fields)))
        else:
            result = idl.Front.invoke_result(failed=idl.Lost(fields=self._answer_fields()))
        self._send_result(sequence_number, result)
        if self._open_requests.pop(sequence_number, None) is not None:
            self._request_answered()

    def _answer_fields(self, extra_fields: dict[str, str] | None = None) -> dict[str, str]:
        """Return the fields of an answer: `extra_fields`, and the advertised value unless the settings disable it."""
        if self.front.hides_advertised_value:
            return extra_fields or {}
        return {"hint": f"{self.coordinator.advertised_value:.4f}", **(extra_fields or {})}

    def _send_result(self, sequence_number: int, result: Any) -> None:
        self.outbox.put(codec.encode("invoke", codec.REPLY, sequence_number, result))

    def _send_exception(self, name: str, sequence_number: int, kind: int, text: str) -> None:
        self.consecutive_rejected += 1
        self.outbox.put(codec.encode_exception(name, sequence_number, kind, text))
