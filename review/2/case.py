"""SIGTERM to a process with a management address, and no second process: SIGKILL comes before the last answers."""

from __future__ import annotations

import time
from pathlib import Path

from review.common.case import Case, CaseNotRunError, free_address, port_of, run_case
from review.common.client import RecordedClient
from review.common.site import STOP_MS, site_settings

RUN = b"ms=3800"  # ends behind SIGKILL, and well before the deadline of a render, which is 6.1 s
REQUESTS = 4  # the server runs some at once, and holds or refuses the others
BEFORE_NOTICE_S = 0.3
ANSWERED_BY_S = 6.3  # the deadline and the slack


def play(case: Case) -> None:
    """Give the notice to drain while requests run."""
    listen = free_address()
    given = {"settings": site_settings(), "stop_ms": STOP_MS}
    server = case.start_server("server", given=given, listen=listen, mgmt=True)
    client = RecordedClient(case, "client proxy", port_of(listen))
    requests = [client.send("render", RUN + b" tile %d" % number) for number in range(REQUESTS)]
    time.sleep(BEFORE_NOTICE_S)
    if not server.engine.runs:
        raise CaseNotRunError("no request runs")
    if case.trouble:
        case.stop_as_the_platform("server", server, STOP_MS / 1000.0)
        waits_s = 0.3  # for what is in transit
    else:
        waits_s = ANSWERED_BY_S
    lost = [number for number in requests if not client.wait(number, waits_s)]
    if lost:
        case.broken(f"requests {lost} of {len(requests)} were read and never answered")


run_case(Path(__file__).parent, play)
