"""Both fronts at full load, with retries and a graceful shutdown."""

from __future__ import annotations

import threading
import time

from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, read_exactly


def test_thrift_and_ajp_clients_at_full_load_get_no_duplicate_and_no_late_answer(ajp_server: ServerProcess) -> None:
    """Both fronts at 100% of two cores (50 ms a run, 40 requests a second), then a graceful shutdown.

    Some gateways close the connection of an order before or during the answer, and the order is retried over Thrift.
    """
    # The test is long because everything that happens under this load belongs to one run of the process.
    due_s = {"order": 4.4, "fetch": 2.7, "render": 6.1}
    late = []
    kinds = []
    lock = threading.Lock()
    clients = [ThriftClient(ajp_server.ports[0]) for _ in range(2)]

    def send_request(n: int) -> None:
        name = ("order", "fetch", "render")[n % 3]
        began = time.time()
        body = f"ms=50 n={n}".encode()
        key = f"key{n}"
        if n % 2:
            kind = clients[n % 4 // 2].ask(name, body, idem=key)[0]
        else:
            gateway = FakeGateway(ajp_server.ports[1])
            gateway.forward("/" + name, body, Idempotency_Key=key)
            if name == "order" and (n % 5 == 0 or n % 12 == 0):
                if n % 5 == 0:
                    read_exactly(gateway.sock, 1)  # close in the middle of the answer
                else:
                    time.sleep(0.01)  # close while the order is queued or runs
                gateway.sock.close()
                began = time.time()
                kind = clients[0].ask(name, body, idem=key, again="1")[0]
            else:
                kind = str(gateway.answer()[0])
        with lock:
            kinds.append(kind)
            late.extend([n] if time.time() - began > due_s[name] + 0.15 else [])

    threads = []
    for n in range(160):
        threads.append(threading.Thread(target=send_request, args=(n,)))
        threads[-1].start()
        time.sleep(0.025)
        if n == 140:
            ajp_server.process.terminate()
    for thread in threads:
        thread.join(30)
    orders = {
        body: count for body, count in ajp_server.engine.starts_by_body.items() if int(body.split(b"n=")[1]) % 3 == 0
    }
    assert all(count == 1 for client in clients for count in client.count.values())
    assert len(kinds) == 160
    assert late == []
    assert orders
    assert [body for body, count in orders.items() if count > 1] == []
    assert kinds.count("success") + kinds.count("200") >= 80
    assert ajp_server.process.wait(20) == 0
