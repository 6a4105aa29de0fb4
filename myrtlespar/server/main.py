"""The entry point of the server process and its exit codes."""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.config import Config, ConfigError, load
from myrtlespar.net.binding import AddressInUseError
from myrtlespar.runtime.log_output import LogOutput, log_to_standard_output, open_standard_descriptors, print_error
from myrtlespar.runtime.startup_signals import StartupSignals
from myrtlespar.server.application import Application
from myrtlespar.server.shutdown import ShutdownSequence
from myrtlespar.server.signal_handlers import SignalHandlers

log = structlog.get_logger()

EXIT_OK = 0  # the shutdown was complete
EXIT_FAILED = 1  # an essential component failed
EXIT_BAD_CONFIG = 2  # the configuration is invalid, or an address is in use


def serve(config: Config, startup_signals: StartupSignals, output: LogOutput) -> int:
    """Run the server until its graceful shutdown or hand-over is complete.

    Returns:
        The exit code.

    Raises:
        ConfigError: The fleet's configuration file is invalid. No client was accepted.
    """
    try:
        application = Application(config, startup_signals.shutdown_requested)
    except AddressInUseError as error:
        if startup_signals.shutdown_requested():
            return EXIT_OK
        print_error(error)
        return EXIT_BAD_CONFIG
    coordinator = application.coordinator
    signal_handlers = SignalHandlers(application, startup_signals)
    gevent.sleep(0)  # runs the handlers of signals that arrived during the start
    if coordinator.draining:  # no client could connect yet, so nothing is unanswered
        log.info("shutdown signal during the start; ending")
        signal_handlers.ignore_further_signals()
        application.publish_keys()  # those of the previous process, whose file is removed once it is read
        application.close_fleet()
        return EXIT_OK
    application.start()
    try:
        ShutdownSequence(application, output).run()
    except Exception:
        application.publish_keys()
        raise
    coordinator.stop()
    signal_handlers.ignore_further_signals()
    application.close_fleet()
    log.info("counters", **coordinator.counter_report())
    return EXIT_OK


def main(startup_signals: StartupSignals | None = None) -> int:
    """Run the server process.

    Args:
        startup_signals: The signals collected since the process began; None begins to collect them now.

    Returns:
        The exit code: 0 after a complete shutdown, 1 after the failure of an essential component, 2 for an invalid
        configuration or an address in use, which one line on standard error reports.
    """
    open_standard_descriptors()
    startup_signals = startup_signals or StartupSignals()
    output = log_to_standard_output()
    gevent.config.resolver = "block"  # addresses are numeric, so no thread is needed to resolve them
    try:
        return serve(load(), startup_signals, output)
    except ConfigError as error:
        print_error(error)
        return EXIT_BAD_CONFIG
    except Exception:  # the outermost handler: a process that can't serve must exit instead of hang
        log.exception("fatal error; ending the process")
        return EXIT_FAILED
