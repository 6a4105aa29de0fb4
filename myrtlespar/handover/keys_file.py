"""The hand-over of idempotency keys from an old process to its replacement, through the shared `$TMPDIR`.

Pure: bytes and times come in, entries and verdicts go out. The file is one header line
`myrtlespar-keys VERSION CRC32 LENGTH` and LENGTH bytes of JSON lines, one known outcome each. A file that is torn,
of another version or spoilt is refused whole. Times are Unix milliseconds.
"""

from __future__ import annotations

import base64
import json
import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from myrtlespar.errors import MyrtlesparError
from myrtlespar.exchange import Answer, AnswerKind

VERSION = 1
MAGIC = b"myrtlespar-keys"


class HandoverRejectedError(MyrtlesparError):
    """A hand-over file that can't be taken whole; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """One key with its outcome: class number, key, kind of answer, body, retry-after, and when it lapses."""

    class_index: int
    key: str
    kind: str  # "served", "refused" or "failed"
    body: bytes
    retry_after_ms: float
    expires_at: float


def key_outcomes(rows: Iterable[tuple[tuple[int, str], Answer, float]]) -> list[KeyOutcome]:
    """What the desk leaves, as rows of the file."""
    return [
        KeyOutcome(cls, key, answer.kind.value, answer.body, answer.retry_after_ms, at)
        for (cls, key), answer, at in rows
    ]


def answer_of(known: KeyOutcome) -> Answer:
    """The outcome that a key stands for."""
    return Answer(AnswerKind(known.kind), known.body, known.retry_after_ms)


def encode(known: Iterable[KeyOutcome]) -> bytes:
    """The file's bytes."""
    rows = b"".join(
        json.dumps(
            [k.class_index, k.key, k.kind, base64.b64encode(k.body).decode(), k.retry_after_ms, k.expires_at]
        ).encode()
        + b"\n"
        for k in known
    )
    return b"%s %d %08x %d\n" % (MAGIC, VERSION, zlib.crc32(rows), len(rows)) + rows


def decode(data: bytes, now: float, classes: int) -> list[KeyOutcome]:
    """The keys that have not lapsed. Refused: torn, of another version, spoilt, or naming an unknown class."""
    head, _, rows = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 4 or words[0] != MAGIC:
        raise HandoverRejectedError("no hand-over header")
    if words[1] != b"%d" % VERSION:
        raise HandoverRejectedError(f"version {words[1][:8].decode('ascii', 'replace')}, not {VERSION}")
    if not words[3].isdigit() or int(words[3]) != len(rows):
        raise HandoverRejectedError(f"torn: {len(rows)} bytes of {words[3][:12].decode('ascii', 'replace')}")
    if words[2] != b"%08x" % zlib.crc32(rows):
        raise HandoverRejectedError("spoilt: the checksum differs")
    out: list[KeyOutcome] = []
    try:
        for line in rows.splitlines():
            cls, key, kind, body, retry, lapses = json.loads(line)
            if not (
                isinstance(cls, int)
                and 0 <= cls < classes
                and isinstance(key, str)
                and kind in ("served", "refused", "failed")
            ):
                raise HandoverRejectedError(f"an entry that names no known class or kind: {line[:60]!r}")
            if not (0 <= float(retry) < math.inf and 0 <= float(lapses) < math.inf):
                raise HandoverRejectedError(f"an entry with a time that is none: {line[-60:]!r}")
            if float(lapses) > now:
                out.append(
                    KeyOutcome(cls, key, kind, base64.b64decode(body, validate=True), float(retry), float(lapses))
                )
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise HandoverRejectedError(f"spoilt entry: {error}") from None
    return sorted(out, key=lambda known: known.expires_at)


class HandoverState(Enum):
    """Where a new process stands with the keys of the one before it."""

    WAITING = "waiting"  # an old process lives: keyed requests are turned away, as they could run twice
    OPEN = "open"


@dataclass(slots=True)
class HandoverReceiver:
    """What a new process does about the keys of an old one.

    `look` is told whether the old process still holds its lock and what the hand-over file holds (None: none
    yet). Keys open once a whole file was read, or once the old process is gone; a refused file is told once and
    then waited past.
    """

    state: HandoverState = HandoverState.OPEN
    rejection: str = ""
    received_count: int = 0

    def poll(self, old_lives: bool, data: bytes | None, now: float, classes: int) -> tuple[list[KeyOutcome], str]:
        """The keys to take now, and a line for the log (empty: nothing new to tell)."""
        if self.state is HandoverState.OPEN:
            return [], ""
        if data is not None and not self.rejection:
            try:
                known = decode(data, now, classes)
            except HandoverRejectedError as why:
                self.rejection = str(why)
                return [], f"hand-over refused: {why}"
            self.state, self.received_count = HandoverState.OPEN, len(known)
            return known, f"hand-over taken: {len(known)} keys"
        if not old_lives:
            self.state = HandoverState.OPEN
            return [], "the old process is gone; keys open without its hand-over"
        return [], ""
