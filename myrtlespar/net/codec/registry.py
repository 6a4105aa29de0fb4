"""The service registry's protocol: load reports as HTTP/1.1 requests."""

from __future__ import annotations

import json
from urllib.parse import quote

import httptools


def encode_report(name: str, duty: str) -> bytes:
    """Return a complete request that reports the server `name` as `on` or `off`."""
    body = json.dumps({"duty": duty}, separators=(",", ":"))
    return (
        f"PUT /roster/{quote(name, safe='')} HTTP/1.1\r\nHost: roster\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class ReplyParser:
    """Parses the answer to one report, as its bytes come.

    Attributes:
        is_complete: Whether all of it has come.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Note the end of the answer; the library's parser calls this."""
        self.is_complete = True

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises:
            httptools.HttpParserError: They are no HTTP.
            httptools.HttpParserUpgrade: They change to another protocol.
        """
        self._parser.feed_data(data)

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may carry another request."""
        return bool(self._parser.should_keep_alive())

    @property
    def status(self) -> int:
        """The HTTP status."""
        return int(self._parser.get_status_code())
