"""Idempotency keys that operators name, which link the attempts of one request over all fronts."""

from __future__ import annotations

from hashlib import blake2b

MAX_KEY_CHARS = 200
DIGEST_BYTES = 16  # of a key that is too long to be kept whole
WHITESPACE = b" \t"  # that HTTP allows around the value of a header


def operator_key(value: bytes) -> str:
    """Return the key for the bytes of a header or field, the same on every front.

    A long value is replaced by its beginning and a digest of the whole, so that two values never become the same key.
    """
    key = value.strip(WHITESPACE)
    text = key.decode("latin-1")  # any bytes are valid
    if len(text) <= MAX_KEY_CHARS:
        return text
    digest = blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
    return text[: MAX_KEY_CHARS - len(digest)] + digest
