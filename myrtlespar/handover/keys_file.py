"""The format of the hand-over file, in which a process passes its idempotency keys to its replacement.

The file is a header line `myrtlespar-keys VERSION CRC32 LENGTH` and LENGTH bytes of JSON lines, each with one key and
its outcome. A row has further fields only if the answer has a status or headers, or was late; releases that don't know
them reject such a file. A file that is truncated, corrupt or of another version is rejected as a whole. Times are
milliseconds of the Unix clock, as two processes compare them. Pure: no I/O and no clock.
"""

from __future__ import annotations

import base64
import json
import math
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.exchange import MAX_KEPT_HEADER_CHARS, Answer, AnswerKind

VERSION = 1
MAGIC = b"myrtlespar-keys"
HEADER_WORDS = 4  # magic, version, checksum, length
LENGTH_DIGITS = 12  # of the length in a header that is written before its rows are known
ANSWER_KINDS = ("served", "refused", "failed")  # as written in the file
MAX_HEADER_BYTES = 64
JSON_BYTES_PER_CHARACTER = 6  # at most
MAX_KEY_CHARS = 200
MAX_ROW_BYTES_WITHOUT_BODY = 512 + JSON_BYTES_PER_CHARACTER * (MAX_KEY_CHARS + MAX_KEPT_HEADER_CHARS)
BASE_FIELDS = 6  # of a row without status, headers and late
MAX_STATUS = 999
MAX_SHOWN_CHARS = 60  # how much of a rejected entry an error text quotes


KeyRow = tuple[tuple[int, str], Answer, float]  # class and key, the outcome, and when the key expires


class HandoverRejectedError(MyrtlesparError):
    """A hand-over file was rejected; the text gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """One idempotency key with the outcome of its request.

    Attributes:
        class_index: The request class, by its position in the settings.
        key: The idempotency key, unique within its class.
        kind: The kind of the answer: "served", "refused" or "failed".
        body: The body of the answer.
        retry_after_ms: The Retry-After of the answer; 0 for none.
        expires_at: When the key may be forgotten, in Unix milliseconds.
        status: The HTTP status of the answer; 0 unless a back end set it.
        late: Whether the request failed because its due time passed.
        headers: The HTTP headers of the answer.
    """

    class_index: int
    key: str
    kind: str
    body: bytes
    retry_after_ms: float
    expires_at: float
    status: int = 0
    late: bool = False
    headers: tuple[tuple[str, str], ...] = ()


def key_outcomes(rows: Iterable[KeyRow]) -> list[KeyOutcome]:
    """Return the entries of the file for rows of a request tracker: class and key, answer, expiry time."""
    return [
        KeyOutcome(
            class_index,
            key,
            answer.kind.value,
            answer.body,
            answer.retry_after_ms,
            expires_at,
            answer.status,
            answer.late,
            answer.headers,
        )
        for (class_index, key), answer, expires_at in rows
    ]


def answer_of(outcome: KeyOutcome) -> Answer:
    """Return the answer to a retry with this key."""
    return Answer(
        AnswerKind(outcome.kind),
        outcome.body,
        outcome.retry_after_ms,
        late=outcome.late,
        status=outcome.status,
        headers=outcome.headers,
    )


class KeysFileEncoder:
    """Encodes a hand-over file in pieces: first its rows, then the header, whose length is always the same."""

    def __init__(self) -> None:
        self._checksum = zlib.crc32(b"")
        self._length = 0

    def encode_rows(self, outcomes: Iterable[KeyOutcome]) -> bytes:
        """Return the next rows of the file."""
        rows = b"".join(_encode_row(outcome) for outcome in outcomes)
        self._checksum = zlib.crc32(rows, self._checksum)
        self._length += len(rows)
        return rows

    def encode_header(self, length_digits: int = LENGTH_DIGITS) -> bytes:
        """Return the header line for all rows so far."""
        return b"%s %d %08x %0*d\n" % (MAGIC, VERSION, self._checksum, length_digits, self._length)


def max_file_bytes(max_keys: int, max_body_bytes: int) -> int:
    """Return the length of the longest hand-over file with this many keys and answers of this length."""
    body_bytes = 4 * math.ceil(max_body_bytes / 3)  # in base64
    return MAX_HEADER_BYTES + max_keys * (MAX_ROW_BYTES_WITHOUT_BODY + body_bytes)


def encode(outcomes: Iterable[KeyOutcome]) -> bytes:
    """Return the bytes of a hand-over file."""
    encoder = KeysFileEncoder()
    rows = encoder.encode_rows(outcomes)
    return encoder.encode_header(length_digits=0) + rows


def decode(data: bytes, now: float, class_count: int) -> list[KeyOutcome]:
    """Read a hand-over file.

    Args:
        data: The whole file.
        now: The current time; keys that have expired by then are left out.
        class_count: The number of request classes; an entry of another class makes the file invalid.

    Returns:
        The outcomes, ordered by their time of expiry.

    Raises:
        HandoverRejectedError: The file is not complete and valid.
    """
    lines = _lines(data)
    header = next(lines, b"")
    _check_header(header, memoryview(data)[len(header) + 1 :])
    outcomes: list[KeyOutcome] = []
    try:
        for line in lines:
            outcome = _decode_row(line, now, class_count)
            if outcome is not None:
                outcomes.append(outcome)
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise HandoverRejectedError(f"malformed entry: {error}") from None
    return sorted(outcomes, key=lambda outcome: outcome.expires_at)


def _encode_row(outcome: KeyOutcome) -> bytes:
    row: list[Any] = [
        outcome.class_index,
        outcome.key,
        outcome.kind,
        base64.b64encode(outcome.body).decode(),
        outcome.retry_after_ms,
        outcome.expires_at,
    ]
    if outcome.status or outcome.late or outcome.headers:
        row += [outcome.status, outcome.late, outcome.headers]
    return json.dumps(row).encode() + b"\n"


def _lines(data: bytes) -> Iterator[bytes]:
    """Yield the lines of a file one at a time, as all of them at once would double the memory of a large file."""
    start = 0
    while start < len(data):
        end = data.find(b"\n", start)
        if end < 0:
            end = len(data)
        yield data[start:end]
        start = end + 1


def _check_header(header: bytes, rows: memoryview) -> None:
    """Check version, length and checksum of the rows against the header line."""
    words = header.split(b" ")
    if len(words) != HEADER_WORDS or words[0] != MAGIC:
        raise HandoverRejectedError("missing hand-over header line")
    _, version, checksum, length = words
    if version != b"%d" % VERSION:
        raise HandoverRejectedError(f"unsupported version {version[:8].decode('ascii', 'replace')}, expected {VERSION}")
    if not length.isdigit() or int(length) != len(rows):
        raise HandoverRejectedError(
            f"truncated: {len(rows)} bytes of entries, expected {length[:12].decode('ascii', 'replace')}"
        )
    if checksum != b"%08x" % zlib.crc32(rows):
        raise HandoverRejectedError("corrupt: the checksum of the entries does not match the header")


def _decode_row(line: bytes, now: float, class_count: int) -> KeyOutcome | None:
    """Return one entry, or None if it has expired. Malformed JSON raises errors that `decode` translates."""
    row = json.loads(line)
    class_index, key, kind, body, retry_after, expires_at = row[:BASE_FIELDS]
    if not _is_known(class_index, key, kind, class_count):
        raise HandoverRejectedError(f"entry with an unknown class, key or kind of answer: {line[:MAX_SHOWN_CHARS]!r}")
    retry_after_ms = float(retry_after)
    expires_at_ms = float(expires_at)
    if not (0 <= retry_after_ms < math.inf and 0 <= expires_at_ms < math.inf):
        raise HandoverRejectedError(f"entry with an invalid Retry-After or expiry time: {line[-MAX_SHOWN_CHARS:]!r}")
    if expires_at_ms <= now:
        return None
    outcome = KeyOutcome(class_index, key, kind, base64.b64decode(body, validate=True), retry_after_ms, expires_at_ms)
    return outcome if len(row) == BASE_FIELDS else _with_http_fields(outcome, *row[BASE_FIELDS:])


def _with_http_fields(outcome: KeyOutcome, status: Any, late: Any, headers: Any) -> KeyOutcome:
    """Return an entry with the further fields of its row."""
    if type(status) is not int or not 0 <= status <= MAX_STATUS or type(late) is not bool:
        raise HandoverRejectedError(f"entry with an invalid status: {str(status)[:MAX_SHOWN_CHARS]}")
    pairs = tuple((name, value) for name, value in headers)
    if not all(isinstance(text, str) for pair in pairs for text in pair):
        raise HandoverRejectedError("entry with an invalid header")
    return replace(outcome, status=status, late=late, headers=pairs)


def _is_known(class_index: Any, key: Any, kind: Any, class_count: int) -> bool:
    """Return whether the first fields of an entry have valid types and values known to this process."""
    return (
        isinstance(class_index, int)
        and 0 <= class_index < class_count
        and isinstance(key, str)
        and kind in ANSWER_KINDS
    )
