"""The management address, its figures, the drain it asks for, and the hand-over to a second process."""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import pytest

from myrtlespar.admin.commands import LINE_MOST, AdminCommands, MetricsSnapshot, exposition
from myrtlespar.fakes import ROOT, ThriftClient, server_process, until
from myrtlespar.fakes.tcp_server import exactly
from myrtlespar.handover.keys_file import (
    HandoverReceiver,
    HandoverRejectedError,
    HandoverState,
    KnownKey,
    decode,
    encode,
)
from myrtlespar.net.codec.thrift import encode as encode_message
from myrtlespar.net.codec.thrift import idl
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle, ProcessState
from tests.conftest import HandoverFolders

KIND = {"success": "succeeded", "refused": "declined", "failed": "aborted"}


def test_each_call_is_done_and_bad_lines_are_errors_that_name_them() -> None:
    ops = AdminCommands()
    assert ops.handle_line(b"STATUS", 0.0, ready=False) == (b"done no\n", False)
    assert ops.handle_line(b"STATUS\r", 0.0, ready=True) == (b"done yes\n", False)
    assert ops.handle_line(b"RESUME", 1.0, True)[0].startswith(b"done")  # one without a PAUSE is no fault
    assert ops.handle_line(b"PAUSE", 2.0, True)[0] == b"done paused\n"
    assert ops.paused
    assert ops.paused_at == 2.0
    assert ops.handle_line(b"PAUSE", 3.0, True)[0].startswith(b"done")
    assert ops.paused_at == 2.0
    assert ops.pause_count == 1
    assert not ops.is_healthy(True)
    assert ops.handle_line(b"RESUME", 4.0, True)[0] == b"done resumed\n"
    assert ops.is_healthy(True)
    assert not ops.is_healthy(False)
    assert ops.handle_line(b"", 5.0, True) == (b"error empty line\n", False)
    assert ops.handle_line(b"FLY away", 5.0, True) == (b"error unknown call 'FLY away'\n", False)
    assert ops.handle_line(b"X" * (LINE_MOST + 1), 5.0, True) == (b"error line longer than 256 bytes\n", True)


def test_figures_are_prometheus_text_with_a_type_for_each_family() -> None:
    text = exposition(MetricsSnapshot(["render", "order"], [[3, 1, 0], [0, 0, 2]], [4, 2], 5)).decode()
    assert 'app_succeeded{service="render"} 3\n' in text
    assert 'app_aborted{service="order"} 2\n' in text
    assert 'app_declined{service="render"} 1\n' in text
    assert 'app_forwards{service="order"} 2\n' in text
    assert "# TYPE app_outstanding gauge\napp_outstanding 5\n" in text
    assert all(
        re.fullmatch(r'(# TYPE app_\w+ (counter|gauge))|(app_\w+(\{service="\w+"\})? \d+)', line)
        for line in text.splitlines()
    )


def test_a_hand_over_bars_nothing_closes_at_once_and_is_answered_before_the_kill() -> None:
    process = ProcessLifecycle(stop_ms=10000.0, grace_ms=1000.0, sweep_ms=50.0, flush_ms=300.0, crossing_ms=50.0)
    assert process.handover(1000.0, 3700.0) == (ProcessAction.CLOSE_LISTENERS, ProcessAction.ASK_CLIENTS)
    assert process.state == ProcessState.CROSSING
    assert process.may_start(9000.0)
    assert process.answer_deadline() == 1000.0 + 3700.0 - 2 * 50.0  # a sweep may come one sweep late
    assert process.handover(1200.0, 3700.0) == ()
    assert process.kill_at == 4700.0
    assert process.poll(1040.0, owed=0) == ()
    assert process.poll(1060.0, owed=0) == (ProcessAction.FLUSH,)


def mgmt_answer(port: int, data: bytes) -> tuple[bytes, float]:
    began = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(data)
        reply = b""
        while chunk := sock.recv(65536):
            reply += chunk
    return reply, time.monotonic() - began


def test_management_answers_while_callers_hold_half_lines_and_clients_press(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        assert server.ask(b"STATUS\n") == "done yes\n"
        assert server.mgmt is not None
        holders = [socket.create_connection(("127.0.0.1", server.mgmt)) for _ in range(50)]
        for holder in holders:
            holder.sendall(b"STA")
        clients = [ThriftClient(server.ports[0]) for _ in range(4)]
        sent = [(client, client.send("render", b"ms=300")) for client in clients for _ in range(32)]
        waits = [mgmt_answer(server.mgmt, b"STATUS\n") for _ in range(10)]
        assert all(reply == b"done yes\n" for reply, _ in waits)
        assert max(took for _, took in waits) < 1.0, waits
        assert all(client.answer(seq)[0] for client, seq in sent)
        for holder in holders:
            holder.close()
        reply, _ = mgmt_answer(server.mgmt, b"Z" * 400 + b"\n")
        assert reply.startswith(b"error line longer")


def test_figures_match_the_outcomes_of_a_burst_exactly(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        clients = [ThriftClient(server.ports[0]) for _ in range(3)]
        bodies = [("render", b"ms=200"), ("fetch", b"end=FAIL"), ("order", b"ms=5"), ("render", b"ms=400")]
        sent = [(client, method, client.send(method, body)) for client in clients for method, body in bodies * 6]
        seen = Counter((method, KIND[client.answer(seq)[0]]) for client, method, seq in sent)
        reply = server.ask(b"METRICS\n")
        assert reply.startswith("done\n")
        assert reply.endswith("end\n")
        figures = dict(re.findall(r'^(app_\w+\{service="\w+"\}) (\d+)$', reply, re.M))
        for method in ("render", "fetch", "order"):
            for kind in KIND.values():
                assert int(figures[f'app_{kind}{{service="{method}"}}']) == seen[method, kind], (method, kind)
        assert re.search(r"^app_outstanding 0$", reply, re.M)
        forwards = sum(int(figures[f'app_forwards{{service="{m}"}}']) for m in ("render", "fetch", "order"))
        assert forwards == sum(server.kernel.by_body.values())


def test_pause_makes_health_bad_at_once_and_resume_good_again(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        client = ThriftClient(server.ports[0])
        assert client.answer(client.say("ping", full=True))[1].good
        assert server.ask(b"PAUSE\n") == "done paused\n"
        assert not client.answer(client.say("ping", full=True))[1].good
        assert client.ask("render", b"ms=5")[0] == "success"  # what still arrives is answered as usual
        assert server.ask(b"PAUSE\n").startswith("done")
        assert server.ask(b"RESUME\n") == "done resumed\n"
        assert client.answer(client.say("ping", full=True))[1].good


@pytest.mark.parametrize("value", ["nowhere", "taken"])
def test_a_bad_management_address_is_one_line_and_exit_2(tmp_path: Path, value: str) -> None:
    from myrtlespar.fakes.server_process import settings

    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:9",
        "store": "127.0.0.1:9",
        "roster": "127.0.0.1:9",
        "seed": "1",
        "settings": settings(),
        "mgmt": value,
    }
    taken = socket.create_server(("127.0.0.1", 0))
    if value == "taken":
        config["mgmt"] = f"127.0.0.1:{taken.getsockname()[1]}"
    (tmp_path / "c.json").write_text(json.dumps(config))
    env = {**os.environ, "BALANCER_CONFIG": str(tmp_path / "c.json")}
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 2 and done.stderr.startswith("mgmt") and done.stderr.count("\n") == 1, done.stderr
    taken.close()


def test_a_handover_file_is_taken_whole_or_refused_whole() -> None:
    known = [KnownKey(2, "k1", "served", b"\x00result", 0.0, 9000.0), KnownKey(2, "k0", "refused", b"", 250.0, 5000.0)]
    data = encode(known)
    assert decode(data, 1000.0, 3) == sorted(known, key=lambda one: one.expires_at)
    assert decode(data, 6000.0, 3) == known[:1]  # what lapsed is left out
    for spoilt, why in [
        (data[:-3], "torn"),
        (data.replace(b"keys 1", b"keys 2"), "version"),
        (data.replace(b"k1", b"k2"), "spoilt"),
        (b"", "header"),
    ]:
        with pytest.raises(HandoverRejectedError, match=why):
            decode(spoilt, 1000.0, 3)
    with pytest.raises(HandoverRejectedError, match="class"):
        decode(data, 1000.0, 2)


def test_a_successor_waits_past_a_refused_file_until_the_old_process_is_gone() -> None:
    waiting = HandoverReceiver(HandoverState.WAITING)
    assert waiting.poll(True, None, 0.0, 3) == ([], "")
    assert waiting.poll(True, b"junk", 0.0, 3)[1].startswith("hand-over refused")
    state_after_refusal = waiting.state
    assert state_after_refusal is HandoverState.WAITING
    assert waiting.poll(True, encode([]), 0.0, 3) == ([], "")  # refused once: only the old one's end opens
    assert waiting.poll(False, None, 0.0, 3)[1].startswith("the old process is gone")
    assert waiting.state is HandoverState.OPEN
    taking = HandoverReceiver(HandoverState.WAITING)
    keys, line = taking.poll(True, encode([KnownKey(0, "k", "served", b"r", 0.0, 10.0)]), 0.0, 3)
    assert len(keys) == 1
    assert line == "hand-over taken: 1 keys"
    assert taking.state is HandoverState.OPEN


def ask_as_a_proxy(port: int) -> str:
    """One request as a client proxy sends it: sent once more on a new connection if it crossed a shutdown."""
    for _ in range(2):
        try:
            client = ThriftClient(port)
        except OSError as error:
            return f"refused: {error}"
        seq = client.send("render", b"ms=20")
        until(lambda: seq in client.answers or client.ended.is_set(), "an answer or the end")  # noqa: B023
        client.sock.close()
        if seq in client.answers:
            return str(client.answers[seq][0])
        if "shutdown" not in client.told:
            return "closed unheard"
    return "closed unheard twice"


@pytest.mark.parametrize("kill_new", [False, True])
def test_a_replacement_under_load_turns_nobody_away(handover_folders: HandoverFolders, kill_new: bool) -> None:
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared) as old:
        port, results, stop = old.ports[0], [], threading.Event()

        def load() -> None:
            for _ in range(2000):  # bounded, and ended by `stop` much sooner
                if stop.is_set():
                    return
                results.append(ask_as_a_proxy(port))

        held = ThriftClient(port)
        slow = [held.send("render", b"ms=700") for _ in range(8)]
        loaders = [threading.Thread(target=load) for _ in range(4)]
        for loader in loaders:
            loader.start()
        with server_process(
            handover_folders.new, mgmt=True, shared=handover_folders.shared, listen=f"127.0.0.1:{port}"
        ) as new:
            until(lambda: new.ask(b"STATUS\n") == "done yes\n", "the new process ready")
            if kill_new:  # the new process dies mid-hand-over: the old one goes on alone
                new.process.kill()
                new.process.wait(10)
                time.sleep(0.3)  # under load: the old one must go on for some time, not only answer once
                assert old.ask(b"STATUS\n") == "done yes\n"
            else:
                old.process.terminate()
                assert old.process.wait(10) == 0
                assert old.event("keys left for the next process") is not None
            assert {held.answer(seq)[0] for seq in slow} <= {"success", "refused"}  # each read one is answered
            seen = len(results)
            until(lambda: len(results) > seen + 20, "requests after the hand-over")
            stop.set()
            for loader in loaders:
                loader.join(30)
        assert len(results) > 20 and set(results) <= {"success", "refused"}, Counter(results)


def test_a_second_process_that_is_refused_its_start_takes_no_connection(tmp_path: Path) -> None:
    """It found the operators' address taken only after it had listened beside the first: what connected in between
    was dropped unheard.
    """
    with server_process(tmp_path, mgmt=True) as old:
        path, listen = tmp_path / "new.json", f"127.0.0.1:{old.ports[0]}"
        path.write_text(json.dumps({**old.config, "listen": listen, "mgmt": f"127.0.0.1:{old.mgmt}"}))
        env = {**os.environ, "BALANCER_CONFIG": str(path)}
        check = encode_message("ping", 1, 1, idl.Front.ping_args(full=False))
        for _ in range(3):
            new = subprocess.Popen(
                [sys.executable, "-m", "myrtlespar"],
                cwd=ROOT,
                env=env,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE,
            )
            held: list[socket.socket] = []
            while new.poll() is None and len(held) < 400:
                held.append(socket.create_connection(("127.0.0.1", old.ports[0]), 10))
                held[-1].sendall(check)  # answered at once, and from then on no silent client that is closed
                assert len(exactly(held[-1], int.from_bytes(exactly(held[-1], 4), "big"))) > 8
                time.sleep(0.008)  # over all of its life: it tries the address again for a second
            assert new.wait(20) == 2
            assert b"mgmt" in new.communicate()[1]
            assert old.ask(b"STATUS\n") == "done yes\n"  # the old one goes on, with all that is connected to it
            for sock in held:
                sock.setblocking(False)
                with pytest.raises(BlockingIOError):  # neither closed nor reset
                    sock.recv(1)
                sock.close()


def test_an_order_run_by_the_old_process_is_not_run_again_by_the_new(handover_folders: HandoverFolders) -> None:
    keyed = '[idempotency]\nthrift_field = "key"\n'
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared, operator=keyed) as old:
        port = old.ports[0]
        assert ThriftClient(port).ask("order", b"ms=5 once", key="k-1")[0] == "success"
        with server_process(
            handover_folders.new, mgmt=True, shared=handover_folders.shared, operator=keyed, listen=f"127.0.0.1:{port}"
        ) as new:
            assert new.event("an old process lives: keys wait for its hand-over") is not None
            old.process.terminate()
            assert old.process.wait(10) == 0
            until(lambda: new.event("hand-over taken: 1 keys"), "the keys taken")
            kind, answer = ThriftClient(port).ask("order", b"ms=5 once", key="k-1")
            assert kind == "success"
            assert answer.body == b"result of ms=5 once"
            assert new.kernel.by_body[b"ms=5 once"] == 0
            assert old.kernel.by_body[b"ms=5 once"] == 1
            assert ThriftClient(port).ask("order", b"ms=5 twice", key="k-2")[0] == "success"
            assert new.kernel.by_body[b"ms=5 twice"] == 1


def test_an_order_that_still_runs_when_its_process_leaves_is_not_run_again(handover_folders: HandoverFolders) -> None:
    """The checker found it: its key was in nobody's hand-over, as only outcomes were left to the next process."""
    keyed = '[idempotency]\nthrift_field = "key"\n'
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared, operator=keyed) as old:
        port = old.ports[0]
        client = ThriftClient(port)
        client.send("order", b"ms=6000 slow", key="k-1")
        until(lambda: old.kernel.by_body[b"ms=6000 slow"], "the run")
        client.sock.close()  # nobody waits for it now
        with server_process(
            handover_folders.new, mgmt=True, shared=handover_folders.shared, operator=keyed, listen=f"127.0.0.1:{port}"
        ) as new:
            old.process.terminate()
            assert old.process.wait(10) == 0
            until(lambda: new.event("hand-over taken: 1 keys"), "the keys taken")
            assert ThriftClient(port).ask("order", b"ms=6000 slow", key="k-1")[0] == "failed"
            assert new.kernel.by_body[b"ms=6000 slow"] == 0
            assert old.kernel.by_body[b"ms=6000 slow"] == 1
