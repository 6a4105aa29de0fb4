"""Converts the fields of a Thrift request into an `Exchange`, and checks every field."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from myrtlespar.config import Config
from myrtlespar.exchange import Answer, Exchange
from myrtlespar.net.codec.thrift import MalformedMessageError
from myrtlespar.net.operator_keys import operator_key
from myrtlespar.policy.messages import Effect
from myrtlespar.runtime.clock import unix_ms, wall_ms
from myrtlespar.runtime.counters import Counters

TOKEN_FIELD = "token"  # the same in all attempts of a request; for classes whose effect is `keyed`
MAX_TOKEN_CHARS = 200
MAX_REQUEST_ID_CHARS = 64
MAX_CLOCK_DIFFERENCE_MS = 3.6e6  # between the client's time stamp and our clock
MAX_MEMORY_KB = 2000.0
DEFAULT_MEMORY_KB = 20.0
MAX_SENDER = 1e9
BODY_DIGEST_BYTES = 8


class ThriftRequestReader:
    """Reads the requests of all Thrift connections."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self._classes = config.settings.classes
        self._class_indexes = {name: index for index, name in enumerate(config.class_names)}
        self._key_field = config.thrift_key
        # Clients of another front, which share the operator's keys, mark no retries.
        self._marks_first_attempts = config.settings.marks_retries and not config.thrift_key
        self._max_body_bytes = config.limits.max_body_bytes
        self._counters = counters

    def read(self, fields: dict[bytes, Any], body: bytes, deliver: Callable[[Exchange, Answer], None]) -> Exchange:
        """Return the `Exchange` for a request.

        Args:
            fields: The fields of the call.
            body: The body of the call.
            deliver: Called with the answer.

        Raises:
            MalformedMessageError: A field is missing, malformed or out of range, or the body is too long.
        """
        class_index = self._class_indexes.get(_text(fields, "method"))
        request_id = _text(fields, "rid")
        if class_index is None:
            raise MalformedMessageError("unknown class in field method")
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS or not request_id.isascii() or not request_id.isalnum():
            raise MalformedMessageError("field rid is missing or malformed")
        if len(body) > self._max_body_bytes:
            raise MalformedMessageError("body too long")
        now = unix_ms()
        wall = wall_ms()
        # A time stamp too far from our clock can't be used for the due time. One in the future counts as now.
        earliest = wall - MAX_CLOCK_DIFFERENCE_MS
        stamp = _number(fields, "t0", wall, earliest, wall + MAX_CLOCK_DIFFERENCE_MS)
        exchange = Exchange(request_id, "thrift", class_index, body, now - max(0.0, wall - stamp), deliver)
        exchange.memory_kb = _number(fields, "mem", DEFAULT_MEMORY_KB, 0.0, MAX_MEMORY_KB)
        exchange.rank = _number(fields, "prio", 0.0, 0.0, 1.0)
        exchange.sender = int(_number(fields, "peer", 0, 0, MAX_SENDER))
        exchange.is_retry = _text(fields, "again") == "1"
        self._set_keys(exchange, fields)
        exchange.may_have_run = exchange.is_retry or not self._marks_first_attempts
        return exchange

    def _set_keys(self, exchange: Exchange, fields: dict[bytes, Any]) -> None:
        """Set the idempotency keys: the operator's field, which links the fronts, and the platform's token."""
        key = self._operator_key(fields)
        token_key = self._token_key(exchange, fields, bool(key))
        exchange.key = key or token_key
        exchange.other_key = token_key if key else ""

    def _operator_key(self, fields: dict[bytes, Any]) -> str:
        """Return the key in the operator's field; empty if there is none."""
        value = fields.get(self._key_field.encode(), b"") if self._key_field else b""
        if not isinstance(value, bytes):
            raise MalformedMessageError(f"field {self._key_field} is no text")
        return operator_key(value)

    def _token_key(self, exchange: Exchange, fields: dict[bytes, Any], has_other_key: bool) -> str:
        """Return the key for the platform's token; empty if there is none, or if the class has no tokens."""
        if self._classes[exchange.class_index].effect is not Effect.KEYED:
            return ""
        token = _text(fields, TOKEN_FIELD)
        if len(token) > MAX_TOKEN_CHARS:  # if truncated, two different tokens could become the same key
            raise MalformedMessageError(f"field {TOKEN_FIELD} is too long")
        if not token:
            if exchange.is_retry and not has_other_key:  # an earlier attempt may have run here
                self._counters.add("in.no_token.thrift")
                raise MalformedMessageError(f"field {TOKEN_FIELD} is missing in a further try")
            return ""
        # The digest tells apart requests with the same token but different bodies, so that neither gets the other's
        # result or prevents the other's run.
        return f"{token} {blake2b(exchange.body, digest_size=BODY_DIGEST_BYTES).hexdigest()}"


def _text(fields: dict[bytes, Any], name: str) -> str:
    value = fields.get(name.encode(), b"")
    try:
        return str(value, "utf-8")  # class names in the settings may be in any language
    except (TypeError, UnicodeDecodeError):
        raise MalformedMessageError(f"field {name} is no text") from None


def _number(fields: dict[bytes, Any], name: str, default: float, low: float, high: float) -> float:
    text = _text(fields, name)
    try:
        value = float(text) if text else default
    except ValueError:
        raise MalformedMessageError(f"field {name} is no number") from None
    if not low <= value <= high:
        raise MalformedMessageError(f"field {name} is out of range")
    return value
