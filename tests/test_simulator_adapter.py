"""The simulator adapter: translation of events and actions, and errors for malformed input."""

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.policy import messages as api
from myrtlespar.policy.settings_reader import read_settings
from myrtlespar.simulator_adapter import (
    EVENT_READERS,
    MalformedInputError,
    PolicyHost,
    parse_batch,
    serve,
)

ROOT = Path(__file__).parent.parent


def params() -> dict[str, Any]:
    """Return the settings object of a minimal "begin" event."""
    return {
        "classes": [{"aim_ms": 1000.0, "give_up_ms": 4000.0, "effect": "free", "worth": 1.0}],
        "family_info": {
            "cores": 2,
            "memory_kb": 5000.0,
            "blowup": 4.0,
            "gauges": ["cpu_busy"],
            "signal": "floor",
        },
        "invariants": {"fall_multiple": 3.0, "fall_ms": 2000.0, "answer_slack_ms": 60.0},
        "permissions": {"max_retry_after_ms": 1000.0, "retry_after": True},
        "unknown": 1,
    }


def begin(name: str = "backend/0", **changes: Any) -> dict[str, Any]:
    return {"backend": name, "arrivals": [{"type": "begin", "prng": 1, "params": {**params(), **changes}}]}


def batch(now: float, *rows: dict[str, Any]) -> dict[str, Any]:
    return {"sim_time_ms": now, "backends": list(rows)}


def test_round_trip() -> None:
    host = PolicyHost()
    host.batch(batch(0, begin()))
    reply = host.batch(
        batch(
            5,
            {
                "backend": "backend/0",
                "arrivals": [
                    {"type": "accept", "xid": "rq_a", "grade": 0, "mem_kb": 20.0, "new": 3},
                    {"type": "novel"},
                ],
            },
        )
    )
    assert {"type": "start", "xid": "rq_a"} in reply["backends"][0]["out"]
    ended = host.batch(
        batch(
            90,
            {
                "backend": "backend/0",
                "arrivals": [{"type": "finished", "xid": "rq_a", "status": 100, "elapsed_ms": 85.0}],
            },
        )
    )
    assert not any(a["type"] == "bug" for row in ended["backends"] for a in row["out"])


def test_halt_and_begin_in_one_batch_start_a_clean_instance() -> None:
    host = PolicyHost()
    host.batch(batch(0, begin()))
    host.batch(batch(5, {"backend": "backend/0", "arrivals": [{"type": "accept", "xid": "rq_a", "mem_kb": 20.0}]}))
    restart = begin()
    restart["arrivals"].insert(0, {"type": "halt"})
    host.batch(batch(10, restart))
    assert not host._policies["backend/0"].table.requests


def test_missing_setting_is_named_in_a_bug() -> None:
    reply = PolicyHost().batch(batch(0, begin(family_info={"cores": 2})))
    assert reply["backends"][0]["out"] == [{"type": "bug", "message": "missing setting family_info.memory_kb"}]


def test_exception_in_the_policy_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    host = PolicyHost()
    host.batch(batch(0, begin()))

    def broken(now: float, events: object) -> None:
        raise ValueError("odd state")

    monkeypatch.setattr(host._policies["backend/0"], "handle", broken)
    reply = host.batch(batch(1, {"backend": "backend/0", "arrivals": []}))
    assert reply["backends"][0]["out"] == [{"type": "bug", "message": "ValueError: odd state"}]


def test_events_of_unknown_requests_and_instances_change_nothing() -> None:
    host = PolicyHost()
    rows = [
        {"type": "finished", "xid": "rq_x", "status": 100},
        {"type": "abandoned", "xid": "rq_x"},
        {"type": "returned", "xid": "rq_x", "status": 302},
        {"type": "wants_call", "xid": "rq_x"},
    ]
    assert host.batch(batch(0, {"backend": "backend/9", "arrivals": rows})) == {"backends": []}
    host.batch(batch(0, begin()))
    assert host.batch(batch(1, {"backend": "backend/0", "arrivals": rows})) == {"backends": []}


@pytest.mark.parametrize(
    "line",
    [
        "{",
        "[]",
        "{}",
        '{"sim_time_ms":1,"backends":[3]}',
        '{"sim_time_ms":1,"backends":[{"backend":"b","arrivals":4}]}',
    ],
)
def test_error_of_a_malformed_line_names_the_line(line: str) -> None:
    with pytest.raises(MalformedInputError, match="input line 4"):
        parse_batch(line, 4)


def test_malformed_line_ends_the_process_with_a_one_line_error() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar.simulator_adapter"],
        input='{"sim_time_ms":0,"backends":[]}\nnope\n',
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == 1
    assert done.stdout == '{"backends":[]}\n'
    assert len(done.stderr.splitlines()) == 1
    assert "input line 2" in done.stderr


def test_serving_ends_with_the_input() -> None:
    out = io.StringIO()
    serve([json.dumps(batch(0))], out)
    assert out.getvalue() == '{"backends":[]}\n'


def test_instances_act_independently_of_each_other() -> None:
    def play(names: list[str]) -> dict[str, list[Any]]:
        host = PolicyHost()
        seen: dict[str, list[Any]] = {name: [] for name in names}
        for step in range(40):
            rows = [
                begin(name)
                if step == 0
                else {
                    "backend": name,
                    "arrivals": [
                        {"type": "accept", "xid": f"rq_{name[-1]}{step}", "mem_kb": 9.0},
                        {"type": "timer", "nonce": 0},
                    ],
                }
                for name in names
            ]
            for row in host.batch(batch(step * 20.0, *rows))["backends"]:
                seen[row["backend"]].append(row["out"])
        return seen

    together = play(["backend/1", "backend/2"])
    assert together["backend/1"] == play(["backend/1"])["backend/1"]
    assert together["backend/2"] == play(["backend/2"])["backend/2"]


def arrive(id: str, **fields: Any) -> dict[str, Any]:
    return {"type": "accept", "xid": id, "grade": 0, "mem_kb": 10.0, **fields}


def test_cost_hints_and_retry_marks_are_read_only_if_their_bits_are_set() -> None:
    read = EVENT_READERS["accept"]
    assert read(arrive("a", bits=3, hint_ms=40.0)) == api.Arrival("a", 0, 10.0, is_retry=True, cost_hint_ms=40.0)
    assert read(arrive("b", bits=4, hint_ms=40.0)) == api.Arrival("b", 0, 10.0)
    assert read(arrive("c", bits=None, hint_ms=None)) == api.Arrival("c", 0, 10.0)


@pytest.mark.parametrize(
    ("halt", "allowed"),
    [("discard", True), ("freeze", True), ("silent", False), ("odd", False), (None, False)],
)
def test_stop_is_written_only_where_it_is_allowed(halt: str | None, allowed: bool) -> None:
    host = PolicyHost()
    first = begin()
    first["arrivals"][0]["params"]["family_info"]["halt"] = halt
    host.batch(batch(0, first))
    host.batch(batch(10, {"backend": "backend/0", "arrivals": [arrive("a")]}))
    tick = {"type": "timer", "nonce": 0, "feedback": [1.0]}
    reply = host.batch(batch(1100, {"backend": "backend/0", "arrivals": [tick]}))
    kinds = [action["type"] for action in reply["backends"][0]["out"]]
    assert ("stop" in kinds) is allowed


def test_unknown_values_of_settings_are_treated_as_defaults() -> None:
    odd = {**params(), "worth_by": "moon", "clients": None, "goal": None}
    odd["family_info"] = {**odd["family_info"], "signal": "odd", "halt": "odd"}
    settings = read_settings(odd)
    assert not settings.can_stop
    assert not settings.weight_by_work
    assert not settings.marks_retries
    assert settings.signal is api.LoadSignal.NONE
