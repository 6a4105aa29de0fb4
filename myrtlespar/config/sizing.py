"""Computes how many connections, bytes and idempotency keys fit the descriptors and memory of this process."""

from __future__ import annotations

import resource
from dataclasses import replace

from myrtlespar.config.table import ConfigTable
from myrtlespar.policy import messages as api
from myrtlespar.resource_limits import ResourceLimits

MIN_DESCRIPTORS = 24  # lower bound of the setting `limits.sockets`
MIN_CONNECTIONS = 4  # lower bound however little memory there is, as fewer could not serve clients
RESERVED_DESCRIPTORS = 48  # descriptors for upstream connections, listeners, log and event loop
DESCRIPTORS_PER_DEPENDENCY_CONNECTION = 12  # one connection to the dependency is allowed for this many

BASE_MEMORY_MB = 36.0  # memory of the process with a few connections
CONNECTION_MEMORY_KB = 32.0  # memory of one more connection: its greenlet and a partial message
IDEMPOTENCY_KEY_MEMORY_KB = 6.0  # memory of one key with a result of 4 KiB
# Fractions of the memory beyond the base.
IDEMPOTENCY_KEYS_MEMORY_FRACTION = 0.25  # for idempotency keys, if there are classes with keys
CONNECTIONS_MEMORY_FRACTION = 0.4
REQUESTS_MEMORY_FRACTION = 0.2  # for open requests
OUTBOX_MEMORY_FRACTION = 0.15  # for answers that clients have not read
MIN_TOTAL_OUTBOX_BYTES = 1 << 19
MIN_REQUEST_BYTES = 1 << 19
MIN_SPARE_FRACTION = 0.125  # of the whole memory, which is divided however little there is

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_STOP_MS = 3000
MAX_STOP_MS = 1e7
MAX_RESOURCE = 1e6  # upper bound of `limits.sockets`, and of `limits.memory_mb`


def size_limits(root: ConfigTable, settings: api.Settings) -> ResourceLimits:
    """Return the limits for the configured descriptors, memory and windows of idempotency keys.

    Args:
        root: The platform's configuration, of which `limits` and `stop_ms` are read.
        settings: The policy's settings.

    Raises:
        ConfigError: One of these values is out of range.
    """
    resources = root.table("limits")
    descriptors = _descriptors(resources)
    memory_mb = resources.number("memory_mb", DEFAULT_MEMORY_MB, 1, MAX_RESOURCE)
    spare_memory_kb = 1024 * max(MIN_SPARE_FRACTION * memory_mb, memory_mb - BASE_MEMORY_MB)
    windows_ms = [
        request_class.window_ms for request_class in settings.classes if request_class.effect is api.Effect.KEYED
    ]
    keys_memory_kb = spare_memory_kb * IDEMPOTENCY_KEYS_MEMORY_FRACTION if windows_ms else 0.0
    default_dependency_connections = ResourceLimits().max_dependency_connections
    dependency_connections = max(
        1, min(default_dependency_connections, descriptors // DESCRIPTORS_PER_DEPENDENCY_CONNECTION)
    )
    reserved = min(RESERVED_DESCRIPTORS, descriptors * 3 // 4)
    by_descriptors = descriptors - reserved - dependency_connections
    by_memory = int(spare_memory_kb * CONNECTIONS_MEMORY_FRACTION / CONNECTION_MEMORY_KB)
    limits = replace(
        ResourceLimits(),
        max_dependency_connections=dependency_connections,
        max_connections=max(MIN_CONNECTIONS, min(by_descriptors, by_memory)),
        max_request_bytes=max(MIN_REQUEST_BYTES, int(1024 * spare_memory_kb * REQUESTS_MEMORY_FRACTION)),
        max_total_outbox_bytes=max(MIN_TOTAL_OUTBOX_BYTES, int(1024 * spare_memory_kb * OUTBOX_MEMORY_FRACTION)),
        stop_ms=root.number("stop_ms", DEFAULT_STOP_MS, 0, MAX_STOP_MS),
    )
    if not windows_ms:
        return limits
    # The longest window is long enough: a key is remembered for this time from the end of its run, while its window
    # starts before the run.
    return replace(
        limits,
        idempotency_key_ms=max(windows_ms),
        max_idempotency_keys=max(1, int(keys_memory_kb / IDEMPOTENCY_KEY_MEMORY_KB)),
    )


def _descriptors(resources: ConfigTable) -> int:
    """Return how many descriptors this process may open; the system may allow fewer than are configured."""
    configured = int(resources.number("sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS, MAX_RESOURCE))
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return configured if granted == resource.RLIM_INFINITY else min(configured, granted)
