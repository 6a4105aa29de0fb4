"""The metrics of one process: their format, and that they match the answers that clients received."""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

from myrtlespar.admin.metrics import MetricsSnapshot, exposition
from myrtlespar.fakes import ThriftClient, server_process

METRIC_OF_ANSWER = {"success": "succeeded", "refused": "declined", "failed": "aborted"}


def test_metrics_are_prometheus_text_with_a_type_for_each_family() -> None:
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


def test_metrics_match_the_outcomes_of_a_burst_exactly(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        clients = [ThriftClient(server.ports[0]) for _ in range(3)]
        bodies = [("render", b"ms=200"), ("fetch", b"end=FAIL"), ("order", b"ms=5"), ("render", b"ms=400")]
        sent = [(client, method, client.send(method, body)) for client in clients for method, body in bodies * 6]
        received = Counter((method, METRIC_OF_ANSWER[client.answer(seq)[0]]) for client, method, seq in sent)
        reply = server.ask(b"METRICS\n")
        assert reply.startswith("done\n")
        assert reply.endswith("end\n")
        metrics = dict(re.findall(r'^(app_\w+\{service="\w+"\}) (\d+)$', reply, re.M))
        for method in ("render", "fetch", "order"):
            for kind in METRIC_OF_ANSWER.values():
                assert int(metrics[f'app_{kind}{{service="{method}"}}']) == received[method, kind], (method, kind)
        assert re.search(r"^app_outstanding 0$", reply, re.M)
        forwards = sum(int(metrics[f'app_forwards{{service="{m}"}}']) for m in ("render", "fetch", "order"))
        assert forwards == sum(server.engine.starts_by_body.values())
