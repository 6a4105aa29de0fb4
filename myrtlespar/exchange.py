"""One attempt of a request, from the front that read it to the engine that runs it, and its final answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

MAX_KEPT_HEADER_CHARS = 2048  # of the headers of an answer that is cached for repeats
CHARS_PER_HEADER = 8  # beside the name and the value
OPEN_REQUEST_BYTES = 2048  # memory of an open request in all components, without its content
HEADER_BYTES = 256  # memory of one header, without its text


class AnswerKind(enum.Enum):
    """The three kinds of final answers. The values appear in counter names and in the hand-over file."""

    SERVED = "served"
    REFUSED = "refused"  # rejected: the request certainly did not run
    FAILED = "failed"  # the request may have run


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer.

    Attributes:
        kind: Whether the request was served, rejected or failed.
        body: The result of the run; empty for a rejection.
        retry_after_ms: For a rejection, how long the client should wait before a retry; 0 for no advice.
        last: Whether this is a final rejection: the client should not retry elsewhere.
        late: Whether the request failed because its due time passed.
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

    def may_be_kept(self, max_body_bytes: int) -> bool:
        """Return whether the answer is short enough to be cached."""
        header_chars = sum(len(name) + len(value) + CHARS_PER_HEADER for name, value in self.headers)
        return len(self.body) <= max_body_bytes and header_chars <= MAX_KEPT_HEADER_CHARS


class Exchange:
    """One attempt of a request: its content, when it arrived, and its `AttemptState`.

    The front creates it and sets what the client sent. Only the request tracker changes `state` and `due_at`, and it
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
        "may_have_run",
        "memory_kb",
        "method",
        "other_key",
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
        self.id = request_id  # unique among the attempts in progress; not the idempotency key
        self.front = front  # "thrift" or "ajp", which becomes part of counter names
        self.class_index = class_index  # position of the request class in the settings
        self.body = body
        self.arrived_at = arrived_at
        self.deliver = deliver
        self.memory_kb = 1.0
        self.rank = 0.0  # priority from the client or the route; no decision depends on it
        self.sender = 0  # a number that identifies the client
        self.is_retry = False  # whether the client marked it as a retry
        self.due_at = 0.0  # when the client stops waiting; set by the request tracker
        self.key = ""  # the idempotency key; empty if the client sent none
        self.other_key = ""  # a further key of the same request, which links it to attempts that have only this one
        self.may_have_run = False  # whether an earlier attempt with the same key may have run, even in another process
        self.target = ""  # name of the back end that runs it; empty for the execution engine
        self.method = "POST"
        self.uri = ""
        self.query = ""
        self.route = ""
        self.headers: tuple[tuple[str, str], ...] = ()
        self.call_body = b""  # body of the latest dependency call that the run requested
        self.state = 0  # an AttemptState

    def memory_bytes(self) -> int:
        """Return about how much memory this process uses for the request while it is open; constant after a submit."""
        header_bytes = sum(HEADER_BYTES + len(name) + len(value) for name, value in self.headers)
        return OPEN_REQUEST_BYTES + len(self.body) + header_bytes
