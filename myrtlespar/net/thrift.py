"""The platform's front: Thrift, framed and strict binary. Thin: it translates and owes answers."""

from __future__ import annotations

import struct
from pathlib import Path
from typing import Any

import gevent
import structlog
import thriftpy2
from gevent import socket
from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TMemoryBuffer

from myrtlespar.config import Config
from myrtlespar.core import Core, unix_ms
from myrtlespar.exchange import Answer, Exchange, Kind
from myrtlespar.net.links import Closed, Outbox, Reader
from myrtlespar.net.listener import Listener

log = structlog.get_logger()
idl: Any = thriftpy2.load(str(Path(__file__).parent / "front.thrift"), module_name="front_thrift")
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7


class BadMessage(Exception):
    """A message that can't be read, or that asks for nothing we know."""


def encode(name: str, kind: int, seq: int, body: Any) -> bytes:
    """A whole frame."""
    buffer = TMemoryBuffer()
    out = TBinaryProtocol(buffer, strict_write=True)
    out.write_message_begin(name, kind, seq)
    out.write_struct(body)
    out.write_message_end()
    data: bytes = buffer.getvalue()
    return struct.pack(">I", len(data)) + data


def decode(frame: bytes) -> tuple[str, int, int, Any]:
    """Name, type, sequence number and, for a known method, its arguments."""
    protocol = TBinaryProtocol(TMemoryBuffer(frame), strict_read=True)
    try:
        name, kind, seq = protocol.read_message_begin()
        shape = getattr(idl.Front, f"{name}_args", None) if name in idl.Front.thrift_services else None
        if shape is None:
            return str(name), kind, seq, None
        args = shape()
        protocol.read_struct(args)
    except Exception as error:  # the library raises errors of many kinds on bytes that are no message
        raise BadMessage(f"{type(error).__name__}: {error}") from None
    return name, kind, seq, args


def _text(fields: dict[Any, Any], name: str) -> str:
    value = fields.get(name, "")
    if not isinstance(value, str):
        raise BadMessage(f"field {name} is no text")
    return value


def _number(fields: dict[Any, Any], name: str, default: float, low: float, high: float) -> float:
    text = _text(fields, name)
    try:
        value = float(text) if text else default
    except ValueError:
        raise BadMessage(f"field {name} is no number") from None
    if not low <= value <= high:
        raise BadMessage(f"field {name} is out of range")
    return value


class ThriftFront(Listener["Link"]):
    """Listens for client proxies."""

    def __init__(self, config: Config, core: Core) -> None:
        self.config, self.limits = config, config.limits
        self.classes = {name: n for n, name in enumerate(config.class_names)}
        self.idle_ms = 0.0
        most = self.limits.connections * 3 // 4 if config.ajp.listen else self.limits.connections
        super().__init__("thrift", config.listen, core, most, lambda sock: Link(self, sock))

    def start(self) -> None:
        """Listen."""
        super().start()
        gevent.spawn(self._close_idle)

    def drain(self) -> None:
        """Ask every client to send nothing new on its open connections."""
        for link in [link for link in self.links if not link.told]:
            link.told = True
            link.outbox.put(encode("shutdown", TMessageType.ONEWAY, 0, idl.Front.ping_args()))

    def _close_idle(self) -> None:
        while True:
            gevent.sleep(self.limits.idle_look_ms / 1000.0)
            now = unix_ms()
            for link in list(self.links):
                if self.idle_ms > 0 and not link.open and now - link.used > self.idle_ms:
                    link.outbox.finish()


class Link:
    """One client's connection."""

    def __init__(self, front: ThriftFront, sock: socket.socket) -> None:
        self.front, self.core = front, front.core
        self.outbox = Outbox(sock, front.limits.outbox_messages, front.limits.send_ms)
        self.reader = Reader(sock, front.limits.frame_bytes)
        self.open: dict[int, Exchange] = {}
        self.used = unix_ms()
        self.told = False  # that nothing new is to be sent here

    def read(self) -> None:
        """Take frames until the connection ends; whoever still waits then is gone."""
        try:
            while True:
                size = struct.unpack(">I", self.reader.exactly(4))[0]
                if not 0 < size <= self.front.limits.frame_bytes:  # guards against a length that fills memory
                    raise BadMessage(f"frame of {size} bytes")
                self._frame(self.reader.exactly(size))
                self.reader.breathe()
        except Closed:
            pass
        except BadMessage as error:
            self.core.counters.add("in.bad_message.thrift")
            log.warning("bad message", error=str(error))
            while self.open and not self.outbox.closed:  # guards answers owed on a link that then turned bad
                gevent.sleep(0.02)
            self.outbox.finish()
            self.outbox.drained(self.front.limits.send_ms / 1000.0)
        self.outbox.close()
        for exchange in list(self.open.values()):
            self.core.gone(exchange)
        self.open.clear()

    def _frame(self, frame: bytes) -> None:
        self.used = unix_ms()
        name, kind, seq, args = decode(frame)
        if kind not in (TMessageType.CALL, TMessageType.ONEWAY):
            raise BadMessage(f"message type {kind}")
        if args is None:
            if kind == TMessageType.CALL:
                self._except(name, seq, UNKNOWN_METHOD, "unknown method")
        elif name == "invoke":
            self._invoke(seq, args)
        elif name == "ping":
            self.core.counters.add("in.check.thrift")
            answer = idl.Answer(body=b"", fields=self._fields(), good=self.core.healthy)
            self.outbox.put(encode("ping", TMessageType.REPLY, seq, idl.Front.ping_result(success=answer)))
        elif (exchange := self.open.pop(args.seqid, None)) is not None:
            self.core.counters.add("in.abort.thrift")
            self.core.gone(exchange)

    def _invoke(self, seq: int, args: Any) -> None:
        if seq in self.open:  # guards against two open requests that no answer could tell apart
            raise BadMessage(f"sequence number {seq} is in use")
        try:
            exchange = self._exchange(seq, args.fields or {}, args.body or b"")
        except BadMessage as error:
            self.core.counters.add("in.bad_request.thrift")
            return self._except("invoke", seq, PROTOCOL_ERROR, str(error))
        if len(self.open) >= self.front.limits.open_requests:
            self.core.counters.add("in.too_many.thrift")
            refusal = idl.Backoff(fields=self._fields({"backoff": "100"}))
            return self._reply(seq, idl.Front.invoke_result(refused=refusal))
        self.open[seq] = exchange
        if not self.core.submit(exchange):
            del self.open[seq]
            self._except("invoke", seq, PROTOCOL_ERROR, "rid is in use")

    def _exchange(self, seq: int, fields: dict[Any, Any], body: Any) -> Exchange:
        body = body.encode() if isinstance(body, str) else body
        cls, rid = self.front.classes.get(_text(fields, "method")), _text(fields, "rid")
        if cls is None:
            raise BadMessage("unknown class in field method")
        if not 0 < len(rid) <= 64 or not rid.isascii() or not rid.isalnum():
            raise BadMessage("field rid is missing or malformed")
        if len(body) > self.front.limits.body_bytes:
            raise BadMessage("body too long")
        now = unix_ms()
        # Guards against a stamp from the future or the far past, which no due time could be counted from.
        arrived = min(now, _number(fields, "t0", now, now - 3.6e6, now + 3.6e6))
        exchange = Exchange(rid, "thrift", cls, body, arrived, lambda done, answer: self._answer(seq, answer))
        exchange.kb = _number(fields, "mem", 20.0, 0.0, 2000.0)
        exchange.rank = _number(fields, "prio", 0.0, 0.0, 1.0)
        exchange.sender = int(_number(fields, "peer", 0, 0, 1e9))
        exchange.again = _text(fields, "again") == "1"
        if self.front.config.thrift_key:
            exchange.key = _text(fields, self.front.config.thrift_key)[:200]
        return exchange

    def _answer(self, seq: int, answer: Answer) -> None:
        self.open.pop(seq, None)
        self.used = unix_ms()
        if answer.kind is Kind.SERVED and len(answer.body) <= self.front.limits.result_bytes:
            result = idl.Front.invoke_result(
                success=idl.Answer(body=answer.body, fields=self._fields(), good=True))
        elif answer.kind is Kind.REFUSED:
            more = {"backoff": str(max(1, round(answer.retry_after_ms)))} if answer.retry_after_ms > 0 else {}
            result = idl.Front.invoke_result(refused=idl.Backoff(
                fields=self._fields(more | ({"final": "1"} if answer.last else {}))))
        else:
            result = idl.Front.invoke_result(failed=idl.Lost(fields=self._fields()))
        self._reply(seq, result)

    def _fields(self, more: dict[str, str] | None = None) -> dict[str, str]:
        return {"hint": f"{self.core.value:.4f}", **(more or {})}

    def _reply(self, seq: int, result: Any) -> None:
        self.outbox.put(encode("invoke", TMessageType.REPLY, seq, result))

    def _except(self, name: str, seq: int, kind: int, text: str) -> None:
        self.outbox.put(encode(name, TMessageType.EXCEPTION, seq, TApplicationException(kind, text)))
