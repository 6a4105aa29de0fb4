"""The AJP front and the AJP back end, against stand-ins written from the protocol's page."""

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from myrtlespar.fakes import FakeAjpServer, FakeGateway, ServerProcess, ThriftClient, exactly, server_process, until
from myrtlespar.net.codec import ajp as wire

OPERATOR = """
[idempotency]
ajp_header = "Idempotency-Key"
thrift_field = "idem"
[ajp]
listen = "127.0.0.1:0"
secret = "s3"
[[ajp.map]]
path = "/render"
class = "render"
[[ajp.map]]
path = "/fetch"
class = "fetch"
[[ajp.map]]
path = "/order"
class = "order"
worth = 0.9
memory_kb = 12
"""


@pytest.fixture
def server(tmp_path: Path) -> Iterator[ServerProcess]:
    with server_process(tmp_path, operator=OPERATOR) as running:
        yield running


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [1, 700, 2048])
def test_body_comes_in_parts_and_result_goes_back_on_one_connection(
    server: ServerProcess, size: int, chunked: bool
) -> None:
    gateway, body = FakeGateway(server.ports[1]), bytes(n % 251 for n in range(size))
    for _ in range(2):
        assert gateway.ask("/order/7", body, chunked=chunked) == (
            200,
            {"0xa001": "application/octet-stream", "0xa003": str(size + 10)},
            b"result of " + body,
            True,
        )
    assert server.kernel.by_body[body] == 2
    assert {row["route"] for row in server.kernel.commands if row["t"] == "SCHED"} == {"order"}


def test_without_a_body_the_kernel_gets_path_and_query_and_head_gets_no_body(server: ServerProcess) -> None:
    gateway = FakeGateway(server.ports[1])
    assert gateway.ask("/fetch/a?z=9", method=2)[2] == b"result of /fetch/a?z=9"
    status, headers, body, reuse = gateway.ask("/fetch/a", method=3)
    assert (status, headers["0xa003"], body, reuse) == (200, "18", b"", True)


@pytest.mark.parametrize(("body", "status"), [(b"end=FAIL", 500), (b"end=NOOP", 500), (b"x" * 2049, 413)])
def test_failures_have_their_status(server: ServerProcess, body: bytes, status: int) -> None:
    assert FakeGateway(server.ports[1]).ask("/order", body)[0] == status


def test_what_is_not_done_by_the_due_time_is_504(server: ServerProcess) -> None:
    server.store.script = ["hang"]
    assert FakeGateway(server.ports[1]).ask("/fetch", b"calls=1 ms=5")[0] == 504


@pytest.mark.parametrize(
    ("uri", "secret", "status"),
    [("/moon", "s3", 404), ("/renderer", "s3", 404), ("/render", "s4", 403), ("/render", "", 403)],
)
def test_unknown_paths_and_wrong_secrets_are_told(server: ServerProcess, uri: str, secret: str, status: int) -> None:
    assert FakeGateway(server.ports[1], secret).ask(uri)[0] == status
    assert not server.kernel.starts


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 0),
        (b"\x12\x34\xff\xff", 0),
        (b"\x12\x34\0\x03\x02\x04\0", 400),
        (b"\x12\x34\0\x01\x09", 0),
        (b"\x12\x34\0\0", 0),
    ],
)
def test_bad_packets_end_only_their_connection(server: ServerProcess, data: bytes, status: int) -> None:
    gateway = FakeGateway(server.ports[1])
    gateway.sock.sendall(data)
    if status:
        assert gateway.answer()[0] == status
    assert gateway.sock.recv(1) == b""
    assert FakeGateway(server.ports[1]).ask("/fetch", b"x")[0] == 200


@pytest.mark.parametrize("data", [b"", b"\x12", b"\x12\x34\x00\x09\x02"])
def test_silent_and_half_sent_connections_are_closed(server: ServerProcess, data: bytes) -> None:
    asked, gateway = FakeGateway(server.ports[1]), FakeGateway(server.ports[1])
    assert asked.ask("/fetch")[0] == 200
    gateway.sock.sendall(data)
    assert gateway.sock.recv(1) == b""
    assert asked.ask("/fetch")[0] == 200


def test_idle_gateways_make_room(tmp_path: Path) -> None:
    with server_process(tmp_path, operator=OPERATOR, sockets=100) as running:
        gateways = [FakeGateway(running.ports[1])]
        assert gateways[0].ask("/fetch")[0] == 200
        for _ in range(11):  # a quarter of 44 places
            gateways.append(FakeGateway(running.ports[1]))
            assert gateways[-1].ask("/fetch")[0] == 200
        assert gateways[0].sock.recv(1) == b""
        assert gateways[-1].ask("/fetch")[0] == 200


def test_ping_is_answered_and_remote_shutdown_is_not_heeded(server: ServerProcess) -> None:
    gateway = FakeGateway(server.ports[1])
    gateway.packet(b"\x07")
    gateway.packet(b"\x0a")
    assert gateway.next() == b"\x09"
    assert gateway.ask("/fetch", b"x")[0] == 200
    assert server.counters()["in.ignored.ajp"] == 1


def test_overload_is_503_with_retry_after_before_the_due_time(server: ServerProcess) -> None:
    answers: list[tuple[int, dict[str, str], float]] = []

    def ask() -> None:
        began = time.time()
        status, headers, *_ = FakeGateway(server.ports[1]).ask("/render", b"ms=300")
        answers.append((status, headers, time.time() - began))

    threads = [threading.Thread(target=ask) for _ in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [(headers, took) for status, headers, took in answers if status == 503]
    assert len(answers) == 60
    assert refused
    assert {status for status, *_ in answers} <= {200, 503}
    assert all(int(headers["retry-after"]) >= 1 and took < 6.25 for headers, took in refused)


def test_a_gateway_that_leaves_frees_what_is_held(server: ServerProcess) -> None:
    busy = [FakeGateway(server.ports[1]) for _ in range(3)]
    for gateway in busy:
        gateway.forward("/render", b"ms=1000")
    until(lambda: server.kernel.starts)
    leaver = FakeGateway(server.ports[1])
    leaver.forward("/order", b"never")
    until(lambda: server.counters().get("in.request.ajp") == 4)
    leaver.sock.close()
    assert [gateway.answer()[0] for gateway in busy] == [200] * 3
    assert server.counters()["answer.gone.ajp"] == 1
    assert b"never" not in server.kernel.by_body


def test_a_retry_over_thrift_gets_the_outcome_of_the_run_that_lost_its_gateway(server: ServerProcess) -> None:
    gateway, client = FakeGateway(server.ports[1]), ThriftClient(server.ports[0])
    gateway.forward("/order", b"ms=300", Idempotency_Key="k1")
    until(lambda: server.kernel.starts)
    gateway.sock.close()
    during = client.ask("order", b"ms=300", idem="k1", again="1")
    after = client.ask("order", b"ms=300", idem="k1", again="1")
    assert during[0] == after[0] == "success"
    assert during[1].body == after[1].body == b"result of ms=300"
    assert FakeGateway(server.ports[1]).ask("/order", b"ms=300", Idempotency_Key="k1")[2] == b"result of ms=300"
    assert server.kernel.by_body[b"ms=300"] == 1
    assert client.ask("order", b"ms=300", idem="k2")[0] == "success"
    assert server.kernel.by_body[b"ms=300"] == 2


def test_a_repeat_of_a_held_try_whose_caller_left_runs_in_its_place_once(server: ServerProcess) -> None:
    client, gateway = ThriftClient(server.ports[0]), FakeGateway(server.ports[1])
    for _ in range(3):
        client.send("render", b"ms=300")
    until(lambda: server.kernel.starts)
    gateway.forward("/order", b"held", Idempotency_Key="h")
    until(lambda: server.counters().get("in.request.ajp"))
    repeat = client.send("order", b"held", idem="h")
    until(lambda: server.counters().get("in.repeat.thrift"))
    gateway.sock.close()
    assert client.answer(repeat)[0] == "success"
    assert server.kernel.by_body[b"held"] == 1


def test_a_repeat_of_a_failed_order_is_failed_and_never_starts(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    assert client.ask("order", b"end=FAIL", idem="f")[0] == "failed"
    assert FakeGateway(server.ports[1]).ask("/order", b"end=FAIL", Idempotency_Key="f")[0] == 500
    assert server.kernel.by_body[b"end=FAIL"] == 1


def test_a_full_table_of_keys_turns_new_keys_away_and_forgets_none(tmp_path: Path) -> None:
    with server_process(tmp_path, operator=OPERATOR.replace("[idempotency]", "[idempotency]\nmost = 1")) as server:
        client = ThriftClient(server.ports[0])
        assert client.ask("order", b"one", idem="1")[0] == "success"
        kind, refusal = client.ask("order", b"two", idem="2")
        assert kind == "refused"
        assert float(refusal.fields["backoff"]) > 0
        assert client.ask("order", b"one", idem="1")[1].body == b"result of one"
        assert server.kernel.by_body == {b"one": 1}


def test_a_repeat_of_a_refused_order_may_run(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    busy = [client.send("render", b"ms=1500") for _ in range(3)]
    until(lambda: server.kernel.starts)
    held = [client.send("order", b"tried", idem="r"), client.send("order", b"tried", idem="r")]
    assert [client.answer(seq)[0] for seq in held] in (["refused"] * 2, ["success"] * 2)
    assert client.answer(busy[0])[0] == "success"
    assert client.ask("order", b"tried", idem="r")[0] == "success"
    assert server.kernel.by_body[b"tried"] == 1


def test_drain_answers_and_closes_gateways(server: ServerProcess) -> None:
    idle, busy = FakeGateway(server.ports[1]), FakeGateway(server.ports[1])
    busy.forward("/render", b"ms=500")
    until(lambda: server.kernel.starts)
    server.process.terminate()
    assert idle.sock.recv(1) == b""
    status, _, body, reuse = busy.answer()
    assert (status, body, reuse) == (200, b"result of ms=500", False)
    assert server.process.wait(20) == 0


# The back end: AJP servers beside the kernel.


@pytest.fixture
def farm(tmp_path: Path) -> Iterator[tuple[ServerProcess, FakeAjpServer, FakeAjpServer]]:
    one, two = FakeAjpServer("one"), FakeAjpServer("two")
    rows = "".join(f'[[worker]]\nname = "{w.name}"\naddress = "{w.address}"\nsecret = "w"\n' for w in (one, two))
    operator = (
        OPERATOR.replace('class = "order"', 'class = "order"\nto = "pair"')
        + rows
        + ('[[balancer]]\nname = "pair"\nmembers = ["one", "two"]\n')
    )
    with server_process(tmp_path, operator=operator) as running:
        yield running, one, two
    one.down()
    two.down()


def test_requests_reach_ajp_servers_with_body_secret_and_route(
    farm: tuple[ServerProcess, FakeAjpServer, FakeAjpServer],
) -> None:
    server, one, two = farm
    gateway = FakeGateway(server.ports[1])
    for name in ("one", "two"):
        for _ in range(3):
            status, headers, body, reuse = gateway.ask("/order/x?q=1", b"b" * 2000, Cookie=f"JSESSIONID=1.{name}")
            assert (status, headers["x-by"], body, reuse) == (200, name, b"%s got 2000" % name.encode(), True)
    for servlet in (one, two):
        assert len(servlet.seen) == 3
        assert len(servlet.links) == 1
        request = wire.read_forward(servlet.seen[0])
        assert request.attributes == {"jvm_route": servlet.name, "query_string": "q=1", "secret": "w"}
        assert (request.method, request.uri) == ("POST", "/order/x")
    assert not server.kernel.starts


@pytest.mark.parametrize(("step", "status"), [("cut", 500), ("hang", 504), ("500", 500), ("404", 404)])
def test_an_order_that_reached_an_ajp_server_is_never_sent_to_another(
    farm: tuple[ServerProcess, FakeAjpServer, FakeAjpServer], step: str, status: int
) -> None:
    server, one, two = farm
    one.script = two.script = [step]
    assert FakeGateway(server.ports[1]).ask("/order", b"once", Idempotency_Key="o")[0] == status
    assert FakeGateway(server.ports[1]).ask("/order", b"once", Idempotency_Key="o")[0] == status
    assert len(one.seen) + len(two.seen) == 1


def test_an_unreachable_ajp_server_is_passed_over_none_is_503(
    farm: tuple[ServerProcess, FakeAjpServer, FakeAjpServer],
) -> None:
    server, one, two = farm
    one.down()
    assert {FakeGateway(server.ports[1]).ask("/order", b"x")[1]["x-by"] for _ in range(4)} == {"two"}
    two.down()
    status, headers, *_ = FakeGateway(server.ports[1]).ask("/order", b"x", Idempotency_Key="u")
    assert status == 503
    assert int(headers["retry-after"]) >= 1


def test_codec_matches_the_published_bytes() -> None:
    payload = (
        b"\x02\x02\0\x08HTTP/1.1\0\0\x02/a\0\0\x09127.0.0.1\0\xff\xff\0\x01h\0\0\x50\0\0\x01"
        b"\xa0\x0b\0\x01h\0\x0a\0\x01n\0\0\x01v\0\xff"
    )
    request = wire.read_forward(payload)
    assert (request.method, request.uri, request.headers, request.attributes) == (
        "GET",
        "/a",
        (("host", "h"),),
        {"@n": "v"},
    )
    assert wire.write_forward(request) == b"\x12\x34" + len(payload).to_bytes(2, "big") + payload
    assert b"".join(wire.write_reply(200, (("Content-Type", "t"),), b"hi", True)) == (
        b"AB\0\x10\x04\0\xc8\0\x02OK\0\0\x01\xa0\x01\0\x01t\0" + b"AB\0\x06\x03\0\x02hi\0" + b"AB\0\x02\x05\x01"
    )
    for cut in range(len(payload)):
        with pytest.raises(wire.MalformedPacketError):
            wire.read_forward(payload[:cut])


def test_mixed_callers_at_full_load_see_no_duplicate_and_no_late_answer(server: ServerProcess) -> None:
    """Both fronts at 100% of two cores: 50 ms a run, 40 requests a second; some orders' gateways break
    mid-answer or before it, and their retries come over Thrift; then the drain.
    """
    due = {"order": 4.4, "fetch": 2.7, "render": 6.1}
    late, kinds, lock = [], [], threading.Lock()
    clients = [ThriftClient(server.ports[0]) for _ in range(2)]

    def one(n: int) -> None:
        name, began = ("order", "fetch", "render")[n % 3], time.time()
        body, key = f"ms=50 n={n}".encode(), f"key{n}"
        if n % 2:
            kind = clients[n % 4 // 2].ask(name, body, idem=key)[0]
        else:
            gateway = FakeGateway(server.ports[1])
            gateway.forward("/" + name, body, Idempotency_Key=key)
            if name == "order" and (n % 5 == 0 or n % 12 == 0):
                if n % 5 == 0:
                    exactly(gateway.sock, 1)  # it breaks mid-answer
                else:
                    time.sleep(0.01)  # or while the order is queued or runs: the moment of the break is the fault
                gateway.sock.close()
                began = time.time()
                kind = clients[0].ask(name, body, idem=key, again="1")[0]
            else:
                kind = str(gateway.answer()[0])
        with lock:
            kinds.append(kind)
            late.extend([n] if time.time() - began > due[name] + 0.15 else [])

    threads = []
    for n in range(160):
        threads.append(threading.Thread(target=one, args=(n,)))
        threads[-1].start()
        time.sleep(0.025)  # the rate of the load
        if n == 140:
            server.process.terminate()
    for thread in threads:
        thread.join(30)
    orders = {body: count for body, count in server.kernel.by_body.items() if int(body.split(b"n=")[1]) % 3 == 0}
    assert all(count == 1 for client in clients for count in client.count.values())
    assert len(kinds) == 160
    assert late == []
    assert orders
    assert [body for body, count in orders.items() if count > 1] == []
    assert kinds.count("success") + kinds.count("200") >= 80
    assert server.process.wait(20) == 0
