"""The management address, its figures, the drain it asks for, and the hand-over to a second process."""

from __future__ import annotations

import re
import socket
import time
from collections import Counter
from pathlib import Path

import pytest

from myrtlespar.attempt.process import Act, Process, Stage
from myrtlespar.ops.desk import LINE_MOST, Desk, Figures, exposition
from myrtlespar.standins import Client, tile

KIND = {"success": "succeeded", "refused": "declined", "failed": "aborted"}


def test_each_call_is_done_and_bad_lines_are_errors_that_name_them() -> None:
    desk = Desk()
    assert desk.line(b"STATUS", 0.0, ready=False) == (b"done no\n", False)
    assert desk.line(b"STATUS\r", 0.0, ready=True) == (b"done yes\n", False)
    assert desk.line(b"RESUME", 1.0, True)[0].startswith(b"done")  # one without a PAUSE is no fault
    assert desk.line(b"PAUSE", 2.0, True)[0] == b"done paused\n" and desk.paused and desk.paused_at == 2.0
    assert desk.line(b"PAUSE", 3.0, True)[0].startswith(b"done") and desk.paused_at == 2.0 and desk.pauses == 1
    assert not desk.good(True)
    assert desk.line(b"RESUME", 4.0, True)[0] == b"done resumed\n" and desk.good(True) and not desk.good(False)
    assert desk.line(b"", 5.0, True) == (b"error empty line\n", False)
    assert desk.line(b"FLY away", 5.0, True) == (b"error unknown call 'FLY away'\n", False)
    assert desk.line(b"X" * (LINE_MOST + 1), 5.0, True) == (b"error line longer than 256 bytes\n", True)


def test_figures_are_prometheus_text_with_a_type_for_each_family() -> None:
    text = exposition(Figures(["render", "order"], [[3, 1, 0], [0, 0, 2]], [4, 2], 5)).decode()
    assert 'app_succeeded{service="render"} 3\n' in text and 'app_aborted{service="order"} 2\n' in text
    assert 'app_declined{service="render"} 1\n' in text and 'app_forwards{service="order"} 2\n' in text
    assert "# TYPE app_outstanding gauge\napp_outstanding 5\n" in text
    assert all(re.fullmatch(r'(# TYPE app_\w+ (counter|gauge))|(app_\w+(\{service="\w+"\})? \d+)', line)
               for line in text.splitlines())


def test_a_hand_over_bars_nothing_closes_at_once_and_is_answered_before_the_kill() -> None:
    process = Process(stop_ms=10000.0, grace_ms=1000.0, sweep_ms=50.0, flush_ms=300.0, crossing_ms=50.0)
    assert process.handover(1000.0, 3700.0) == (Act.CLOSE_LISTENERS, Act.ASK_CLIENTS)
    assert process.stage == Stage.CROSSING and process.may_start(9000.0)  # no notice to drain: nothing barred
    assert process.answer_by() == 1000.0 + 3700.0 - 50.0
    assert process.handover(1200.0, 3700.0) == () and process.kill_at == 4700.0
    assert process.look(1040.0, owed=0) == () and process.look(1060.0, owed=0) == (Act.FLUSH,)


def mgmt_answer(port: int, data: bytes) -> tuple[bytes, float]:
    began = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(data)
        reply = b""
        while chunk := sock.recv(65536):
            reply += chunk
    return reply, time.monotonic() - began


def test_management_answers_while_callers_hold_half_lines_and_clients_press(tmp_path: Path) -> None:
    with tile(tmp_path, mgmt=True) as server:
        assert server.ask(b"STATUS\n") == "done yes\n"
        holders = [socket.create_connection(("127.0.0.1", server.mgmt)) for _ in range(50)]
        for holder in holders:
            holder.sendall(b"STA")
        clients = [Client(server.ports[0]) for _ in range(4)]
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
    with tile(tmp_path, mgmt=True) as server:
        clients = [Client(server.ports[0]) for _ in range(3)]
        bodies = [("render", b"ms=200"), ("fetch", b"end=FAIL"), ("order", b"ms=5"), ("render", b"ms=400")]
        sent = [(client, method, client.send(method, body)) for client in clients for method, body in bodies * 6]
        seen = Counter((method, KIND[client.answer(seq)[0]]) for client, method, seq in sent)
        reply = server.ask(b"METRICS\n")
        assert reply.startswith("done\n") and reply.endswith("end\n")
        figures = dict(re.findall(r'^(app_\w+\{service="\w+"\}) (\d+)$', reply, re.M))
        for method in ("render", "fetch", "order"):
            for kind in KIND.values():
                assert int(figures[f'app_{kind}{{service="{method}"}}']) == seen[method, kind], (method, kind)
        assert re.search(r"^app_outstanding 0$", reply, re.M)
        forwards = sum(int(figures[f'app_forwards{{service="{m}"}}']) for m in ("render", "fetch", "order"))
        assert forwards == sum(server.kernel.by_body.values())


def test_pause_makes_health_bad_at_once_and_resume_good_again(tmp_path: Path) -> None:
    with tile(tmp_path, mgmt=True) as server:
        client = Client(server.ports[0])
        assert client.answer(client.say("ping", full=True))[1].good
        assert server.ask(b"PAUSE\n") == "done paused\n"
        assert not client.answer(client.say("ping", full=True))[1].good
        assert client.ask("render", b"ms=5")[0] == "success"  # what still arrives is answered as usual
        assert server.ask(b"PAUSE\n").startswith("done") and server.ask(b"RESUME\n") == "done resumed\n"
        assert client.answer(client.say("ping", full=True))[1].good


@pytest.mark.parametrize("value", ["nowhere", "taken"])
def test_a_bad_management_address_is_one_line_and_exit_2(tmp_path: Path, value: str) -> None:
    import json
    import os
    import subprocess
    import sys

    from myrtlespar.standins import ROOT
    from myrtlespar.standins.program import settings

    config = {"name": "n", "listen": "127.0.0.1:0", "kernel": "127.0.0.1:9", "store": "127.0.0.1:9",
              "roster": "127.0.0.1:9", "seed": "1", "settings": settings(), "mgmt": value}
    taken = socket.create_server(("127.0.0.1", 0))
    if value == "taken":
        config["mgmt"] = f"127.0.0.1:{taken.getsockname()[1]}"
    (tmp_path / "c.json").write_text(json.dumps(config))
    env = {**os.environ, "BALANCER_CONFIG": str(tmp_path / "c.json")}
    done = subprocess.run([sys.executable, "-m", "myrtlespar"], cwd=ROOT, env=env, capture_output=True, text=True,
                          timeout=60, check=False)
    assert done.returncode == 2 and done.stderr.startswith("mgmt") and done.stderr.count("\n") == 1, done.stderr
    taken.close()
