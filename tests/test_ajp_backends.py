"""Requests that are run by AJP servers."""

from __future__ import annotations

import pytest

from myrtlespar.fakes import FakeAjpServer, FakeGateway, ServerProcess
from myrtlespar.net.codec import ajp


def test_requests_reach_ajp_servers_with_body_secret_and_route(
    ajp_servers: tuple[ServerProcess, FakeAjpServer, FakeAjpServer],
) -> None:
    server, one, two = ajp_servers
    gateway = FakeGateway(server.ports[1])
    for name in ("one", "two"):
        for _ in range(3):
            status, headers, body, reuse = gateway.ask("/order/x?q=1", b"b" * 2000, Cookie=f"JSESSIONID=1.{name}")
            assert (status, headers["x-by"], body, reuse) == (200, name, b"%s got 2000" % name.encode(), True)
    for servlet in (one, two):
        assert len(servlet.seen) == 3
        assert len(servlet.links) == 1
        request = ajp.decode_forward_request(servlet.seen[0])
        assert request.attributes == {"jvm_route": servlet.name, "query_string": "q=1", "secret": "w"}
        assert (request.method, request.uri) == ("POST", "/order/x")
    assert not server.engine.starts


@pytest.mark.parametrize(("step", "status"), [("cut", 500), ("hang", 504), ("500", 500), ("404", 404)])
def test_an_order_that_reached_an_ajp_server_is_never_sent_to_another(
    ajp_servers: tuple[ServerProcess, FakeAjpServer, FakeAjpServer], step: str, status: int
) -> None:
    server, one, two = ajp_servers
    one.script = two.script = [step]
    assert FakeGateway(server.ports[1]).ask("/order", b"once", Idempotency_Key="o")[0] == status
    assert FakeGateway(server.ports[1]).ask("/order", b"once", Idempotency_Key="o")[0] == status
    assert len(one.seen) + len(two.seen) == 1


def test_unreachable_ajp_servers_are_skipped_and_the_status_is_503_if_all_are(
    ajp_servers: tuple[ServerProcess, FakeAjpServer, FakeAjpServer],
) -> None:
    server, one, two = ajp_servers
    one.down()
    assert {FakeGateway(server.ports[1]).ask("/order", b"x")[1]["x-by"] for _ in range(4)} == {"two"}
    two.down()
    status, headers, *_ = FakeGateway(server.ports[1]).ask("/order", b"x", Idempotency_Key="u")
    assert status == 503
    assert int(headers["retry-after"]) >= 1
