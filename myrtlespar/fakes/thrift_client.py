"""A fake client proxy that speaks the protocol of the Thrift front."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading
import time
from collections import Counter
from typing import Any

from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import TMemoryBuffer

from myrtlespar.fakes.tcp_server import WAIT_S, read_exactly, until
from myrtlespar.net.codec.thrift import encode, idl


class ThriftClient:
    """A client proxy with one connection; a thread reads all answers.

    Attributes:
        seq: The latest sequence number used.
        count: The number of answers by sequence number.
        answers: Kind and value of the latest answer by sequence number.
        times: The time at which the latest answer was read, in Unix ms, by sequence number.
        one_way_messages: The names of the one-way messages received, in order.
        ended: Set once the connection has ended.
    """

    def __init__(self, port: int, host: str = "127.0.0.1", wait_s: float = WAIT_S) -> None:
        self.sock = socket.create_connection((host, port), wait_s)
        self.sock.settimeout(WAIT_S)
        self.seq = 0
        self.count: Counter[int] = Counter()
        self.answers: dict[int, tuple[str, Any]] = {}
        self.times: dict[int, float] = {}
        self.one_way_messages: list[str] = []
        self.ended = threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                frame = read_exactly(self.sock, struct.unpack(">I", read_exactly(self.sock, 4))[0])
                protocol = TBinaryProtocol(TMemoryBuffer(frame), strict_read=True)
                name, kind, seq = protocol.read_message_begin()
                if kind == TMessageType.ONEWAY:
                    self.one_way_messages.append(name)
                    continue
                if kind == TMessageType.EXCEPTION:
                    answer: tuple[str, Any] = ("exception", None)
                else:
                    result = getattr(idl.Front, f"{name}_result")()
                    protocol.read_struct(result)
                    answer = next(
                        (kind, value)
                        for kind in ("success", "refused", "failed")
                        if (value := getattr(result, kind, None)) is not None
                    )
                self.count[seq] += 1
                self.times[seq] = time.time() * 1000
                self.answers[seq] = answer
        self.ended.set()

    def send(self, method: str, body: bytes = b"", **fields: str) -> int:
        """Send a request and return its sequence number. `fields` override fields of the envelope."""
        self.sock.sendall(self.encode_request(method, body, **fields))
        return self.seq

    def encode_request(self, method: str, body: bytes = b"", **fields: str) -> bytes:
        """Return the bytes of a request with the next sequence number, as `send` sends them."""
        self.seq += 1
        given = {
            "method": method,
            "rid": os.urandom(8).hex(),
            "t0": str(int(time.time() * 1000)),
            "peer": "1",
            "mem": "20.0",
            "prio": "0.5",
            **fields,
        }
        args = idl.Front.invoke_args(fields=given, body=body)
        return encode("invoke", TMessageType.CALL, self.seq, args)

    def send_message(self, name: str, **args: Any) -> int:
        """Send a message of the protocol other than a request, and return its sequence number."""
        self.seq += 1
        kind = TMessageType.ONEWAY if name == "abort" else TMessageType.CALL
        self.sock.sendall(encode(name, kind, self.seq, getattr(idl.Front, f"{name}_args")(**args)))
        return self.seq

    def answer(self, seq: int) -> tuple[str, Any]:
        """Wait for the answer to the request with this sequence number, and return its kind and value."""
        found: tuple[str, Any] = until(lambda: self.answers.get(seq), f"answer {seq}")
        return found

    def ask(self, method: str, body: bytes = b"", **fields: str) -> tuple[str, Any]:
        """Send a request, wait for the answer, and return its kind and value."""
        return self.answer(self.send(method, body, **fields))
