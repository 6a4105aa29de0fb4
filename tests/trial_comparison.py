"""Compares what engine, dependency, registry and clients received in a trial with what the clients requested."""

from __future__ import annotations

import base64
from collections import Counter
from typing import TYPE_CHECKING, Any

from myrtlespar.fakes import ServerProcess
from tests.traced_peers import ANSWER_DUE_MS, Request, TracedClient

if TYPE_CHECKING:
    from tests.fault_injection import Trial

SLACK_MS = 600.0  # the settings allow 100 ms, the protocol 50 ms, the rest is for a busy machine
CROSSING_MS = 50.0 + 250.0  # the protocol allows 50 ms; a thread of the test may notice the close 250 ms late
ORDER_METHOD = "order"
FAULT_EVENTS = (
    "uncaught exception",
    "component failed; restarting it",
    "carrying out an effect of a request failed",
    "connection failed",
    "fatal error; ending the process",
)


class TrialComparison:
    """Lists every deviation in `trial.wrong`, and counts requests and answers in `trial.counts`."""

    def __init__(self, trial: Trial, running: ServerProcess) -> None:
        self.trial = trial
        self.running = running
        self.requests: dict[str, Request] = {  # by request id
            request.rid: request
            for client in trial.all_clients
            for request in (*client.sent.values(), *client.possibly_sent.values())
        }
        self.starts: Counter[str] = Counter()  # by request id

    def compare(self) -> None:
        """Make all comparisons; call it after the server process has ended."""
        self._compare_commands()
        self._compare_calls_and_reports()
        for client in self.trial.all_clients:
            self._compare_messages(client)
            for seq, request in client.sent.items():
                self._compare_answer(client, seq, request)
        log = [row for row in self.running.log if row["event"] in FAULT_EVENTS]
        self.trial.wrong += [f"fault in the log: {row}" for row in log if "injected" not in str(row)]

    def _compare_commands(self) -> None:
        """Check that each start and reply that the engine got belongs to a request, and no order started twice."""
        wrong = self.trial.wrong
        for command in self.trial.engine.history:
            if command["t"] == "SCHED":
                self._compare_start(command)
            elif command["t"] == "IODONE":
                reply = base64.b64decode(command["b64"])
                requested_calls = self.trial.engine.requested_calls.get(command["rid"], set())
                if reply not in {b"reply\r\nto " + body for body in requested_calls}:
                    wrong.append(f"reply to the engine that is not the result of a call: {command}")
        wrong += [f"malformed line to the engine: {line!r}" for line in self.trial.engine.malformed]
        wrong += [
            f"order started {count} times: {self.requests[rid]}"
            for rid, count in self.starts.items()
            if count > 1 and rid in self.requests and self.requests[rid].method == ORDER_METHOD
        ]

    def _compare_start(self, command: dict[str, Any]) -> None:
        self.starts[command["rid"]] += 1
        request = self.requests.get(command["rid"])
        started = (command["route"], base64.b64decode(command["b64"]))
        if request is None or (request.method, request.body) != started:
            self.trial.wrong.append(f"start that matches no request of a client: {command}")

    def _compare_calls_and_reports(self) -> None:
        """Check that each call was made by a run, and that the registry got only reports of this server."""
        wrong = self.trial.wrong
        wrong += [
            f"call to the dependency that no run made: {id} {body!r}"
            for id, body in self.running.dependency.calls
            if body not in self.trial.engine.requested_calls.get(id, set())
        ]
        reports = self.running.registry.reports
        wrong += [f"report of another server to the registry: {path}" for path, _ in reports if path != "/roster/n3"]

    def _compare_messages(self, client: TracedClient) -> None:
        wrong = self.trial.wrong
        wrong += [f"unreadable answer: {text}" for text in client.unreadable]
        wrong += [
            f"one-way message that belongs to no request: {name}"
            for name in client.one_way_messages
            if name != "shutdown"
        ]
        wrong += [
            f"answer to sequence number {seq}, which no request has" for seq in client.answers if seq not in client.sent
        ]

    def _compare_answer(self, client: TracedClient, seq: int, request: Request) -> None:
        """Check that a request got one answer in time with its own result, unless it no longer needed an answer."""
        wrong = self.trial.wrong
        counts = self.trial.counts
        counts["requests"] += 1
        count = client.count[seq]
        if count > 1:
            wrong.append(f"{count} answers to {request}")
        # By the protocol, clients resend a request that crosses a close within 50 ms, so it must not have run.
        crossed = request.sent_ms > client.ended_ms - CROSSING_MS and request.rid not in self.starts
        counts["crossed"] += crossed
        if count == 0 and not (client.left or seq in client.aborted or crossed):
            wrong.append(f"no answer to {request}")
        if count:
            kind, value = client.answers[seq]
            counts[kind] += 1
            late_ms = client.times[seq] - request.sent_ms - ANSWER_DUE_MS[request.method]
            if late_ms > SLACK_MS:
                wrong.append(f"answer {late_ms:.0f} ms late: {request}")
            if kind == "success" and value.body != b"result of " + request.body:
                wrong.append(f"result of another request: {request}: {value.body!r}")
