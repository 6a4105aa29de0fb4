"""The dependency's protocol: calls and their replies, each with a head line of words and a body of a stated length."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy.messages import RunOutcome

LINE_END = b"\r\n"
MAX_FAULT_BYTES = 80  # of a malformed line, in an error's text
MAX_SIZE_DIGITS = 9
# BUSY and VOID prove that the call never ran; ERR and LATE prove nothing.
CALL_OUTCOMES = {
    b"OK": RunOutcome.OK,
    b"BUSY": RunOutcome.REJECTED,
    b"ERR": RunOutcome.ERROR,
    b"LATE": RunOutcome.TIMED_OUT,
    b"VOID": RunOutcome.MOOT,
}


class MalformedReplyError(MyrtlesparError):
    """The dependency sent what can't be read: nothing more on this connection means anything."""


@dataclass(slots=True)
class ReplyHead:
    """The first line of a reply.

    Attributes:
        request_id: The request whose call it answers.
        outcome: How the call ended.
        body_bytes: Length of the body that follows; None if none does.
    """

    request_id: str
    outcome: RunOutcome
    body_bytes: int | None


def encode_call(request_id: str, time_limit_ms: int, body: bytes) -> bytes:
    """Return a call for a request; the reply is awaited for `time_limit_ms`."""
    return b"CALL %s %d %d\r\n%s\r\n" % (request_id.encode(), time_limit_ms, len(body), body)


def encode_cancel(request_id: str) -> bytes:
    """Return the message that cancels a request's call."""
    return b"DROP %s\r\n" % request_id.encode()


def decode_reply_head(line: bytes, max_body_bytes: int) -> ReplyHead:
    """Return the head in a line, which is given without its LF.

    Raises:
        MalformedReplyError: The line holds none, or states a longer body than allowed.
    """
    words = line.removesuffix(b"\r").split(b" ")
    outcome = CALL_OUTCOMES.get(words[1]) if len(words) == (3 if words[1:2] == [b"OK"] else 2) else None
    if outcome is None or not line.endswith(b"\r"):
        raise MalformedReplyError(f"line {line[:MAX_FAULT_BYTES]!r}")
    body_bytes = _decode_size(words[2], max_body_bytes) if outcome is RunOutcome.OK else None
    return ReplyHead(words[0].decode("latin-1"), outcome, body_bytes)


def _decode_size(digits: bytes, max_bytes: int) -> int:
    if not digits.isdigit() or len(digits) > MAX_SIZE_DIGITS or int(digits) > max_bytes:
        raise MalformedReplyError(f"reply of {digits[:20]!r} bytes")
    return int(digits)


def decode_reply_body(data: bytes) -> bytes:
    """Return a reply's body, which is given with its line end.

    Raises:
        MalformedReplyError: The line end is missing: the body has another length than stated.
    """
    if not data.endswith(LINE_END):
        raise MalformedReplyError("reply of another length than told")
    return data[: -len(LINE_END)]
