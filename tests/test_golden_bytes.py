"""Golden bytes: what one fixed commit wrote is read to the same values and written as the same bytes for ever.

`tests/data/golden/*.json` holds the literal bytes of every format. Each file names its format and has `samples` and
`refused`. The bytes stand as `hex` or, for text, as `text`. A sample has a `value`: what it is read to, by position,
without any name of the code. Where the code reads a sample but writes its value otherwise, the bytes that it writes
stand under `rewritten`. What is `refused` must stay refused.

Neither this file nor the data is edited. `tests/stored_formats.py` follows renames of the code; a new message type or
name gets its sample in a new file beside the others."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.stored_formats import FORMATS, NAMES, replay_status

FOLDER = Path(__file__).parent / "data" / "golden"
FILES = [json.loads(path.read_text()) for path in sorted(FOLDER.glob("*.json"))]
SAMPLES = [(file["format"], sample) for file in FILES for sample in file["samples"]]
REFUSED = [(file["format"], sample) for file in FILES for sample in file["refused"]]


def label(item: Any) -> str:
    """A short name of a test parameter."""
    return str(item["name"]) if isinstance(item, dict) else str(item)


def data_of(entry: dict[str, Any]) -> bytes:
    """The literal bytes of an entry."""
    return bytes.fromhex(entry["hex"]) if "hex" in entry else entry["text"].encode()


def exact(value: Any) -> str:
    """A value as text, so that True differs from 1, and 1 from 1.0."""
    return json.dumps(value)


@pytest.mark.parametrize(("name", "sample"), SAMPLES, ids=label)
def test_bytes_are_read_to_the_recorded_value(name: str, sample: dict[str, Any]) -> None:
    stored = FORMATS[name]
    decoded = stored.decode(data_of(sample))
    assert exact(stored.value(decoded)) == exact(sample["value"])


@pytest.mark.parametrize(("name", "sample"), SAMPLES, ids=label)
def test_a_read_value_is_written_as_the_recorded_bytes(name: str, sample: dict[str, Any]) -> None:
    stored = FORMATS[name]
    written = stored.encode(stored.decode(data_of(sample)))
    assert written == data_of(sample.get("rewritten", sample))


@pytest.mark.parametrize(("name", "sample"), REFUSED, ids=label)
def test_bytes_that_were_refused_are_refused(name: str, sample: dict[str, Any]) -> None:
    stored = FORMATS[name]
    with pytest.raises(stored.refusals):
        stored.decode(data_of(sample))


@pytest.mark.parametrize("sample", [sample for name, sample in SAMPLES if name == "replay"], ids=label)
def test_a_replay_ends_with_the_recorded_status(sample: dict[str, Any]) -> None:
    assert replay_status(data_of(sample)) == sample["status"]


def test_every_format_has_samples_and_refused_bytes() -> None:
    assert {name for name, _ in SAMPLES} == set(FORMATS)
    assert {name for name, _ in REFUSED} == set(FORMATS)


def test_no_two_samples_share_a_name() -> None:
    names = [(name, sample["name"]) for name, sample in SAMPLES + REFUSED]
    assert len(names) == len(set(names))


def peer_states(value: Any) -> Iterator[Any]:
    """The states of members in a datagram: of its sender and of all that it tells about."""
    return (statement[5] for statement in (value[2], *value[6]))


# For each set of names: the format whose values hold them, and where they stand in a value.
PLACES: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "peer message tag": ("peer datagram", lambda value: [value[5][0]]),
    "limits message tag": ("limits message", lambda value: [value[3][0]]),
    "member state": ("peer datagram", peer_states),
    "kind of answer": ("hand-over file", lambda value: (entry[2] for entry in value)),
    "transition": ("trace", lambda value: ((step[0], step[2], step[3]) for step in value[0])),
    "scenario": ("replay", lambda value: [value[0]]),
    "rule": ("replay", lambda value: value[1]),
    "kind of event": ("replay", lambda value: (event[0] for event in value[2])),
    "planted bug": ("replay", lambda value: filter(None, [value[3]])),
}


@pytest.mark.parametrize("names", sorted(set(NAMES) | set(PLACES)))
def test_every_name_that_data_may_hold_has_a_sample(names: str) -> None:
    name, place = PLACES[names]
    held = {found for other, sample in SAMPLES if other == name for found in place(sample["value"])}
    assert held == NAMES[names]
