"""The operator's file for tests with AJP."""

from __future__ import annotations

AJP_OPERATOR_FILE = """
[idempotency]
ajp_header = "Idempotency-Key"
thrift_field = "idem"
[ajp]
listen = "127.0.0.1:0"
secret = "s3"
[[ajp.map]]
path = "/render"
class = "render"
[[ajp.map]]
path = "/fetch"
class = "fetch"
[[ajp.map]]
path = "/order"
class = "order"
worth = 0.9
memory_kb = 12
"""
