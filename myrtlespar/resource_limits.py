"""The limits of one server process (sizes, counts, times) in one value, which its components get at the start.

The limits on running requests are not here: the policy adjusts them (`myrtlespar.policy.concurrency_limit`). Those of
the fleet are in its own settings. `myrtlespar.config.sizing` replaces defaults by what descriptors and memory allow.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of one server process; the defaults fit the platform's protocol.

    Names that end in `_bytes` are sizes in bytes, in `_ms` times in milliseconds; all others are counts.
    """

    # The process: start, reload, drain, handover to a second process.
    stop_ms: float = 3000.0  # from the notice to drain (SIGTERM) to SIGKILL
    bind_timeout_ms: float = 15000.0  # at the start, binding an address that is in use is retried for so long
    admin_bind_timeout_ms: float = 1000.0  # shorter: another running process may rightly hold the admin address
    bind_retry_ms: float = 50.0
    flush_timeout_ms: float = 300.0  # for sending the last answers before the exit
    # In a handover SIGKILL follows SIGTERM after the longest client timeout, or `handover_max_deadline_ms` if that is
    # shorter, plus `handover_margin_ms`.
    handover_max_deadline_ms: float = 3000.0
    handover_margin_ms: float = 700.0
    reload_retry_ms: float = 50.0  # between attempts to read a faulty file, which may be half written
    reload_timeout_ms: float = 3000.0  # until the last such attempt; the registry keeps a silent entry as long

    # Clients' connections, over all listeners.
    max_connections: int = 900
    accept_backlog: int = 512  # connections that wait to be accepted
    max_accepts_per_turn: int = 8  # connections accepted before their greenlets run
    max_open_requests: int = 32  # on one connection
    max_frame_bytes: int = 16384  # of one message of a client; a longer one closes the connection
    max_body_bytes: int = 2048  # of a request
    max_result_bytes: int = 4096  # of an answer
    max_outbox_bytes: int = 65536  # unsent answers of one connection; more means that the client does not read
    max_total_outbox_bytes: int = 1 << 24  # unsent answers of all connections of one listener
    send_buffer_bytes: int = 131072  # the system's buffer of one connection
    send_timeout_ms: float = 5000.0  # the longest time for which a peer may block one send
    max_consecutive_rejected: int = 500  # rejected messages in a row, after which the connection is closed
    message_timeout_ms: float = 2000.0  # for a client's first message, and for each from its first byte to its last
    idle_check_ms: float = 250.0  # between checks for idle connections
    close_linger_ms: float = 50.0  # a request sent just as a connection closes may be on its way for so long

    # Requests and idempotency keys.
    overdue_check_ms: float = 50.0  # between checks for overdue answers
    overdue_grace_ms: float = 60.0  # past its due time an open request is failed, whatever else was decided
    max_idempotency_keys: int = 4096
    idempotency_key_ms: float = 60000.0  # a key is remembered for so long after the last attempt
    max_waiting_repeats: int = 8  # repeats that wait for one run

    # All upstream connections.
    connect_timeout_ms: float = 1000.0
    reconnect_ms: float = 50.0  # between attempts to reach the execution engine

    # The execution engine.
    engine_silence_timeout_ms: float = 10000.0  # without an answer to a request for gauges; then the link is closed
    engine_move_timeout_ms: float = 300.0  # to read an old link to its end when a reload moves it
    unconfirmed_check_ms: float = 120.0  # between marks that show which commands a broken link has lost
    max_engine_outbox_bytes: int = 1 << 20  # unsent commands
    max_engine_line_bytes: int = 1 << 20
    max_pending_engine_marks: int = 256  # gauges requested and not yet answered
    same_engine_start_ms: float = 100.0  # two measurements of the time at which one engine started differ by less
    gauge_lead_ms: float = 4.0  # gauges are requested so long before a tick
    max_gauge_age_ms: float = 500.0  # older gauges are not passed on
    lost_run_ms: float = 1000.0  # runs missing at the engine for so long are lost; twice `max_gauge_age_ms`

    # The dependency.
    max_dependency_connections: int = 32  # each with one call at a time
    max_dependency_calls: int = 2048  # in flight or waiting for a connection
    max_dependency_idle_ms: float = 80.0  # the dependency may have forgotten a connection that is idle for longer
    max_dependency_recent_requests: int = 8  # of one connection, whose calls it may still answer again
    max_dependency_outbox_bytes: int = 65536  # unsent bytes of one connection
    max_dependency_line_bytes: int = 256
    max_dependency_reply_bytes: int = 1 << 18
    max_dependency_call_ms: float = 2.0**31 - 1  # that a call may state, whatever the deadlines in the settings
    dependency_check_ms: float = 20.0  # between checks for calls that have timed out
    dependency_grace_ms: float = 60.0  # past a call's time limit until it counts as timed out

    # The service registry, which removes an entry 3 s after the last report it took. With these times a reused
    # connection and the new one after it may both hang, and a third attempt still arrives in time.
    registry_report_interval_ms: float = 1000.0
    registry_reused_connection_timeout_ms: float = 400.0  # for one report on a connection used before
    registry_new_connection_timeout_ms: float = 900.0  # for one report on a new connection
    registry_retry_ms: float = 200.0  # after a report that failed
    max_registry_reply_bytes: int = 16384  # of the answer to one report

    # AJP: gateways' connections and AJP servers.
    max_ajp_packet_bytes: int = 8192
    max_ajp_outbox_bytes: int = 1 << 19  # unsent bytes of one gateway's connection: a complete backend answer fits
    ajp_request_timeout_ms: float = 2000.0  # to finish a request that has begun
    max_ajp_reply_bytes: int = 262144  # of an AJP server's answer
    max_idle_backend_connections: int = 8  # kept for each AJP server
    backend_retry_ms: float = 2000.0  # an unreachable AJP server is tried last for so long
