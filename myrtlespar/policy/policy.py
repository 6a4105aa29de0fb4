"""The overload controller of one server. Its events and actions are in myrtlespar/policy/messages.py.

The mechanism is delayed rejection: while the overload flag is raised, costly arrivals are set aside and rejected only
when a timer ends, cheap requests start first, and set-aside requests get an occasional forced turn so that they don't
starve. See docs/design.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from myrtlespar.policy import messages as api
from myrtlespar.policy.admission import Admission
from myrtlespar.policy.circuit_breaker import CircuitBreaker
from myrtlespar.policy.client_timeouts import ClientTimeouts
from myrtlespar.policy.dependency_calls import DependencyCalls
from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_queue import FLEET_CAPACITY_TOKEN, FleetQueue
from myrtlespar.policy.held_request import CALLING, JOINED, RUNNING, STARTED_STATES, HeldRequest
from myrtlespar.policy.load_advertisement import LoadAdvertisement
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.policy.scheduler import Scheduler
from myrtlespar.policy.server_health import ServerHealth
from myrtlespar.policy.server_share import ServerShare, ShareDemand
from myrtlespar.policy.server_state import new_server_state

HOUSEKEEPING_TOKEN = 0  # token of the periodic ticks; ticks for the fleet queue have `FLEET_CAPACITY_TOKEN`


class Policy:
    """The controller of one server: the caller passes events to `handle` and carries out the actions it returns.

    The policy passes each event to the components that it concerns. The components own the state and make the
    decisions; each is an attribute of the policy and has its own module.

    Attributes:
        seed: The seed that the server was given; it is unused, as no decision is random.
        next_wake: When the next housekeeping tick is due, in ms on the policy's clock.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.seed = seed
        self.next_wake = -1.0
        self._last_tick = -1.0
        state = new_server_state(settings)
        self._gauges = settings.gauges
        self._memory_kb = settings.memory_kb
        self._run_memory_factor = settings.run_memory_factor
        self._clock = state.clock
        self._actions = state.actions
        self.memory = state.memory
        self.table = state.table
        self.keys = state.keys
        self.quotas = state.quotas
        self.drain = state.drain
        self.costs = state.costs
        self.queues = state.queues
        self.overload = state.overload
        self.capacity = state.capacity
        self.concurrency = state.concurrency
        self.faults = state.faults
        self.connections = state.connections
        self._cores = state.cores
        self.client_timeouts = ClientTimeouts(settings)
        self.answers = FinalAnswers(state)
        self.fleet_queue = FleetQueue(state, self.answers)
        self.scheduler = Scheduler(state, self.answers, self.fleet_queue)
        self.admission = Admission(state, self.client_timeouts, self.answers, self.scheduler)
        breaker = CircuitBreaker(len(settings.classes), state.clock, state.actions, state.probe_interval_ms)
        self.dependency = DependencyCalls(state, breaker, self.answers)
        self.advertisement = LoadAdvertisement(state)
        self.health = ServerHealth(
            settings.discovery_follows_health, state.actions, state.overload, state.capacity, state.drain
        )
        self._fleet: api.FleetLimitsPort | None = None
        self._handlers = self._handlers_by_event()

    @property
    def fleet(self) -> api.FleetLimitsPort | None:
        """The limits of the whole fleet; None if there are none."""
        return self._fleet

    @fleet.setter
    def fleet(self, limits: api.FleetLimitsPort | None) -> None:
        self._fleet = limits
        self.answers.fleet = limits
        self.admission.fleet = limits
        self.scheduler.fleet = limits
        self.dependency.fleet = limits

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process a batch of events and return the actions to carry out.

        Args:
            now: The current time in ms on the caller's clock; if it goes back, the policy's clock does not advance.
            events: The events since the previous batch, in the order in which they happened.

        Returns:
            The actions, in the order in which to carry them out.
        """
        if self._clock.started_at < 0:
            self._start(now)
        self._advance(now)
        for event in events:
            self._handlers[type(event)](event)
        self.answers.fail_expired_runs()
        self.answers.enforce_deadlines()
        self.overload.update_flag()
        if self._fleet:
            self.fleet_queue.take_ready(self._fleet)
        self.scheduler.start_work()
        if self.dependency.waiting:
            self.dependency.make_calls()
        if self.next_wake <= now:
            tick_ms = self._clock.tick_ms
            self.next_wake = now + tick_ms
            self._actions.append(api.Wake(tick_ms, HOUSEKEEPING_TOKEN))
        if self._fleet:
            self.fleet_queue.wake_when_ready(self._fleet, self.next_wake)
        return self._actions.take()

    def whole_share(self) -> ServerShare:
        """Return the capacity of the server, which all of its processes share."""
        return ServerShare(self._memory_kb, 1.0, self.dependency.server_share)

    def share_demand(self) -> ShareDemand:
        """Return what this process needs of the capacity of the server."""
        max_started = self.concurrency.max_started_on_server()
        started = self.concurrency.on_cores + self.concurrency.at_calls
        calls = self.dependency.unfinished_calls
        mean_calls = self.dependency.mean_in_flight
        added_kb = self.memory.queued_kb * (self._run_memory_factor - 1)
        request_count = len(self.table.requests)
        return ShareDemand(
            ServerShare(self.memory.used_kb, started / max_started, calls, mean_calls),
            ServerShare(self.memory.used_kb + added_kb, request_count / max_started, calls + request_count, mean_calls),
        )

    def leave_to_other_process(self, share: ServerShare) -> None:
        """Leave a part of the capacity to another process of this server, in place of what was left to it before."""
        self.memory.reserve(share.memory_kb)
        self.concurrency.reserved_fraction = share.run_fraction
        self.dependency.reserved = share

    def _handlers_by_event(self) -> dict[type[api.Event], Callable[[Any], None]]:
        return {
            api.Arrival: self.admission.arrive,
            api.RunEnded: self._run_ended,
            api.Tick: self._tick,
            api.CallNeeded: self._call_needed,
            api.CallEnded: self._call_ended,
            api.CallerGone: self._caller_gone,
            api.Drain: self._drain,
        }

    def _start(self, now: float) -> None:
        self._clock.start(now)
        self._last_tick = now
        self.faults.restart_progress_timer()
        self.health.report(True)

    def _advance(self, now: float) -> None:
        """Advance all components that depend on time to `now`."""
        step_ms = self._clock.advance(now)
        if step_ms > self._clock.max_step_ms:  # the whole process stalled: no sign of hanging cores
            self.faults.restart_progress_timer()
        self.concurrency.advance(step_ms)
        self.dependency.advance(step_ms)
        self.quotas.refill(step_ms, self.capacity.requests_per_s())
        self.keys.expire(now)

    def _run_ended(self, event: api.RunEnded) -> None:
        request = self.table.requests.get(event.id)
        if request is None:
            return
        if request.state is JOINED:
            self.memory.queued_kb -= request.memory_kb
            self.table.end(request)
            return
        if request.state not in STARTED_STATES:
            return
        if self._fleet:
            self._fleet.release(request.id)
        self._leave_core(request)
        outcome = event.outcome
        if (outcome is RunOutcome.OK or outcome is RunOutcome.ERROR) and not request.answered:
            self.faults.note_outcome(failed=outcome is RunOutcome.ERROR)
        # Costs are also learned from a run stopped after its latency objective: it would have taken at least that long.
        stopped_late = outcome is RunOutcome.STOPPED and request.useful_until <= self._clock.now
        if outcome is RunOutcome.OK or stopped_late:
            self.costs.learn(request, event.elapsed_ms)
            self.faults.update_slowed()
        self.table.end(request)

    def _leave_core(self, request: HeldRequest) -> None:
        """Record that a run ends, or that it leaves its core for a call to the dependency."""
        self.concurrency.leave(request)
        if request.state is CALLING:
            self.dependency.abandon(request)
        self.faults.note_progress()

    def _call_needed(self, event: api.CallNeeded) -> None:
        request = self.table.requests.get(event.id)
        if request is not None and request.state is RUNNING:
            self._leave_core(request)
            self.dependency.request_call(request)

    def _call_ended(self, event: api.CallEnded) -> None:
        request = self.table.requests.get(event.id)
        if request is not None and request.state is CALLING:
            self.dependency.end_call(request, event)

    def _caller_gone(self, event: api.CallerGone) -> None:
        request = self.table.requests.get(event.id)
        if request is not None:
            self.client_timeouts.learn_departure(request, self._clock.now)
            self.answers.close(request)

    def _tick(self, event: api.Tick) -> None:
        """Do the periodic work.

        A tick of the fleet queue needs none, as `handle` starts requests after every batch.
        """
        if event.token == FLEET_CAPACITY_TOKEN:
            return
        step_ms = self._clock.now - self._last_tick
        self._last_tick = self._clock.now
        gauges = dict(zip(self._gauges, event.gauges, strict=False))
        on_cores = self.concurrency.on_cores
        self.capacity.note_other_work(gauges.get("runnable", on_cores) - on_cores)
        is_work_waiting = sum(self.queues.queued_work) + sum(self.queues.set_aside_work) > 0
        self.concurrency.adjust(gauges.get("cpu_busy", 1.0), is_work_waiting)
        self.faults.update_hanging(self._cores)
        self.overload.decay_read_delay()
        self.health.update()
        self.advertisement.update(step_ms)

    def _drain(self, event: api.Drain) -> None:
        """Start draining: report bad health, and bring deadlines forward to before the process is killed."""
        self.drain.start(event.kill_at)
        self._actions.log(f"draining: {len(self.table.requests)} requests still to be answered")
        self.health.report(False)
        self.answers.bring_forward(self.drain.answers_due_at)
        self.advertisement.update(0.0)
