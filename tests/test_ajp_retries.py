"""Retries with an idempotency key, over AJP and Thrift."""

from __future__ import annotations

from pathlib import Path

from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, server_process, until
from tests.ajp_operator_file import AJP_OPERATOR_FILE


def test_a_retry_over_thrift_gets_the_outcome_of_the_run_that_lost_its_gateway(ajp_server: ServerProcess) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    client = ThriftClient(ajp_server.ports[0])
    gateway.forward("/order", b"ms=300", Idempotency_Key="k1")
    until(lambda: ajp_server.engine.starts)
    gateway.sock.close()
    during = client.ask("order", b"ms=300", idem="k1", again="1")
    after = client.ask("order", b"ms=300", idem="k1", again="1")
    assert during[0] == after[0] == "success"
    assert during[1].body == after[1].body == b"result of ms=300"
    assert FakeGateway(ajp_server.ports[1]).ask("/order", b"ms=300", Idempotency_Key="k1")[2] == b"result of ms=300"
    assert ajp_server.engine.starts_by_body[b"ms=300"] == 1
    assert client.ask("order", b"ms=300", idem="k2")[0] == "success"
    assert ajp_server.engine.starts_by_body[b"ms=300"] == 2


def test_a_retry_of_a_queued_attempt_whose_caller_left_runs_in_its_place_once(ajp_server: ServerProcess) -> None:
    client = ThriftClient(ajp_server.ports[0])
    gateway = FakeGateway(ajp_server.ports[1])
    for _ in range(3):
        client.send("render", b"ms=300")
    until(lambda: ajp_server.engine.starts)
    gateway.forward("/order", b"held", Idempotency_Key="h")
    until(lambda: ajp_server.counters().get("in.request.ajp"))
    repeat = client.send("order", b"held", idem="h")
    until(lambda: ajp_server.counters().get("in.repeat.thrift"))
    gateway.sock.close()
    assert client.answer(repeat)[0] == "success"
    assert ajp_server.engine.starts_by_body[b"held"] == 1


def test_a_retry_of_a_failed_order_is_failed_and_never_starts(ajp_server: ServerProcess) -> None:
    client = ThriftClient(ajp_server.ports[0])
    assert client.ask("order", b"end=FAIL", idem="f")[0] == "failed"
    assert FakeGateway(ajp_server.ports[1]).ask("/order", b"end=FAIL", Idempotency_Key="f")[0] == 500
    assert ajp_server.engine.starts_by_body[b"end=FAIL"] == 1


def test_a_full_table_of_keys_rejects_new_keys_and_forgets_none(tmp_path: Path) -> None:
    with server_process(
        tmp_path, operator=AJP_OPERATOR_FILE.replace("[idempotency]", "[idempotency]\nmost = 1")
    ) as server:
        client = ThriftClient(server.ports[0])
        assert client.ask("order", b"one", idem="1")[0] == "success"
        kind, refusal = client.ask("order", b"two", idem="2")
        assert kind == "refused"
        assert float(refusal.fields["backoff"]) > 0
        assert client.ask("order", b"one", idem="1")[1].body == b"result of one"
        assert server.engine.starts_by_body == {b"one": 1}


def test_a_retry_of_a_refused_order_may_run(ajp_server: ServerProcess) -> None:
    client = ThriftClient(ajp_server.ports[0])
    busy = [client.send("render", b"ms=1500") for _ in range(3)]
    until(lambda: ajp_server.engine.starts)
    held = [client.send("order", b"tried", idem="r"), client.send("order", b"tried", idem="r")]
    assert [client.answer(seq)[0] for seq in held] in (["refused"] * 2, ["success"] * 2)
    assert client.answer(busy[0])[0] == "success"
    assert client.ask("order", b"tried", idem="r")[0] == "success"
    assert ajp_server.engine.starts_by_body[b"tried"] == 1
