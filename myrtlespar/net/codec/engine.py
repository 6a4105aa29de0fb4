"""The execution engine's protocol: one JSON object a line, commands to the engine and notices from it.

Notices that belong to a run carry a number; all others do not.
"""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from typing import Any

from myrtlespar.policy.messages import RunOutcome

# Types of notices (the value of `t`).
ENGINE_STARTED = "BOOTED"
GAUGES = "INFO"
COMMAND_REJECTED = "EINVAL"
RUN_ENDED = "REAP"
CALL_NEEDED = "IOREQ"

# Types of commands, as the engine names them when it rejects one.
START_COMMAND = "SCHED"
GAUGES_COMMAND = "SYSINFO"

RUN_OUTCOMES = {
    "PASS": RunOutcome.OK,
    "FAIL": RunOutcome.ERROR,
    "KILLED": RunOutcome.STOPPED,
    "NOOP": RunOutcome.MOOT,
}
# What the functions below raise for a notice with a missing or malformed value.
MALFORMED_NOTICE_ERRORS = (KeyError, TypeError, ValueError, OverflowError)


@dataclass(slots=True)
class RunEnd:
    """How a run ended.

    Attributes:
        outcome: Its outcome.
        status: The outcome as the engine named it.
        elapsed_ms: How long it ran.
        result: Its result, if it succeeded.
    """

    outcome: RunOutcome
    status: str
    elapsed_ms: float
    result: bytes


def encode_class_name(name: str) -> bytes:
    """Return a class's name as `encode_start` takes it."""
    return json.dumps(name).encode()


def encode_start(request_id: str, class_name: bytes, body: bytes) -> bytes:
    """Return the command that starts a request.

    It is written without the JSON library, for speed: ids are letters and digits, bodies base64.
    """
    return b'{"t":"SCHED","rid":"%s","route":%s,"b64":"%s"}\n' % (
        request_id.encode(),
        class_name,
        base64.b64encode(body),
    )


def encode_call_reply(request_id: str, reply: bytes) -> bytes:
    """Return the command that sends a run the reply to its call."""
    return b'{"t":"IODONE","rid":"%s","b64":"%s"}\n' % (request_id.encode(), base64.b64encode(reply))


def encode_gauges_request(mark: str) -> bytes:
    """Return the command that requests the gauges; the answer repeats `mark`."""
    return _encode_line(t=GAUGES_COMMAND, mark=mark)


def encode_open(last_notice: int) -> bytes:
    """Return the first command on a link; notices after number `last_notice` follow."""
    return _encode_line(t="OPEN", no=last_notice)


def _encode_line(**fields: Any) -> bytes:
    return json.dumps(fields).encode() + b"\n"


def decode_notice(line: bytes) -> dict[str, Any] | None:
    """Return the object in a line, or None if it holds none."""
    try:
        notice = json.loads(line.decode())  # given bytes, json would detect their encoding each time
    except (ValueError, RecursionError):
        return None
    return notice if isinstance(notice, dict) else None


def decode_run_end(notice: dict[str, Any]) -> RunEnd:
    """Return how a run ended.

    Raises:
        KeyError, TypeError, ValueError, OverflowError: A value is missing or malformed.
    """
    status = notice["status"]
    outcome = RUN_OUTCOMES[status]
    elapsed_ms = max(0.0, finite_number(notice.get("time_ms", 0.0)))
    return RunEnd(outcome, status, elapsed_ms, decode_body(notice))


def decode_body(notice: dict[str, Any]) -> bytes:
    """Return the body that a notice carries.

    Raises:
        TypeError, ValueError: It is no base64.
    """
    return base64.b64decode(notice.get("b64", ""), validate=True)


def finite_number(value: Any) -> float:
    """Return a number from a notice; an infinite one or NaN would spread through every mean that it enters.

    Raises:
        TypeError, ValueError, OverflowError: The value is no finite number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is no time or gauge")
    return number
