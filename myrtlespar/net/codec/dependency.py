"""Codec for the dependency's protocol.

A call or reply is a header line of space-separated words, followed by a body whose length the header line states.
"""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy.messages import RunOutcome

LINE_END = b"\r\n"
MAX_QUOTED_BYTES = 80  # how much of a malformed line is quoted in an error message
MAX_SIZE_DIGITS = 9
# BUSY and VOID prove that the call never ran; after ERR or LATE it may have run.
CALL_OUTCOMES = {
    b"OK": RunOutcome.OK,
    b"BUSY": RunOutcome.REJECTED,
    b"ERR": RunOutcome.ERROR,
    b"LATE": RunOutcome.TIMED_OUT,
    b"VOID": RunOutcome.MOOT,
}


class MalformedReplyError(MyrtlesparError):
    """The dependency sent a malformed reply, after which nothing on the connection can be decoded."""


@dataclass(slots=True)
class ReplyHead:
    """The header line of a reply.

    Attributes:
        request_id: Id of the request that the call belongs to.
        outcome: How the call ended.
        body_bytes: Length of the body that follows; None if the reply has no body.
    """

    request_id: str
    outcome: RunOutcome
    body_bytes: int | None


def encode_call(request_id: str, time_limit_ms: int, body: bytes) -> bytes:
    """Return the message that makes a call for a request, with the time in ms that the dependency has to answer it."""
    return b"CALL %s %d %d\r\n%s\r\n" % (request_id.encode(), time_limit_ms, len(body), body)


def encode_cancel(request_id: str) -> bytes:
    """Return the message that cancels a request's call."""
    return b"DROP %s\r\n" % request_id.encode()


def decode_reply_head(line: bytes, max_body_bytes: int) -> ReplyHead:
    """Return the reply header in a line, which is passed without its LF.

    Raises:
        MalformedReplyError: The line is malformed, or states a body longer than `max_body_bytes`.
    """
    words = line.removesuffix(b"\r").split(b" ")
    outcome = CALL_OUTCOMES.get(words[1]) if len(words) == (3 if words[1:2] == [b"OK"] else 2) else None
    if outcome is None or not line.endswith(b"\r"):
        raise MalformedReplyError(f"malformed reply line {line[:MAX_QUOTED_BYTES]!r}")
    body_bytes = _decode_size(words[2], max_body_bytes) if outcome is RunOutcome.OK else None
    return ReplyHead(words[0].decode("latin-1"), outcome, body_bytes)


def _decode_size(digits: bytes, max_bytes: int) -> int:
    if not digits.isdigit() or len(digits) > MAX_SIZE_DIGITS or int(digits) > max_bytes:
        raise MalformedReplyError(
            f"reply states the body length {digits[:20]!r}, which is not a number or over the limit"
        )
    return int(digits)


def decode_reply_body(data: bytes) -> bytes:
    """Return a reply's body, which is passed with its line end.

    Raises:
        MalformedReplyError: The line end is missing, so the body does not have the stated length.
    """
    if not data.endswith(LINE_END):
        raise MalformedReplyError("reply body is not followed by CRLF at its stated length")
    return data[: -len(LINE_END)]
