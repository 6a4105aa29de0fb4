"""A Thrift client proxy."""

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

from myrtlespar.fakes.tcp_server import WAIT_S, exactly, until
from myrtlespar.net.codec.thrift import encode, idl


class ThriftClient:
    """A Thrift client proxy on one connection."""

    def __init__(self, port: int, host: str = "127.0.0.1", wait_s: float = WAIT_S) -> None:
        self.sock = socket.create_connection((host, port), wait_s)
        self.sock.settimeout(WAIT_S)
        self.seq = 0
        self.count: Counter[int] = Counter()  # answers by sequence number
        self.answers: dict[int, tuple[str, Any]] = {}
        self.times: dict[int, float] = {}
        self.told: list[str] = []
        self.ended = threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                frame = exactly(self.sock, struct.unpack(">I", exactly(self.sock, 4))[0])
                protocol = TBinaryProtocol(TMemoryBuffer(frame), strict_read=True)
                name, kind, seq = protocol.read_message_begin()
                if kind == TMessageType.ONEWAY:
                    self.told.append(name)
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
        """A request; returns its sequence number."""
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
        self.sock.sendall(encode("invoke", TMessageType.CALL, self.seq, args))
        return self.seq

    def say(self, name: str, **args: Any) -> int:
        """Any other message."""
        self.seq += 1
        kind = TMessageType.ONEWAY if name == "abort" else TMessageType.CALL
        self.sock.sendall(encode(name, kind, self.seq, getattr(idl.Front, f"{name}_args")(**args)))
        return self.seq

    def answer(self, seq: int) -> tuple[str, Any]:
        """The answer to that request, once there."""
        found: tuple[str, Any] = until(lambda: self.answers.get(seq), f"answer {seq}")
        return found

    def ask(self, method: str, body: bytes = b"", **fields: str) -> tuple[str, Any]:
        """A request and its answer."""
        return self.answer(self.send(method, body, **fields))
