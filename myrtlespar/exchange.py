"""The meeting place of one request's client side and server side."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass


class AnswerKind(enum.Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer. `status` and `headers` are set only by servers whose answers carry them."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0
    last: bool = False
    late: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class Exchange:
    """One request: what it asks for, when it arrived, and where it stands (`attempt.tries.Try`).

    Only the desk moves `state`; it sees to it that `deliver` is called once at the most.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "call_body",
        "class_index",
        "deliver",
        "due_at",
        "front",
        "headers",
        "id",
        "is_retry",
        "key",
        "memory_kb",
        "method",
        "query",
        "rank",
        "route",
        "sender",
        "state",
        "target",
        "uri",
    )

    def __init__(
        self, id: str, front: str, cls: int, body: bytes, arrived: float, deliver: Callable[[Exchange, Answer], None]
    ) -> None:
        self.id, self.front, self.class_index, self.body, self.arrived_at = id, front, cls, body, arrived
        self.deliver = deliver
        self.memory_kb, self.rank, self.sender, self.is_retry = 1.0, 0.0, 0, False
        self.due_at = 0.0  # set by the desk from the class
        self.key = ""  # idempotency key, where the front supplies one
        self.target = ""  # the back end that runs it; empty is the kernel
        self.method, self.uri, self.query, self.route = "POST", "", "", ""
        self.headers: tuple[tuple[str, str], ...] = ()
        self.call_body = b""  # what the run asks of the store at the moment
        self.state = 0
