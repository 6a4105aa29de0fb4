"""The AJP codec, checked against the published byte layout."""

from __future__ import annotations

import pytest

from myrtlespar.net.codec import ajp


def test_codec_matches_the_published_bytes() -> None:
    payload = (
        b"\x02\x02\0\x08HTTP/1.1\0\0\x02/a\0\0\x09127.0.0.1\0\xff\xff\0\x01h\0\0\x50\0\0\x01"
        b"\xa0\x0b\0\x01h\0\x0a\0\x01n\0\0\x01v\0\xff"
    )
    request = ajp.decode_forward_request(payload)
    assert (request.method, request.uri, request.headers, request.attributes) == (
        "GET",
        "/a",
        (("host", "h"),),
        {"@n": "v"},
    )
    assert ajp.encode_forward_request(request) == b"\x12\x34" + len(payload).to_bytes(2, "big") + payload
    assert b"".join(ajp.encode_reply(200, (("Content-Type", "t"),), b"hi", True)) == (
        b"AB\0\x10\x04\0\xc8\0\x02OK\0\0\x01\xa0\x01\0\x01t\0" + b"AB\0\x06\x03\0\x02hi\0" + b"AB\0\x02\x05\x01"
    )
    for cut in range(len(payload)):
        with pytest.raises(ajp.MalformedPacketError):
            ajp.decode_forward_request(payload[:cut])
