"""A repeat gets the same answer from the process that ran its request and from the one that replaced it."""

from __future__ import annotations

import select

import pytest

from myrtlespar.fakes import FakeAjpServer, FakeGateway, ServerProcess, server_process, until
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.conftest import HandoverFolders

# What the AJP server does for each order; `hang` ends at the due time of the order.
ANSWERS = ["200", "201", "204", "302", "402", "404", "409", "422", "500", "503", "cut", "hang"]
FAILURES = {"cut": 500, "hang": 504}


def operator_file(backend: FakeAjpServer) -> str:
    """Return an operator's file in which orders run on an AJP server."""
    rows = f'[[worker]]\nname = "{backend.name}"\naddress = "{backend.address}"\n'
    return AJP_OPERATOR_FILE.replace('class = "order"', f'class = "order"\nto = "{backend.name}"') + rows


def answer_of_order(server: ServerProcess, number: int) -> tuple[int, str, bytes]:
    """Send an order with its key, and return status, the AJP server's header and body of the answer."""
    status, headers, body, _ = FakeGateway(server.ports[1]).ask("/order", b"x" * 7, Idempotency_Key=f"k-{number}")
    return status, headers.get("x-by", ""), body


def break_within_run(server: ServerProcess, backend: FakeAjpServer, number: int) -> None:
    """Send an order, and close the connection once the AJP server has it, or the order is rejected."""
    left = len(backend.script)
    gateway = FakeGateway(server.ports[1])
    gateway.forward("/order", b"x" * 7, Idempotency_Key=f"k-{number}")
    until(lambda: len(backend.script) < left or select.select([gateway.sock], [], [], 0)[0], "the run")
    gateway.sock.close()


@pytest.mark.parametrize("breaks", [False, True])
def test_a_repeat_gets_status_headers_and_body_of_the_answer_after_a_replacement(
    handover_folders: HandoverFolders, breaks: bool
) -> None:
    """Guards against a hand-over of the body alone: an order that was declined with 409 was answered 200."""
    backend = FakeAjpServer("one")
    shared = {"mgmt": True, "shared": handover_folders.shared, "operator": operator_file(backend)}
    with server_process(handover_folders.old, **shared) as old:
        backend.script = list(ANSWERS)
        for number in range(len(ANSWERS)):
            while len(backend.script) == len(ANSWERS) - number:  # an order is rejected while most runs fail
                if breaks:
                    break_within_run(old, backend, number)
                else:
                    answer_of_order(old, number)
        answers = [answer_of_order(old, number) for number in range(len(ANSWERS))]
        assert [status for status, _, _ in answers] == [FAILURES.get(step) or int(step) for step in ANSWERS]
        with server_process(handover_folders.new, **shared) as new:
            old.process.terminate()
            assert old.process.wait(10) == 0
            assert [answer_of_order(new, number) for number in range(len(ANSWERS))] == answers
        assert len(backend.seen) == len(ANSWERS)
    backend.down()
