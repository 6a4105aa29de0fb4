"""Converts a Forward Request of a gateway into an `Exchange`."""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable

from myrtlespar.config import PathRule
from myrtlespar.exchange import Answer, Exchange
from myrtlespar.net.codec.ajp import ForwardRequest
from myrtlespar.net.operator_keys import operator_key
from myrtlespar.runtime.clock import unix_ms

SESSION_ROUTE = re.compile(r"jsessionid=[^;,\s]*?\.([A-Za-z0-9_-]+)(?:$|[;,\s?/])", re.I)
HOP_BY_HOP_HEADERS = ("connection", "transfer-encoding", "content-length", "keep-alive")


def create_exchange(
    request_id: str,
    request: ForwardRequest,
    rule: PathRule,
    body: bytes,
    key_header: str,
    deliver: Callable[[Exchange, Answer], None],
) -> Exchange:
    """Return the `Exchange` for a gateway's request.

    Args:
        request_id: A unique id for the request.
        request: The gateway's request.
        rule: The rule for the request's path.
        body: The request's complete body.
        key_header: Name of the header with the idempotency key; empty if none has it.
        deliver: Called with the answer.
    """
    exchange = Exchange(request_id, "ajp", rule.class_index, body, unix_ms(), deliver)
    exchange.memory_kb = rule.memory_kb
    exchange.rank = rule.rank
    exchange.target = rule.target
    exchange.sender = zlib.crc32(request.remote_addr.encode())
    exchange.method = request.method
    exchange.uri = request.uri
    exchange.query = request_query(request)
    if rule.target:  # the execution engine gets no headers
        exchange.headers = tuple(row for row in request.headers if row[0] not in HOP_BY_HOP_HEADERS)
    exchange.route = session_route(request)
    if key_header:
        exchange.key = operator_key(request.header(key_header).encode("latin-1"))
    exchange.may_have_run = True  # gateways mark no retries
    return exchange


def request_query(request: ForwardRequest) -> str:
    """Return the request's query string, without the question mark."""
    return request.attributes.get("query_string", "")


def session_route(request: ForwardRequest) -> str:
    """Return the part of the session id after the dot, from the path or a cookie, or else the gateway's route."""
    match = SESSION_ROUTE.search(request.uri) or SESSION_ROUTE.search(request.header("cookie"))
    return match.group(1) if match else request.attributes.get("jvm_route", "")
