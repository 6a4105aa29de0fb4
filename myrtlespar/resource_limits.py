"""The limits of one server process (sizes, counts, times), which its components get at the start.

The limits on running requests are not included, as the policy adjusts them (`myrtlespar.policy.concurrency_limit`); nor
are the limits of the fleet, which have their own settings. `myrtlespar.config.sizing` replaces some defaults according
to the available descriptors and memory.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of one server process; the defaults match the platform's protocol.

    Names ending in `_bytes` are sizes in bytes, names ending in `_ms` are times in milliseconds; all others are counts.
    """

    # The process: start, reload, drain, hand-over to a second process.
    stop_ms: float = 3000.0  # from SIGTERM, which starts draining, to SIGKILL
    bind_timeout_ms: float = 15000.0  # for retries to bind an address that is in use, at the start
    admin_bind_timeout_ms: float = 1000.0  # shorter, as another running process may legitimately use the admin address
    bind_retry_ms: float = 50.0  # between attempts to bind an address
    flush_timeout_ms: float = 300.0  # for sending unsent answers before the process exits
    # In a hand-over, SIGKILL follows SIGTERM after the longest client timeout, but at most `handover_max_deadline_ms`,
    # plus `handover_margin_ms`.
    handover_max_deadline_ms: float = 3000.0
    handover_margin_ms: float = 700.0
    publish_reserve_ms: float = 100.0  # kept free before SIGKILL if there are idempotency keys to publish
    reload_retry_ms: float = 50.0  # between attempts to read an invalid file, which may be half written
    reload_timeout_ms: float = 3000.0  # for all attempts; equals how long the registry keeps an entry without reports

    # Clients' connections, over all listeners.
    max_connections: int = 900
    accept_backlog: int = 512  # length of the queue of connections not yet accepted
    max_accepts_per_turn: int = 8  # connections accepted before other greenlets run
    max_open_requests: int = 32  # unanswered requests of one connection
    max_request_bytes: int = 1 << 25  # memory of all open requests
    max_frame_bytes: int = 16384  # of one message from a client; a longer one closes the connection
    max_body_bytes: int = 2048  # of a request
    max_result_bytes: int = 4096  # of an answer
    max_outbox_bytes: int = 65536  # unsent answers of one connection; at more, the client is taken not to read
    max_total_outbox_bytes: int = 1 << 24  # unsent answers of all connections of all listeners
    send_buffer_bytes: int = 131072  # kernel send buffer of one connection
    send_timeout_ms: float = 5000.0  # longest time for which a peer may block one send
    max_consecutive_rejected: int = 500  # rejected messages in a row, after which the connection is closed
    message_timeout_ms: float = 2000.0  # without a complete message on a new connection
    idle_check_ms: float = 250.0  # between checks for idle connections
    close_linger_ms: float = 50.0  # longest transit time of a request sent just before the connection closed

    # Requests and idempotency keys.
    overdue_check_ms: float = 50.0  # between checks for overdue answers
    overdue_grace_ms: float = 60.0  # an unanswered request is failed this long after its deadline, as a safeguard
    max_idempotency_keys: int = 4096
    idempotency_key_ms: float = 60000.0  # how long a key is remembered after the end of its run
    max_waiting_repeats: int = 8  # repeats that wait for the result of one run
    max_awaited_keys: int = 256  # keys with attempts that wait until an earlier process hands its keys over

    # Connections to all upstreams.
    connect_timeout_ms: float = 1000.0
    reconnect_ms: float = 50.0  # between attempts to reach the execution engine

    # The execution engine.
    engine_silence_timeout_ms: float = 10000.0  # the link is closed after so long without an answer to a gauge request
    engine_move_timeout_ms: float = 300.0  # to read the old link to its end when a reload changes the address
    unconfirmed_check_ms: float = 120.0  # between marks that find out which commands were lost with a broken link
    max_engine_outbox_bytes: int = 1 << 20  # unsent commands
    max_engine_line_bytes: int = 1 << 20
    max_pending_engine_marks: int = 256  # unanswered requests for gauges
    same_engine_start_ms: float = 100.0  # two measurements of one engine's start time differ by less than this
    gauge_lead_ms: float = 4.0  # how long before a tick gauges are requested
    max_gauge_age_ms: float = 500.0  # older gauges are not passed to the policy
    lost_run_ms: float = 1000.0  # a run that the engine has not had for this long is lost; twice `max_gauge_age_ms`

    # The dependency.
    max_dependency_connections: int = 32  # each carries one call at a time
    max_dependency_calls: int = 2048  # calls in flight or waiting for a connection
    max_dependency_idle_ms: float = 80.0  # after a longer idle time the dependency may have dropped the connection
    max_dependency_recent_requests: int = 8  # latest requests of one connection, which the dependency may answer twice
    max_dependency_outbox_bytes: int = 65536  # unsent bytes of one connection
    max_dependency_line_bytes: int = 256
    max_dependency_reply_bytes: int = 1 << 18
    max_dependency_call_ms: float = 2.0**31 - 1  # largest time limit of a call, even if the deadlines are longer
    dependency_check_ms: float = 20.0  # between checks for calls that have timed out
    dependency_grace_ms: float = 60.0  # after the time limit of a call until it counts as timed out

    # The service registry, which removes an entry 3 s after its last accepted report. With these times, a report still
    # arrives in time if both a reused connection and the new connection after it hang.
    registry_report_interval_ms: float = 1000.0
    registry_reused_connection_timeout_ms: float = 400.0  # for one report on a connection that has been used before
    registry_new_connection_timeout_ms: float = 900.0  # for one report on a new connection
    registry_retry_ms: float = 200.0  # after a failed report
    max_registry_reply_bytes: int = 16384  # of the answer to one report

    # AJP: connections from gateways, and connections to AJP servers.
    max_ajp_packet_bytes: int = 8192
    max_ajp_headers: int = 100  # of one request; as many attributes
    max_ajp_outbox_bytes: int = 1 << 19  # unsent bytes of one gateway's connection: fits a complete backend answer
    ajp_request_timeout_ms: float = 2000.0  # from the first to the last byte of a request
    max_ajp_reply_bytes: int = 262144  # of the answer of an AJP server
    max_idle_backend_connections: int = 8  # kept open for each AJP server
    backend_retry_ms: float = 2000.0  # how long an unreachable AJP server is tried only after the others
