"""A client proxy whose requests and answers are written to the record."""

from __future__ import annotations

import os
import time

from thriftpy2.thrift import TMessageType

from myrtlespar.fakes import ThriftClient
from myrtlespar.net.codec.thrift import encode, idl
from review.common.case import Case


class RecordedClient:
    """One connection of a client proxy.

    Attributes:
        thrift: The connection.
        sent_at: By sequence number, when the last byte of the request was written, in seconds of the Unix clock.
    """

    def __init__(self, case: Case, name: str, port: int, peer: int = 1) -> None:
        self.thrift = ThriftClient(port)
        self.sent_at: dict[int, float] = {}
        self._case = case
        self._name = name
        self._peer = peer

    def send(self, method: str, body: bytes, pause_s: float = 0.0, rid: str = "", **fields: str) -> int:
        """Send a request and return its sequence number; `pause_s` passes in the middle of the message."""
        thrift = self.thrift
        thrift.seq += 1
        seq = thrift.seq
        given = {
            "method": method,
            "rid": rid or os.urandom(8).hex(),
            "t0": str(int(time.time() * 1000)),
            "peer": str(self._peer),
            "mem": "20.0",
            "prio": "0.5",
            **fields,
        }
        data = encode("invoke", TMessageType.CALL, seq, idl.Front.invoke_args(fields=given, body=body))
        if pause_s:
            half = len(data) // 2
            thrift.sock.sendall(data[:half])
            self._case.note(f"{self._name}: {half} of {len(data)} bytes of request {seq} are written")
            time.sleep(pause_s)
            data = data[half:]
        thrift.sock.sendall(data)
        self.sent_at[seq] = time.time()
        self._case.note(f"{self._name}: request {seq} is written: {method} {body!r} {given}")
        return seq

    def wait(self, seq: int, timeout_s: float) -> str:
        """Wait for an answer, write it to the record, and return its kind; empty if none came."""
        end = time.monotonic() + timeout_s
        while seq not in self.thrift.answers and time.monotonic() < end and not self.thrift.ended.is_set():
            time.sleep(0.002)
        time.sleep(0.002)
        if seq not in self.thrift.answers:
            self._case.note(f"{self._name}: request {seq} got no answer")
            return ""
        kind, value = self.thrift.answers[seq]
        at = self.thrift.times[seq] / 1000.0
        after_ms = (at - self.sent_at[seq]) * 1000.0
        self._case.note(f"{self._name}: request {seq} was answered {after_ms:.0f} ms after it: {kind} {value}")
        return str(kind)

    def ask_briefly(self, method: str, body: bytes, **fields: str) -> str:
        """Send a request, wait for its answer, write both to the record in one line, and return the answer's kind."""
        kind = str(self.thrift.ask(method, body, **fields)[0])
        self._case.note(f"{self._name}: {method} {body!r} {fields}: {kind}")
        return kind

    def close(self) -> None:
        """Close the connection."""
        self.thrift.sock.close()
