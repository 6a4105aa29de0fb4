"""The file and the folder of a hand-over: a file is accepted or rejected as a whole, and a fault stops no start."""

from __future__ import annotations

import json
import os
import signal
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.exchange import CHARS_PER_HEADER, MAX_KEPT_HEADER_CHARS, Answer, AnswerKind
from myrtlespar.fakes import ThriftClient, server_process, until
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.keys_file import (
    HandoverRejectedError,
    KeyOutcome,
    answer_of,
    decode,
    encode,
    key_outcomes,
    max_file_bytes,
)
from myrtlespar.handover.receiver import HandoverReceiver, HandoverState, ReceivedKeys
from tests.request_classes import KEYED_SETTINGS


def test_a_handover_file_is_accepted_or_rejected_as_a_whole() -> None:
    outcomes = [
        KeyOutcome(2, "k1", "served", b"\x00result", 0.0, 9000.0),
        KeyOutcome(2, "k0", "refused", b"", 250.0, 5000.0),
    ]
    data = encode(outcomes)
    assert decode(data, 1000.0, 3) == sorted(outcomes, key=lambda outcome: outcome.expires_at)
    assert decode(data, 6000.0, 3) == outcomes[:1]  # the expired key is left out
    for malformed, reason in [
        (data[:-3], "truncated"),
        (data.replace(b"keys 1", b"keys 2"), "version"),
        (data.replace(b"k1", b"k2"), "corrupt"),
        (b"", "header"),
    ]:
        with pytest.raises(HandoverRejectedError, match=reason):
            decode(malformed, 1000.0, 3)
    with pytest.raises(HandoverRejectedError, match="class"):
        decode(data, 1000.0, 2)


# Of the greatest length that is kept, with characters that JSON writes as six bytes.
LONGEST_HEADERS = (("\x00" * 1000, "\x01" * (MAX_KEPT_HEADER_CHARS - 1000 - CHARS_PER_HEADER)),)


def test_an_answer_with_longer_headers_is_not_kept() -> None:
    name, value = LONGEST_HEADERS[0]
    assert not Answer(AnswerKind.SERVED, headers=((name, value + "x"),)).may_be_kept(4096)


@pytest.mark.parametrize(
    "answer",
    [
        Answer(AnswerKind.SERVED, b"no", status=409, headers=(("Location", "/a"), ("Set-Cookie", "k=\xe4"))),
        Answer(AnswerKind.SERVED, status=204),
        Answer(AnswerKind.FAILED, b"broken", status=503, headers=(("Retry-After", "7"),)),
        Answer(AnswerKind.FAILED, late=True),
        Answer(AnswerKind.REFUSED, retry_after_ms=250.0),
        Answer(AnswerKind.SERVED, b"result"),
    ],
)
def test_an_answer_is_the_same_after_a_handover(answer: Answer) -> None:
    """Guards against a file that holds a part of the answer: a declined order was answered as done."""
    [outcome] = decode(encode(key_outcomes([((1, "k"), answer, 5000.0)])), 1000.0, 3)
    assert answer_of(outcome) == answer


@pytest.mark.parametrize(
    "fields",
    [
        '409, false, [["a"]]',
        '409, false, [["a", 1]]',
        "409, false, 1",
        "409, false, null",
        "409, 0, []",
        "true, false, []",
        "-1, false, []",
        "1000, false, []",
        '"409", false, []',
        "409, false",
        "409, false, [], 1",
    ],
)
def test_a_row_with_malformed_further_fields_is_rejected(fields: str) -> None:
    row = f'[1, "k", "served", "", 0.0, 5000.0, {fields}]\n'.encode()
    with pytest.raises(HandoverRejectedError):
        decode(b"myrtlespar-keys 1 %08x %d\n" % (zlib.crc32(row), len(row)) + row, 1000.0, 3)


def test_the_longest_file_of_a_full_table_is_not_too_long_for_the_replacement() -> None:
    """Guards against a fixed limit of length: a replacement refused the file of a larger table."""
    longest = Answer(AnswerKind.REFUSED, b"\xff" * 4096, 1e9 / 3, late=True, status=999, headers=LONGEST_HEADERS)
    assert longest.may_be_kept(4096)
    outcomes = key_outcomes(((9, "\x00" * 200), longest, 2e13 / 3) for _ in range(50))
    assert len(encode(outcomes)) <= max_file_bytes(len(outcomes), 4096)


def test_after_a_rejected_file_the_receiver_waits_for_the_end_of_the_old_process() -> None:
    waiting = HandoverReceiver(HandoverState.WAITING)
    assert waiting.poll(True, None, 0.0, 3) == ReceivedKeys([], "")
    assert waiting.poll(True, b"junk", 0.0, 3).log_message.startswith("hand-over refused")
    assert waiting.state is HandoverState.WAITING
    # After a rejection only the end of the old process counts.
    assert waiting.poll(True, encode([]), 0.0, 3) == ReceivedKeys([], "")
    assert waiting.poll(False, None, 0.0, 3).log_message.startswith("the old process is gone")
    assert waiting.state is HandoverState.OPEN  # type: ignore[comparison-overlap]  # poll changes it
    receiving = HandoverReceiver(HandoverState.WAITING)
    received = receiving.poll(True, encode([KeyOutcome(0, "k", "served", b"r", 0.0, 10.0)]), 0.0, 3)
    assert len(received.outcomes) == 1
    assert received.log_message == "hand-over taken: 1 keys"
    assert receiving.state is HandoverState.OPEN


def keys_file(*entries: Any) -> bytes:
    """Return a hand-over file with a valid checksum over arbitrary entries."""
    rows = b"".join(json.dumps(entry).encode() + b"\n" for entry in entries)
    return b"myrtlespar-keys 1 %08x %d\n" % (zlib.crc32(rows), len(rows)) + rows


@pytest.mark.parametrize(
    "entry",
    [
        [0, "k", "served", "", float("nan"), 1e15],
        [0, "k", "served", "", 0, float("inf")],
        [0, "k", "served", "", 10**400, 1e15],
        [0, "k", "served", "", -1, 1e15],
    ],
)
def test_an_entry_with_an_invalid_time_rejects_the_whole_file(entry: list[Any]) -> None:
    with pytest.raises(HandoverRejectedError):
        decode(keys_file(entry), 0.0, 1)


@pytest.mark.parametrize("name", ["n3", "n.3", "n/3", "../n3", "é ß", "n" * 300])
def test_servers_with_different_names_share_no_file(tmp_path: Path, name: str) -> None:
    first = HandoverFolder(str(tmp_path), name)
    second = HandoverFolder(str(tmp_path), name + ".b")
    assert first.acquire_lock()
    assert second.acquire_lock()
    assert not HandoverFolder(str(tmp_path), name).acquire_lock()
    writer = first.begin_keys()
    writer.append(key_outcomes([((0, "k"), Answer(AnswerKind.SERVED, b"r"), 9.0)]))
    assert first.read_keys() is None
    writer.publish()
    assert second.read_keys() is None
    assert decode(first.read_keys() or b"", 0.0, 1) == [KeyOutcome(0, "k", "served", b"r", 0.0, 9.0)]
    assert all(path.parent == tmp_path for path in tmp_path.rglob("*"))


def folder_is_missing(folder: Path) -> None:
    folder.rmdir()


def folder_is_a_file(folder: Path) -> None:
    folder.rmdir()
    folder.write_text("")


def lock_is_a_folder(folder: Path) -> None:
    (folder / "myrtlespar-n3.lock").mkdir()


def keys_are_a_folder(folder: Path) -> None:
    (folder / "myrtlespar-n3.keys").mkdir()


def keys_are_a_pipe(folder: Path) -> None:
    os.mkfifo(folder / "myrtlespar-n3.keys")


def keys_are_endless(folder: Path) -> None:
    with open(folder / "myrtlespar-n3.keys", "wb") as file:
        file.truncate(1 << 40)


def keys_have_huge_numbers(folder: Path) -> None:
    (folder / "myrtlespar-n3.keys").write_bytes(keys_file([0, "k", "served", "", 0, 10**400]))


def keys_are_nested(folder: Path) -> None:
    rows = b"[" * 100_000 + b"\n"
    (folder / "myrtlespar-n3.keys").write_bytes(b"myrtlespar-keys 1 %08x %d\n" % (zlib.crc32(rows), len(rows)) + rows)


@pytest.mark.parametrize(
    "break_folder",
    [
        folder_is_missing,
        folder_is_a_file,
        lock_is_a_folder,
        keys_are_a_folder,
        keys_are_a_pipe,
        keys_are_endless,
        keys_have_huge_numbers,
        keys_are_nested,
    ],
)
def test_an_unusable_folder_or_file_is_counted_and_does_not_prevent_the_start(
    tmp_path: Path, break_folder: Callable[[Path], None]
) -> None:
    shared = tmp_path / "shared"
    shared.mkdir()
    break_folder(shared)
    with server_process(tmp_path, mgmt=True, shared=shared, given=KEYED_SETTINGS) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("tide", b"calls=1")[0] == "success"

        def booked() -> bool:
            return client.ask("booking", b"seat", token="t")[0] == "success"

        until(booked, "a request with a key that is accepted")
        counts = running.counters()
        assert counts.get("handover.unusable", 0) + counts.get("handover.refused", 0) >= 1, counts
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(20) == 0
