"""Reloading the configuration: new addresses, invalid files and partly written files."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)
from tests.conftest import HandoverFolders


def test_a_reload_under_load_moves_every_link_and_loses_nothing(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seqs: list[int] = []
    for n in range(5):
        server.dependency.script = ["slow"]
        calls_before = len(server.dependency.calls)  # one call is in flight while the links move
        seqs += [client.send(method, b"ms=40 calls=2") for method in ("order", "render")]
        until(lambda: len(server.dependency.calls) >= calls_before + 3)  # noqa: B023
        old = [*server.dependency.links, *server.registry.links]
        server.move_fakes()
        seqs += [client.send(method, b"ms=40 calls=2") for method in ("order", "render")]
        until(lambda: len([row for row in server.log if row["event"] == "kernel up"]) > n + 1)  # noqa: B023
        for seq in seqs:
            client.answer(seq)  # from now on nothing is in flight on the old links
        server.dependency.cut(*old)
    assert [client.answer(seq)[0] for seq in seqs] == ["success"] * len(seqs)
    assert set(server.engine.starts.values()) == {1}
    counts = server.counters()
    reports = len(server.registry.reports)
    assert not counts.get("kernel.repeated")
    assert not counts.get("store.cut_off")
    assert counts["reload.done"] == 5
    until(lambda: len(server.registry.reports) > reports)


@pytest.mark.parametrize(
    ("text", "fault"),
    [("{", "BALANCER_CONFIG: not JSON"), ("{}", "settings.family_info: "), (None, "kernel: expected HOST:PORT")],
)
def test_a_reload_of_an_invalid_file_keeps_the_old_configuration(
    server: ServerProcess, text: str | None, fault: str
) -> None:
    path = server.path
    path.write_text(json.dumps({**server.config, "kernel": 7}) if text is None else text)
    server.process.send_signal(signal.SIGHUP)
    assert until(lambda: server.event("reload refused"))["error"].startswith(fault)
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == "success"


def test_a_reload_of_a_partly_written_file_is_logged_and_applied_once_it_is_complete(tmp_path: Path) -> None:
    with server_process(tmp_path) as running:
        old_engine = running.engine
        running.engine = type(old_engine)()
        text = json.dumps({**running.config, "kernel": running.engine.address})
        running.path.write_text(text[:-20])
        running.process.send_signal(signal.SIGHUP)
        assert until(lambda: running.event("reload refused"))["error"].startswith("BALANCER_CONFIG: not JSON")
        running.path.write_text(text)
        until(lambda: running.event("reloaded"))
        assert ThriftClient(running.ports[0]).ask("order", b"on the new link")[0] == "success"
        assert running.engine.starts_by_body[b"on the new link"] == 1
        old_engine.down()


def test_a_reload_during_a_hand_over_moves_the_links_on_which_runs_end(handover_folders: HandoverFolders) -> None:
    shared = {"mgmt": True, "shared": handover_folders.shared}
    with (
        server_process(handover_folders.old, **shared) as running,
        server_process(handover_folders.new, **shared),  # the replacement, without which SIGTERM is no hand-over
    ):
        client = ThriftClient(running.ports[0])
        running.dependency.script = ["hang"]
        seq = client.send("order", b"calls=1")
        until(lambda: running.dependency.calls)
        running.process.terminate()
        until(lambda: running.event("handing over"))
        until(lambda: client.one_way_messages)
        running.engine.relisten()
        running.config["kernel"] = running.engine.address
        running.path.write_text(json.dumps(running.config))
        running.process.send_signal(signal.SIGHUP)
        until(lambda: sum(row["event"] == "kernel up" for row in running.log) == 2)
        running.engine.note(t="REAP", rid=next(iter(running.engine.running)), status="PASS", time_ms=5, b64="")
        assert client.answer(seq)[0] == "success"
        assert running.process.wait(20) == 0
