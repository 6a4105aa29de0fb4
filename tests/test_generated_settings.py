"""With generated valid settings of all kinds, the server starts, serves requests, reloads and drains."""

from __future__ import annotations

import json
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from myrtlespar.fakes import ThriftClient, server_process, until

EXAMPLES = 25
SLACK_MS = 500.0  # allowed after a deadline: the protocol allows 150 ms, the rest is for a busy machine
numbers = st.one_of(st.integers(0, 5), st.floats(0, 1e6, allow_subnormal=False))
names = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=30)


def optional(**values: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Return tables in which each of these keys may be present, null or absent."""
    return st.fixed_dictionaries({}, optional={key: st.none() | value for key, value in values.items()})


@st.composite
def classes(draw: st.DrawFn) -> list[dict[str, Any]]:
    """Return one to 40 request classes, of any effect."""
    rows = []
    for name in draw(st.lists(names, min_size=1, max_size=draw(st.sampled_from([1, 3, 40])), unique=True)):
        client_timeout_ms = draw(st.sampled_from([60.0, 400.0, 1500.0, 2500]))
        rows.append(
            {
                "name": name,
                "effect": draw(st.sampled_from(["free", "guarded", "single_shot"])),
                "aim_ms": draw(st.sampled_from([0.0, 0.1, client_timeout_ms / 2, client_timeout_ms])),
                "give_up_ms": client_timeout_ms,
                **draw(
                    optional(
                        worth=numbers,
                        late_worth=st.floats(0, 1),
                        window_ms=st.sampled_from([0, 80.5, 3000]),
                        aim_stretch=numbers,
                    )
                ),
            }
        )
    return rows


# This function is long because it lists every setting with its possible values.
@st.composite
def all_settings(draw: st.DrawFn) -> dict[str, Any]:
    """Return a settings object with all required settings and any of the optional ones."""
    rows = draw(classes())
    size = len(rows)
    shares = st.lists(optional(name=names, quota_rps=numbers, share=st.floats(0, 1)), max_size=4)
    return {
        "classes": rows,
        "family_info": {
            "cores": draw(st.sampled_from([1, 2, 0.5, 64])),
            "memory_kb": draw(st.sampled_from([0.0, 500.0, 1e5, 1e9])),
            **draw(
                optional(
                    below=st.sampled_from(["one_for_all", "silent", "tier"]),
                    blowup=st.sampled_from([1, 16.0]),
                    calls_by_class=st.lists(st.booleans(), max_size=size),
                    calls_out=st.sampled_from([0, 0.2, 6.0]),
                    calls_over_ms=numbers,
                    cold=st.booleans(),
                    deep_checks=st.booleans(),
                    degraded_worth=st.lists(st.floats(0, 1), max_size=size),
                    fresh_ms=numbers,
                    gauges=st.lists(st.sampled_from(["cpu_busy", "runnable", "mem_used", "sockets"]), unique=True),
                    halt=st.sampled_from(["silent", "discard", "freeze"]),
                    heeded_ms=numbers,
                    caller_idle_ms=numbers,
                    key_kb=numbers,
                    linger_ms=numbers,
                    list_follows=st.booleans(),
                    passes_deadline=st.booleans(),
                    senders=st.integers(0, 300),
                    signal=st.sampled_from(["floor", "allowance", "weight", "silent", "odd"]),
                    tells_gone=st.booleans(),
                )
            ),
        },
        "invariants": {
            "fall_multiple": draw(st.sampled_from([1, 8.0])),
            "fall_ms": draw(st.sampled_from([100, 1500.0])),
            **draw(
                optional(
                    answer_slack_ms=st.sampled_from([0, 2.5, 100]),
                    cold_from=st.floats(0, 1),
                    drain_grace_ms=st.sampled_from([0, 100, 5000.0]),
                    warm_up_ms=st.sampled_from([0, 500, 15000]),
                )
            ),
        },
        **draw(
            optional(
                areas=st.lists(names),
                clients=optional(marks_retry=st.booleans()),
                over_share_worth=st.floats(0, 1),
                permissions=optional(max_retry_after_ms=numbers, retry_after=st.booleans()),
                projects=shares,
                round_ms=numbers,
                self_index=st.integers(0, 300),
                servers=st.integers(0, 300),
                tier=st.integers(0, 2),
                tiers=st.lists(names),
                worth_by=st.sampled_from(["request", "work"]),
                zone=st.integers(0, 3),
                goal=st.just({}),
                unknown_key=st.just([1]),
            )
        ),
    }


# This test is long because it follows one process from its first request to its exit, as the start of a process takes
# most of the time.
@seed(20261202)
@settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    derandomize=False,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(
    given_settings=all_settings(),
    stop_ms=st.sampled_from([0, 150, 700, 2500]),
    limits=st.sampled_from([{}, {"memory_mb": 30, "sockets": 40}, {"memory_mb": 192, "sockets": 1024}]),
)
def test_valid_settings_are_served_reloaded_and_drained(
    given_settings: dict[str, Any], stop_ms: int, limits: dict[str, int]
) -> None:
    configuration = {"settings": given_settings, "stop_ms": stop_ms, "limits": limits}
    with tempfile.TemporaryDirectory() as folder, server_process(Path(folder), given=configuration) as running:
        client, sent = ThriftClient(running.ports[0]), dict[int, tuple[dict[str, Any], float]]()

        def ask(n: int) -> None:
            row = given_settings["classes"][n % len(given_settings["classes"])]
            seq = client.send(row["name"], b"%d ms=%d calls=%d" % (n, n % 7, n % 3), token=str(n))
            sent[seq] = row, time.time() * 1000

        for n in range(15):
            ask(n)
        running.process.send_signal(signal.SIGHUP)
        until(lambda: running.event("reloaded"))
        check = client.send_message("ping", full=True)
        assert client.answer(check)[0] == "success"
        for n in range(15, 25):
            ask(n)
        until(lambda: running.engine.link)
        if stop_ms < 2500:
            until(lambda: all(seq in client.answers for seq in sent), "answers before the drain")
        running.process.terminate()
        assert running.process.wait(20) == 0, json.dumps(configuration)
        until(lambda: client.ended.is_set(), "the end of the connection")
        until(lambda: running.event("counters"))
        for seq, (row, sent_ms) in sent.items():
            assert client.count[seq] == 1, (row, seq, client.answers)
            assert client.times[seq] - sent_ms < row["give_up_ms"] + SLACK_MS, (row, client.times[seq] - sent_ms)
            kind, value = client.answers[seq]
            if kind == "success":
                assert value.body.startswith(b"result of %d " % (seq - 1 if seq <= 15 else seq - 2))
        started_twice = [body for body, count in running.engine.starts_by_body.items() if count > 1]
        assert not started_twice
        assert set(client.count) == {*sent, check}
        is_hint_sent = given_settings["family_info"].get("signal") in ("floor", "allowance", "weight")
        fields = [value.fields for kind, value in client.answers.values() if kind != "exception"]
        assert all(("hint" in table) == is_hint_sent for table in fields)
        counts = running.event("counters") or {}
        assert not [
            name
            for name in counts
            if name.startswith(("impossible", "core.fault", "uncaught", "fault.")) or "fault" in name
        ], counts
