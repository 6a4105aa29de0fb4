"""The real tile server: wiring and signals only."""

from __future__ import annotations

import gc
import signal
import sys

import gevent
import structlog

from myrtlespar.config import Config, ConfigError, load, needs_restart
from myrtlespar.core import Core, unix_ms
from myrtlespar.counters import Counters
from myrtlespar.net.ajp import AjpFront
from myrtlespar.net.kernel import Kernel
from myrtlespar.net.roster import Roster
from myrtlespar.net.store import Store
from myrtlespar.net.thrift import ThriftFront
from myrtlespar.net.workers import engines

log = structlog.get_logger()


def serve(config: Config) -> None:
    """Wire the parts, run until a notice to drain is carried out."""
    counters = Counters()
    core = Core(config.settings, config.seed, config.limits, counters)
    kernel, store = Kernel(config, core), Store(config, core)
    roster = Roster(config, core, kernel)
    core.engines[""], core.gauges, core.dependency = kernel, kernel, store
    core.engines.update(engines(config, core))
    thrift = ThriftFront(config, core)
    fronts: list[ThriftFront | AjpFront] = [thrift]
    if config.ajp.listen:
        fronts.append(AjpFront(config, core, config.ajp.listen))

    def close_idle(after_ms: float) -> None:
        for front in fronts:
            front.idle_ms = after_ms

    def drain() -> None:
        if not core.draining:
            log.info("draining")
            core.drain()
            for front in fronts:
                front.drain()

    def reload() -> None:
        """Take over new addresses; a file with a fault changes nothing."""
        try:
            fresh = load()
        except ConfigError as error:
            counters.add("reload.refused")
            log.error("reload refused", error=str(error))
            return
        counters.add("reload.done")
        for part, address in ((kernel, fresh.kernel), (store, fresh.store), (roster, fresh.roster)):
            part.move(address)
        log.info("reloaded", needs_restart=needs_restart(config, fresh))

    core.close_idle = close_idle
    gevent.signal_handler(signal.SIGHUP, reload)
    gevent.signal_handler(signal.SIGTERM, drain)
    gevent.signal_handler(signal.SIGINT, drain)
    gevent.signal_handler(signal.SIGUSR1, lambda: log.info("counters", **counters.report()))
    for front in fronts:
        front.start()
    turns = gevent.spawn(core.run)
    for part in (kernel, store, roster):
        gevent.spawn(part.serve)
    log.info("serving", name=config.name, ports=[front.port for front in fronts])
    gc.freeze()
    while not (core.draining and _drained(core)):
        if turns.ready():  # guards against a server that listens on with nobody to decide
            turns.get()
        gevent.sleep(0.02)
    for front in fronts:
        front.stop()
        front.drain()  # connections opened since the notice
    gevent.sleep(config.limits.crossing_ms / 1000.0)
    while core.owed and unix_ms() < core.kill_at:  # what was read while the listener closed
        gevent.sleep(0.01)
    flush_s = config.limits.flush_ms / 1000.0
    gevent.joinall([gevent.spawn(front.finish, flush_s) for front in fronts], flush_s)
    core.stop()
    log.info("counters", **counters.report())


def _drained(core: Core) -> bool:
    """All is answered and nothing that comes now may run, or the kill is near."""
    now = unix_ms()
    grace_over = now > core.kill_at - core.limits.stop_ms + core.settings.drain_grace_ms
    return (grace_over and not core.owed) or now > core.kill_at - 2 * core.limits.flush_ms


def main() -> int:
    """Run until drained."""
    structlog.configure(processors=[
        structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
        structlog.processors.format_exc_info, structlog.processors.JSONRenderer()])
    gevent.config.resolver = "block"  # there is no DNS; addresses are numbers and need no thread
    try:
        config = load()
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    serve(config)
    return 0


if __name__ == "__main__":
    sys.exit(main())
