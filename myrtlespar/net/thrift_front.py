"""The platform's front: Thrift, framed and strict binary. Thin: it translates and owes answers."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import structlog
from gevent import socket

from myrtlespar.config import Config
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.codec import thrift as wire
from myrtlespar.net.codec.thrift import PROTOCOL_ERROR, UNKNOWN_METHOD, MalformedCallError, MalformedMessageError, idl
from myrtlespar.net.connections import ConnectionEndedError, PeerFinishedSendingError, ReadingStoppedError
from myrtlespar.net.listener import Listener
from myrtlespar.policy.messages import Effect, Signal
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms, wall_ms
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionState

log = structlog.get_logger()
TOKEN, KEY_CHARS = "token", 200  # the field that the tries of one guarded request share
# Bound once: looking a member up in its class costs as much as a step of a table.
REQUEST, ANSWERED, LAST_ANSWERED = ConnectionEvent.REQUEST, ConnectionEvent.ANSWERED, ConnectionEvent.LAST_ANSWERED


def _text(fields: dict[bytes, Any], name: str) -> str:
    value = fields.get(name.encode(), b"")
    try:
        return str(value, "utf-8")  # classes are named as in the settings, in any language
    except (TypeError, UnicodeDecodeError):
        raise MalformedMessageError(f"field {name} is no text") from None


def _number(fields: dict[bytes, Any], name: str, default: float, low: float, high: float) -> float:
    text = _text(fields, name)
    try:
        value = float(text) if text else default
    except ValueError:
        raise MalformedMessageError(f"field {name} is no number") from None
    if not low <= value <= high:
        raise MalformedMessageError(f"field {name} is out of range")
    return value


class ThriftFront(Listener["ThriftConnection"]):
    """Listens for client proxies."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, give_up: Callable[[], bool]) -> None:
        self.config, self.limits = config, config.limits
        self.silent = config.settings.signal is Signal.NONE
        self.serial = 0  # of the connections
        self.classes = {name: n for n, name in enumerate(config.class_names)}
        most = self.limits.max_connections * 3 // 4 if config.ajp.listen else self.limits.max_connections
        super().__init__(
            "thrift", "listen", config.listen, coordinator, most, lambda sock: ThriftConnection(self, sock), give_up
        )

    def drain(self) -> None:
        """Ask every client to send nothing new on its open connections."""
        for link in [link for link in self.links if not link.told]:
            link.told = True
            link.outbox.put(wire.encode("shutdown", wire.ONEWAY, 0, idl.Front.ping_args()))


class ThriftConnection(ClientConnection):
    """One client's connection."""

    def __init__(self, front: ThriftFront, sock: socket.socket) -> None:
        front.serial += 1
        super().__init__(
            f"thrift-{front.serial}",
            sock,
            front.limits,
            front.limits.max_outbox_bytes,
            front.limits.max_frame_bytes,
            front.unsent,
            front.conclude,
        )
        self.front, self.coordinator, self.config = front, front.coordinator, front.config
        self.open: dict[int, Exchange] = {}
        self.told = False  # that nothing new is to be sent here

    def owes(self) -> bool:
        """Whether a request on it is not answered yet."""
        return self.conn.state in (ConnectionState.OWING, ConnectionState.ENDING)

    def _abandon(self) -> None:
        for exchange in list(self.open.values()):
            self.coordinator.caller_gone(exchange)
        self.open.clear()

    def _answered(self) -> None:
        """One request less is open."""
        self._be(ANSWERED if self.open else LAST_ANSWERED)

    def read(self) -> None:
        """Take frames until the connection ends; whoever still waits then is gone."""
        try:
            while self._takes():
                size = int.from_bytes(self.reader.exactly(4), "big")
                if not 0 < size <= self.front.limits.max_frame_bytes:  # guards against a length that fills memory
                    raise MalformedMessageError(f"frame of {size} bytes")
                frame, before = self.reader.exactly(size), self.bad
                if not self._takes():  # it came while we closed, and could still be read
                    self.coordinator.counters.add("in.behind_close.thrift")
                    break
                self._frame(frame)
                if self.bad == before:
                    self.bad = 0
                elif self.bad >= self.front.limits.max_consecutive_rejected:  # guards the core's time against a flood
                    raise MalformedMessageError("too many messages that could not be taken")
                self.reader.breathe()
        except PeerFinishedSendingError:  # guards clients that close one direction: all that was read is still answered
            if self.owes():
                self.coordinator.counters.add("in.half_closed.thrift")
            self._be(ConnectionEvent.SPOILT)
            self._conclude(self)
        except ConnectionEndedError:
            pass
        except (MalformedMessageError, ReadingStoppedError) as error:
            if self.coordinator.counters.rare("in.bad_message.thrift"):
                log.info("client's message can't be read", error=str(error)[:200])
            # Only a call that stands alone under its number is answered: without one, or beside an open request of
            # that number, an exception would be an answer to what nobody asked, or a second one.
            if isinstance(error, MalformedCallError) and error.seq not in self.open:
                self._except(error.name, error.seq, PROTOCOL_ERROR, str(error)[:200])
            self._be(ConnectionEvent.SPOILT)
            self._conclude(self)
        self._leave()

    def _frame(self, frame: bytes) -> None:
        self.used = unix_ms()
        self.messages += 1
        message = wire.decode(frame)
        name, kind, seq = message.name, message.kind, message.seq
        if kind not in (wire.CALL, wire.ONEWAY):
            raise MalformedMessageError(f"message type {kind}")
        if message.args is None:
            if kind == wire.CALL:
                self._except(name, seq, UNKNOWN_METHOD, "unknown method")
        elif name == "invoke":
            self._invoke(seq, message)
        elif name == "ping":
            self.coordinator.counters.add("in.check.thrift")
            answer = idl.Answer(body=b"", fields=self._fields(), good=self.coordinator.healthy)
            self.outbox.put(wire.encode("ping", wire.REPLY, seq, idl.Front.ping_result(success=answer)))
        elif (exchange := self.open.pop(message.get(1, wire.I32, 0), None)) is not None:
            self.coordinator.counters.add("in.abort.thrift")
            self._answered()
            self.coordinator.caller_gone(exchange)

    def _invoke(self, seq: int, message: wire.ThriftMessage) -> None:
        if seq in self.open:  # guards against two open requests that no answer could tell apart
            raise MalformedMessageError(f"sequence number {seq} is in use")
        try:
            exchange = self._exchange(seq, message.get(1, wire.MAP, {}), message.get(2, wire.STRING, b""))
        except MalformedMessageError as error:
            self.coordinator.counters.add("in.bad_request.thrift")
            return self._except("invoke", seq, PROTOCOL_ERROR, str(error))
        if len(self.open) >= self.front.limits.max_open_requests:
            self.coordinator.counters.add("in.too_many.thrift")
            self.bad += 1
            refusal = idl.Backoff(fields=self._fields({"backoff": "100"}))
            return self._reply(seq, idl.Front.invoke_result(refused=refusal))
        self.open[seq] = exchange
        self._be(REQUEST)
        if not self.coordinator.submit(exchange):
            del self.open[seq]
            self._except("invoke", seq, PROTOCOL_ERROR, "rid is in use")
            self._answered()
            return None
        return None

    def _exchange(self, seq: int, fields: dict[bytes, Any], body: bytes) -> Exchange:
        cls, rid = self.front.classes.get(_text(fields, "method")), _text(fields, "rid")
        if cls is None:
            raise MalformedMessageError("unknown class in field method")
        if not 0 < len(rid) <= 64 or not rid.isascii() or not rid.isalnum():
            raise MalformedMessageError("field rid is missing or malformed")
        if len(body) > self.front.limits.max_body_bytes:
            raise MalformedMessageError("body too long")
        now, wall = unix_ms(), wall_ms()
        # Guards against a stamp from the future or the far past, which no due time could be counted from.
        arrived = now - max(0.0, wall - _number(fields, "t0", wall, wall - 3.6e6, wall + 3.6e6))
        exchange = Exchange(rid, "thrift", cls, body, arrived, lambda done, answer: self._answer(seq, answer))
        exchange.memory_kb = _number(fields, "mem", 20.0, 0.0, 2000.0)
        exchange.rank = _number(fields, "prio", 0.0, 0.0, 1.0)
        exchange.sender = int(_number(fields, "peer", 0, 0, 1e9))
        exchange.is_retry = _text(fields, "again") == "1"
        exchange.key = self._key(fields, cls, exchange)
        return exchange

    def _key(self, fields: dict[bytes, Any], cls: int, exchange: Exchange) -> str:
        """What links the tries of one request: the platform's token, or an operator's field."""
        if self.config.settings.classes[cls].effect is not Effect.KEYED:
            return _text(fields, self.config.thrift_key)[:KEY_CHARS] if self.config.thrift_key else ""
        token = _text(fields, TOKEN)
        if len(token) > KEY_CHARS:  # cut short, two of them could be one
            raise MalformedMessageError(f"field {TOKEN} is too long")
        if not token:
            if exchange.is_retry:  # guards against a second run of what an earlier try ran here
                self.coordinator.counters.add("in.no_token.thrift")
                raise MalformedMessageError(f"field {TOKEN} is missing in a further try")
            return ""
        # Guards a result, and the request itself, against others who have its token: what asks for something else
        # is another request.
        return f"{token} {blake2b(exchange.body, digest_size=8).hexdigest()}"

    def _answer(self, seq: int, answer: Answer) -> None:
        self.used = unix_ms()
        if answer.kind is AnswerKind.SERVED and len(answer.body) <= self.front.limits.max_result_bytes:
            result = idl.Front.invoke_result(success=idl.Answer(body=answer.body, fields=self._fields(), good=True))
        elif answer.kind is AnswerKind.REFUSED:
            more = {"backoff": str(max(1, round(answer.retry_after_ms)))} if answer.retry_after_ms > 0 else {}
            result = idl.Front.invoke_result(
                refused=idl.Backoff(fields=self._fields(more | ({"final": "1"} if answer.last else {})))
            )
        else:
            result = idl.Front.invoke_result(failed=idl.Lost(fields=self._fields()))
        self._reply(seq, result)
        if self.open.pop(seq, None) is not None:
            self._answered()

    def _fields(self, more: dict[str, str] | None = None) -> dict[str, str]:
        if self.front.silent:  # the settings know no free value
            return more or {}
        return {"hint": f"{self.coordinator.advertised_value:.4f}", **(more or {})}

    def _reply(self, seq: int, result: Any) -> None:
        self.outbox.put(wire.encode("invoke", wire.REPLY, seq, result))

    def _except(self, name: str, seq: int, kind: int, text: str) -> None:
        self.bad += 1
        self.outbox.put(wire.exception(name, seq, kind, text))
