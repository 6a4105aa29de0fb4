"""Compares what an engine, a dependency, a registry and clients saw in a trial with what the clients asked for."""

from __future__ import annotations

import base64
from collections import Counter
from typing import TYPE_CHECKING, Any

from myrtlespar.fakes import ServerProcess
from tests.traced_peers import GIVE_UP_MS, Request, TracedClient

if TYPE_CHECKING:
    from tests.fault_injection import Trial

SLACK_MS = 600.0  # 100 of the settings, 50 of the protocol's page, the rest for a busy machine
CROSSING_MS = 50.0 + 250.0  # of the protocol's page, and what a thread here may notice an end too late
EFFECTFUL = "order"
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
            for request in (*client.sent.values(), *client.doubtful.values())
        }
        self.starts: Counter[str] = Counter()  # by request id

    def compare(self) -> None:
        """Compare everything, after the program ended."""
        self._compare_commands()
        self._compare_calls_and_reports()
        for client in self.trial.all_clients:
            self._compare_messages(client)
            for seq, request in client.sent.items():
                self._compare_answer(client, seq, request)
        log = [row for row in self.running.log if row["event"] in FAULT_EVENTS]
        self.trial.wrong += [f"fault in the log: {row}" for row in log if "injected" not in str(row)]

    def _compare_commands(self) -> None:
        """Each start and each reply that the engine got belongs to one request; no order started twice."""
        wrong = self.trial.wrong
        for command in self.trial.engine.history:
            if command["t"] == "SCHED":
                self._compare_start(command)
            elif command["t"] == "IODONE":
                reply = base64.b64decode(command["b64"])
                asked = self.trial.engine.asked.get(command["rid"], set())
                if reply not in {b"reply\r\nto " + body for body in asked}:
                    wrong.append(f"reply that no call got: {command}")
        wrong += [f"line to the kernel: {line!r}" for line in self.trial.engine.malformed]
        wrong += [
            f"order started {count} times: {self.requests[rid]}"
            for rid, count in self.starts.items()
            if count > 1 and rid in self.requests and self.requests[rid].method == EFFECTFUL
        ]

    def _compare_start(self, command: dict[str, Any]) -> None:
        self.starts[command["rid"]] += 1
        request = self.requests.get(command["rid"])
        started = (command["route"], base64.b64decode(command["b64"]))
        if request is None or (request.method, request.body) != started:
            self.trial.wrong.append(f"start that no client asked for: {command}")

    def _compare_calls_and_reports(self) -> None:
        """Each call was made by a run; the registry got reports of this program only."""
        wrong = self.trial.wrong
        wrong += [
            f"call that no run made: {id} {body!r}"
            for id, body in self.running.dependency.calls
            if body not in self.trial.engine.asked.get(id, set())
        ]
        reports = self.running.registry.reports
        wrong += [f"report of another: {path}" for path, _ in reports if path != "/roster/n3"]

    def _compare_messages(self, client: TracedClient) -> None:
        wrong = self.trial.wrong
        wrong += [f"unreadable answer: {text}" for text in client.unreadable]
        wrong += [
            f"message that no request stands behind: {name}" for name in client.one_way_messages if name != "shutdown"
        ]
        wrong += [f"answer {seq} to no request" for seq in client.answers if seq not in client.sent]

    def _compare_answer(self, client: TracedClient, seq: int, request: Request) -> None:
        """One answer, in time, with the result of this request, unless nothing is owed any longer."""
        wrong = self.trial.wrong
        counts = self.trial.counts
        counts["requests"] += 1
        count = client.count[seq]
        if count > 1:
            wrong.append(f"{count} answers to {request}")
        # The protocol's page: what crosses a close within 50 ms is sent once more, so it must not have run.
        crossed = request.sent_ms > client.ended_ms - CROSSING_MS and request.rid not in self.starts
        counts["crossed"] += crossed
        if count == 0 and not (client.left or seq in client.gave_up or crossed):
            wrong.append(f"no answer to {request}")
        if count:
            kind, value = client.answers[seq]
            counts[kind] += 1
            late_ms = client.times[seq] - request.sent_ms - GIVE_UP_MS[request.method]
            if late_ms > SLACK_MS:
                wrong.append(f"{late_ms:.0f} ms late: {request}")
            if kind == "success" and value.body != b"result of " + request.body:
                wrong.append(f"result of another request: {request}: {value.body!r}")
