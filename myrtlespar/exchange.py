"""One request between its client side and its server side, and its final answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass


class AnswerKind(enum.Enum):
    """The three kinds of final answers."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer. `status` and `headers` are set only by back ends whose answers have them."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0
    last: bool = False  # a final rejection: the client should not retry elsewhere
    late: bool = False  # a failure because the due time passed
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class Exchange:
    """One attempt of a request: what it asks for, when it arrived, and its `AttemptState`.

    Only the request tracker changes `state`. It ensures that `deliver` is called at most once. Times are Unix
    milliseconds.
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
        self,
        id: str,
        front: str,
        class_index: int,
        body: bytes,
        arrived_at: float,
        deliver: Callable[[Exchange, Answer], None],
    ) -> None:
        self.id = id
        self.front = front
        self.class_index = class_index
        self.body = body
        self.arrived_at = arrived_at
        self.deliver = deliver
        self.memory_kb = 1.0
        self.rank = 0.0
        self.sender = 0
        self.is_retry = False
        self.due_at = 0.0  # set by the request tracker, from the request class
        self.key = ""  # idempotency key, where the front supplies one
        self.target = ""  # the back end that runs it; empty is the execution engine
        self.method = "POST"
        self.uri = ""
        self.query = ""
        self.route = ""
        self.headers: tuple[tuple[str, str], ...] = ()
        self.call_body = b""  # what the run requests from the dependency at the moment
        self.state = 0  # an AttemptState
