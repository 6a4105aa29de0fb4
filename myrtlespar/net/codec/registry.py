"""Codec for the service registry's protocol: reports of a server's availability as HTTP/1.1 requests."""

from __future__ import annotations

import json
from urllib.parse import quote

import httptools


def encode_report(name: str, duty: str) -> bytes:
    """Return a complete HTTP request that reports the server `name`; `duty` is `on` or `off`."""
    body = json.dumps({"duty": duty}, separators=(",", ":"))
    return (
        f"PUT /roster/{quote(name, safe='')} HTTP/1.1\r\nHost: roster\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class ReplyParser:
    """Incremental parser of the response to one report.

    Attributes:
        is_complete: Whether the complete response was parsed.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Set `is_complete`; called by the httptools parser."""
        self.is_complete = True

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises:
            httptools.HttpParserError: The bytes are not an HTTP response.
            httptools.HttpParserUpgrade: The response switches to another protocol.
        """
        self._parser.feed_data(data)

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may carry another request."""
        return bool(self._parser.should_keep_alive())

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return int(self._parser.get_status_code())
