"""The shutdown sequence: the stages from the first shutdown signal to the last answer sent."""

from __future__ import annotations

import gevent

from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.log_output import LogOutput
from myrtlespar.server.application import Application
from myrtlespar.state_machines.process import ProcessAction, ProcessEvent

POLL_INTERVAL_S = 0.02


class ShutdownSequence:
    """Polls the process lifecycle while the application runs, and carries out the actions that are due.

    The lifecycle decides when a stage ends; see `ProcessLifecycle.poll`.
    """

    def __init__(self, application: Application, output: LogOutput) -> None:
        self._application = application
        self._process = application.coordinator.process
        self._output = output
        self._stopped = False

    def run(self) -> None:
        """Block until the last stage is complete.

        Raises:
            Exception: The exception that ended the coordinator's greenlet, without which no request can be served.
        """
        tracker = self._application.coordinator.tracker
        while not self._stopped:
            self._application.raise_if_coordinator_ended()
            gevent.sleep(POLL_INTERVAL_S)
            self._output.flush()
            for action in self._process.poll(unix_ms(), tracker.unanswered):
                self._carry_out(action)

    def _carry_out(self, action: ProcessAction) -> None:
        if action is ProcessAction.CLOSE_LISTENERS:
            for front in self._application.fronts:
                front.stop()
        elif action is ProcessAction.ASK_CLIENTS:
            for front in self._application.fronts:
                front.drain()  # also notifies connections opened since the shutdown signal
        else:
            self._send_last_answers()

    def _send_last_answers(self) -> None:
        """Fail the unanswered requests, publish the idempotency keys, and flush all connections."""
        application = self._application
        application.coordinator.fail_unanswered()
        # Reading ends before the keys are written: the key of a request read later would be missing in the replacement.
        for front in application.fronts:
            front.end()
        application.publish_keys()
        timeout_s = self._flush_timeout_s()
        gevent.joinall([gevent.spawn(front.finish, timeout_s) for front in application.fronts], timeout_s)
        self._stopped = ProcessAction.STOP in self._process.handle(ProcessEvent.FLUSHED)

    def _flush_timeout_s(self) -> float:
        """Return how long to wait for clients to read their last answers, in seconds.

        It is at most half of the time left before SIGKILL, so that a client that does not read can't change the exit
        code.
        """
        left_ms = max(0.0, self._process.kill_at - unix_ms())
        return min(self._application.config.limits.flush_timeout_ms, left_ms / 2) / 1000.0
