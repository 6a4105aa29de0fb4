"""A client proxy pauses in the middle of a request: what it sends on that connection afterwards is never answered."""

from __future__ import annotations

import time
from pathlib import Path

from review.common.case import Case, free_address, port_of, run_case
from review.common.client import RecordedClient
from review.common.site import site_settings

PAUSE_S = 2.6  # in the middle of a request
SHORT_PAUSE_S = 0.05  # the same without the disruption
LONG_RUN = b"ms=4000 long"  # open during the pause; the deadline of a render is 6.1 s
SHORT_RUN = b"ms=20"
FURTHER_REQUESTS = 8
FURTHER_PAUSE_S = 0.05
OTHER_REQUESTS = 40  # of another client proxy
CROSSING_S = 0.1  # a request that crosses a close within 50 ms is sent again; and 50 ms for both clocks
ALLOWED_SHARE = 0.003  # of requests without an answer


def play(case: Case) -> None:
    """Send requests over two connections, one of which writes one request slowly."""
    listen = free_address()
    case.start_server("server", given={"settings": site_settings()}, listen=listen)
    port = port_of(listen)
    slow = RecordedClient(case, "slow client proxy", port)
    slow.wait(slow.send("fetch", SHORT_RUN), 3.0)  # the connection has carried a request before
    requests = [slow.send("render", LONG_RUN)]
    requests.append(slow.send("render", SHORT_RUN, pause_s=PAUSE_S if case.trouble else SHORT_PAUSE_S))
    for _ in range(FURTHER_REQUESTS):
        requests.append(slow.send("fetch", SHORT_RUN))
        time.sleep(FURTHER_PAUSE_S)
    unanswered = [number for number in requests if not slow.wait(number, 6.5)]
    ended_at = time.time()
    lost = [number for number in unanswered if ended_at - slow.sent_at[number] > CROSSING_S]
    other = RecordedClient(case, "other client proxy", port, peer=2)
    answered = sum(other.wait(other.send("fetch", SHORT_RUN), 3.0) != "" for _ in range(OTHER_REQUESTS))
    total = 1 + len(requests) + OTHER_REQUESTS
    case.note(f"the slow connection has ended: {slow.thrift.ended.is_set()}; {answered} of {OTHER_REQUESTS} others")
    if len(lost) + OTHER_REQUESTS - answered > ALLOWED_SHARE * total:
        first_s = ended_at - slow.sent_at[lost[0]]
        case.broken(f"{len(lost)} of {total} requests got no answer, the first one was written {first_s:.1f} s before")


run_case(Path(__file__).parent, play)
