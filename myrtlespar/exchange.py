"""One attempt of a request, as it passes from a front to the engine that runs it, and its final answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass


class AnswerKind(enum.Enum):
    """The three kinds of final answers. The values stand in counters and in the hand-over file."""

    SERVED = "served"
    REFUSED = "refused"  # rejected: it certainly did not run
    FAILED = "failed"  # it may have run


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer.

    Attributes:
        kind: Whether the request was served, rejected or failed.
        body: The result of the run; empty for a rejection.
        retry_after_ms: For a rejection, how long the client should wait before a retry; 0 for no advice.
        last: Whether this is a final rejection: the client should not retry elsewhere.
        late: Whether this is a failure because the due time passed.
        status: The HTTP status; 0 unless a back end set it.
        headers: The HTTP headers; empty unless a back end set them.
    """

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0
    last: bool = False
    late: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class Exchange:
    """One attempt of a request: what it asks for, when it arrived, and its `AttemptState`.

    The front creates it and sets what the client sent; the request tracker alone changes `state` and `due_at`, and
    causes at most one call of `deliver`. Times are Unix milliseconds.
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
        request_id: str,
        front: str,
        class_index: int,
        body: bytes,
        arrived_at: float,
        deliver: Callable[[Exchange, Answer], None],
    ) -> None:
        self.id = request_id  # unique among the open attempts; not the idempotency key
        self.front = front  # "thrift" or "ajp"; part of counter names
        self.class_index = class_index  # of the request class, by its position in the settings
        self.body = body
        self.arrived_at = arrived_at
        self.deliver = deliver
        self.memory_kb = 1.0
        self.rank = 0.0  # the priority that the client or the route gives it
        self.sender = 0  # number of the client that sent it
        self.is_retry = False  # whether the client marked it as a retry
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
