"""Asks a member's management address, as operators do."""

from __future__ import annotations

import contextlib
import json
import socket
from typing import Any

CHUNK_BYTES = 65536


def ask(address: tuple[str, int], word: bytes, timeout_s: float = 3.0) -> str:
    """Send one line; the complete answer, '' if there is none."""
    data = b""
    with contextlib.suppress(OSError), socket.create_connection(address, timeout=timeout_s) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(word + b"\n")
        while chunk := sock.recv(CHUNK_BYTES):
            data += chunk
    return data.decode()


def ask_row(address: tuple[str, int], word: bytes) -> dict[str, Any] | None:
    """The same for a command whose answer is a line of JSON; None if there is no such answer."""
    lines = ask(address, word).split("\n")
    if len(lines) <= 2 or lines[0] != "done":
        return None
    row: dict[str, Any] = json.loads(lines[1])
    return row
