"""Codec for the execution engine's protocol: commands to the engine and notices from it, one JSON object per line.

Notices about a run are numbered; all others are not.
"""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from typing import Any

from myrtlespar.policy.messages import RunOutcome

# Notice types (the value of field `t`).
ENGINE_STARTED = "BOOTED"
GAUGES = "INFO"
COMMAND_REJECTED = "EINVAL"
RUN_ENDED = "REAP"
CALL_NEEDED = "IOREQ"

# Command types, also in the `status` of the notice that rejects a command.
START_COMMAND = "SCHED"
GAUGES_COMMAND = "SYSINFO"

RUN_OUTCOMES = {
    "PASS": RunOutcome.OK,
    "FAIL": RunOutcome.ERROR,
    "KILLED": RunOutcome.STOPPED,
    "NOOP": RunOutcome.MOOT,
}
# Raised by the decoders below if a value of the notice is missing or malformed.
MALFORMED_NOTICE_ERRORS = (KeyError, TypeError, ValueError, OverflowError)


@dataclass(slots=True)
class RunEnd:
    """How a run ended.

    Attributes:
        outcome: Its outcome.
        status: The outcome as the engine named it.
        elapsed_ms: How long the run took.
        result: The result of a run that succeeded.
    """

    outcome: RunOutcome
    status: str
    elapsed_ms: float
    result: bytes


def encode_class_name(name: str) -> bytes:
    """Return the name of a request class as a JSON string, for `encode_start`."""
    return json.dumps(name).encode()


def encode_start(request_id: str, class_name: bytes, body: bytes) -> bytes:
    """Return the command that starts a request.

    It is formatted without the JSON library, for speed. Nothing needs escaping: ids are alphanumeric, bodies base64.
    """
    return b'{"t":"SCHED","rid":"%s","route":%s,"b64":"%s"}\n' % (
        request_id.encode(),
        class_name,
        base64.b64encode(body),
    )


def encode_call_reply(request_id: str, reply: bytes) -> bytes:
    """Return the command that passes a run the reply to its call to the dependency."""
    return b'{"t":"IODONE","rid":"%s","b64":"%s"}\n' % (request_id.encode(), base64.b64encode(reply))


def encode_gauges_request(mark: str) -> bytes:
    """Return the command that requests the gauges; the answer repeats `mark`."""
    return _encode_line(t=GAUGES_COMMAND, mark=mark)


def encode_open(last_notice: int) -> bytes:
    """Return the first command on a link, which requests all numbered notices after `last_notice`."""
    return _encode_line(t="OPEN", no=last_notice)


def _encode_line(**fields: Any) -> bytes:
    return json.dumps(fields).encode() + b"\n"


def decode_notice(line: bytes) -> dict[str, Any] | None:
    """Return the JSON object in a line, or None if the line is not one."""
    try:
        notice = json.loads(line.decode())  # for bytes, json.loads would first detect the encoding
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
    """Return the decoded body of a notice, empty if it has none.

    Raises:
        TypeError, ValueError: The body is not valid base64.
    """
    return base64.b64decode(notice.get("b64", ""), validate=True)


def finite_number(value: Any) -> float:
    """Return a number from a notice; NaN and infinity would make every average that includes them useless.

    Raises:
        TypeError, ValueError, OverflowError: The value is not a finite number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is not a finite number")
    return number
