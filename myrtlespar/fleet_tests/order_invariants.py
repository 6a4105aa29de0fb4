"""The invariants of single requests, checked against the runs of the fake engines and the answers to client proxies."""

from __future__ import annotations

from collections import Counter

from myrtlespar.fleet_tests.ground_truth import FaultAction
from myrtlespar.fleet_tests.load_generator import LoadGenerator, LoadRequest
from myrtlespar.fleet_tests.process_launcher import FleetRun

ENGINE_SERVICES = {"store", "kernel"}  # dependency and execution engine; while one is cut off, requests may time out


def check_orders(run: FleetRun, load: LoadGenerator, requests: list[LoadRequest]) -> tuple[list[str], dict[str, int]]:
    """Check all invariants of requests.

    - No request is answered twice.
    - An order is started at most once: client proxies retry only requests that were rejected or never sent.
    - A member does not reject a request that its engine has started.
    - A member that is never stopped or paused answers each request in time. This is not checked in runs that cut a
      service off.

    Returns:
        A line for each violation, and the number of requests by outcome.
    """
    broken = [
        *_orders_started_again(run),
        *_started_and_rejected(run, requests),
        *_unanswered(run, requests),
    ]
    duplicates = sum(proxy.duplicate_answers for proxy in load.proxies)
    if duplicates:
        broken.append(f"orders: {duplicates} requests were answered twice")
    return broken, dict(Counter(request.outcome for request in requests))


def _orders_started_again(run: FleetRun) -> list[str]:
    starts: Counter[bytes] = Counter()
    for member in run.members.values():
        for engine in member.engines:
            starts.update(engine.starts_by_body)
    return [
        f"orders: {body.decode()} was started {count} times"
        for body, count in starts.items()
        if body.startswith(b"order") and count > 1
    ]


def _started_and_rejected(run: FleetRun, requests: list[LoadRequest]) -> list[str]:
    started_at: dict[tuple[str, bytes], float] = {}  # first start by member and body
    for member in run.members.values():
        for engine in member.engines:
            for body, at, _ in engine.runs:
                started_at[member.name, body] = min(at, started_at.get((member.name, body), at))
    return [
        f"orders: {name} ran {request.body.decode()} and refused it"
        for request in requests
        for name, rejected_at in zip(request.rejected_by, request.rejected_at, strict=True)
        if started_at.get((name, request.body), rejected_at) < rejected_at
    ]


def _unanswered(run: FleetRun, requests: list[LoadRequest]) -> list[str]:
    """Return requests that members did not answer in time though they ran throughout; none if a service was cut off."""
    disturbed = {action.name for action in run.actions if action.kind in ("down", "pause", "left")}
    if any(_cuts_services(action) for action in run.actions):
        return []
    return [
        f"orders: {request.member} gave {request.body.decode()} no answer by its due time"
        for request in requests
        if request.outcome == "none" and request.member not in disturbed
    ]


def _cuts_services(action: FaultAction) -> bool:
    rule = action.rule
    if rule is None:
        return False
    return bool((rule.cut and rule.second & ENGINE_SERVICES) or rule.first & ENGINE_SERVICES)
