"""Every limit of the real tile server (sizes, counts, times) in one value, handed down at start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Sizes in bytes, times in milliseconds; the starting values fit the platform's page."""

    stop_ms: float = 3000.0  # from the notice to drain to the kill

    body_bytes: int = 2048  # of a request
    result_bytes: int = 4096  # of an answer
    frame_bytes: int = 16384  # of one message of a client; more closes the connection
    connections: int = 900  # clients' connections at a time, over all fronts
    open_requests: int = 32  # on one connection
    outbox_bytes: int = 65536  # unsent answers of one client's connection; more means it does not read
    bind_ms: float = 15000.0  # for so long an address that is in use is tried again at the start
    mgmt_bind_ms: float = 1000.0  # the operators' address: a living process beside this one may rightly hold it
    bind_again_ms: float = 50.0  # between these tries
    backlog: int = 512  # connections that wait to be accepted
    outboxes_bytes: int = 1 << 24  # unsent answers of all clients' connections of a front
    accept_at_once: int = 8  # connections accepted before their greenlets run
    bad_most: int = 500  # messages running that can't be taken; then the connection ends
    message_ms: float = 2000.0  # for a client's first message, and for each from its first byte to its last
    send_buffer: int = 131072  # the system's, for one client's connection
    kernel_outbox: int = 1 << 20  # unsent bytes of commands to the kernel
    send_ms: float = 5000.0  # one client may block a send for so long

    connect_ms: float = 1000.0
    reconnect_ms: float = 50.0  # between tries to reach the kernel
    kernel_silence_ms: float = 10000.0  # gauges unanswered for so long, a pause included: the link is dead
    move_ms: float = 300.0  # to read an old kernel link to its end when a reload moves it
    doubt_ms: float = 120.0  # a command that may be lost is repeated after so long without a notice
    gauge_lead_ms: float = 4.0  # gauges are asked for so long before a tick
    gauge_age_ms: float = 500.0  # older gauges are not passed on
    store_links: int = 32  # connections to the store, each with one call at a time
    store_calls: int = 2048  # calls in hand and waiting for a connection
    store_trust_ms: float = 80.0  # a connection idle for longer may be forgotten by the store
    store_served: int = 8  # latest requests of a connection, whose calls it may still answer again
    store_outbox: int = 65536  # unsent bytes of one connection
    store_look_ms: float = 20.0  # between looks for calls that are out of time
    store_grace_ms: float = 60.0  # past a call's time until it is taken for timed out
    # To the roster, which forgets 3 s after the last report it took. With these, a kept connection and the new one
    # after it may both hang, and a third try still comes in time.
    report_every_ms: float = 1000.0
    report_kept_ms: float = 400.0  # one report may take so long on a connection that was kept
    report_ms: float = 900.0  # and so long on a new one
    report_again_ms: float = 200.0  # after one that failed
    report_reply: int = 16384  # bytes of the answer to one report

    # The operators' page on replacing a process: SIGKILL follows SIGTERM after the longest deadline, counted as the
    # first of these at most, and the second.
    handover_cap_ms: float = 3000.0
    handover_spare_ms: float = 700.0
    reload_look_ms: float = 50.0  # between looks at a faulty file of a reload, which may not be written to its end yet
    reload_ms: float = 3000.0  # for so long, the time that the roster's list holds without a report

    kernel_line: int = 1 << 20
    kernel_marks: int = 256  # gauges asked for and not yet answered
    same_boot_ms: float = 100.0  # two readings of one start of the kernel differ by less
    lost_run_ms: float = 1000.0  # twice the age of a gauge: the kernel has had fewer runs than are counted for so long
    store_line: int = 256
    store_longest_ms: float = 2.0**31 - 1  # that a call may state, whatever the settings' deadlines
    store_reply: int = 1 << 18
    idle_look_ms: float = 250.0  # between looks for idle connections
    sweep_ms: float = 50.0  # between looks for answers that are overdue
    flush_ms: float = 300.0  # at most, to send the last answers before the exit
    crossing_ms: float = 50.0  # a request sent as a connection closes may still be on its way for so long
    overdue_ms: float = 60.0  # past its due time a request still open is failed, whatever else was decided
    keys: int = 4096  # idempotency keys remembered
    key_ms: float = 60000.0  # for so long after the last try
    followers: int = 8  # repeats waiting for one run

    ajp_packet: int = 8192
    ajp_outbox: int = 1 << 19  # unsent bytes of one gateway's connection: a whole answer of a worker fits
    ajp_header_ms: float = 2000.0  # to finish a request that has begun
    ajp_reply_bytes: int = 262144  # of a worker's answer
    worker_idle: int = 8  # idle connections kept to one AJP worker
    worker_rest_ms: float = 2000.0  # an unreachable worker is left out for so long
