"""A client for the management address of a member, which operators use too."""

from __future__ import annotations

import contextlib
import json
import socket
from typing import Any

CHUNK_BYTES = 65536


def ask(address: tuple[str, int], command: bytes, timeout_s: float = 3.0) -> str:
    """Send a command as one line and return the complete answer, or '' if none arrives within `timeout_s`."""
    data = b""
    with contextlib.suppress(OSError), socket.create_connection(address, timeout=timeout_s) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(command + b"\n")
        while chunk := sock.recv(CHUNK_BYTES):
            data += chunk
    return data.decode()


def ask_json(address: tuple[str, int], command: bytes) -> dict[str, Any] | None:
    """Send a command that is answered by a JSON object and return the object, or None if no such answer arrives."""
    lines = ask(address, command).split("\n")
    if len(lines) <= 2 or lines[0] != "done":
        return None
    row: dict[str, Any] = json.loads(lines[1])
    return row
