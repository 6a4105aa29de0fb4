"""Every decision of myrtlespar. The types it speaks are in myrtlespar/policy/messages.py.

The mechanism is delayed rejection: while an overload flag is up, costly arrivals are set aside and refused
only after a timer, cheap work runs first, and set-aside work still gets a forced turn. See docs/design.md.
"""

from __future__ import annotations

import heapq
import math
from collections import deque

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import Effect, RunOutcome, Signal

TICK_MS = 50.0  # ms between housekeeping ticks; also at most half the answer slack, so no due time is missed
OVERLOAD_AT = 0.25  # O, part of the tightest slack: later answers would start to pass their aim
ABATE_AT = 0.4  # A, part of O: far enough below it that one burst moves the flag once
T1_PART = 0.75  # T1, part of a request's slack: room for a burst to pass, and for the refusal to be of use
COSTLY = 1.25  # times the mean cost per worth: above it a class is costly (the costliest always is)
FORCED_TURN = 9  # starts of cheap work before set-aside work gets a turn (the document's n)
INNER_AIM = 0.5  # part of the aim left for a tier that is called by another one: the caller spends the rest
FIRST_COST = 0.1  # part of the aim taken as a class's core time until a run has shown it
SLOW_LEARN, FAST_LEARN = 0.02, 0.15  # weights of one run in the usual cost and in the present pace
SLOWED = 1.7  # times the usual pace: this server itself is slow, others are likely better
SURE = 20  # runs of a class before its figures are trusted to tell a slow or hanging server
STALL = 12  # runs of the longest class that the cores could have ended: if none moved meanwhile, they hang
STILL = 2.0  # times the tick: no batch for so long means that the whole process stood still
CROWD_PART = 0.9  # part of the survivable crowd filled even if every call came back at once
LIMIT_MOST = 1.2  # times the cores: the most the running limit may reach; more only slows all runs
HOLD_PART = 0.35  # part of the memory that held requests may take, so that runs find room
MEMORY_PART = 0.98  # part of the memory used at all; the rest is rounding
LEVEL_RISE, LEVEL_FALL = 0.5, 0.25  # level a second, per unit of excess wait and below A
LEVEL_MOST = 0.5  # told less, callers stop sending and hear no better: all servers idle and flood in turns
CALLS_PART = 0.6  # part of the share of calls in hand that their mean may use; at a moment all of it may
DEPENDENCY_BAD = 0.5  # part of calls failing at which the call is skipped where that has worth
RUNS_BAD = 0.5  # part of own runs failing from which on others serve a request better
PROBE_MS = 500.0  # ms between trials while the dependency is cut off or own runs fail
CALL_BACKOFF_MS = 50.0  # ms before a call that never ran is made again; doubles
PATIENCE_NEAR = 0.1  # part of a learned patience within which departures count as agreeing with it
PATIENCE_SURE = 0.4  # part of a caller's departures that must agree before its patience is believed
RETURN_PART = 0.5  # part of the callers' idle time: who comes back later than that keeps no connection here
SPARE_IDLE = 0.15  # part of the tightest aim for which a connection that is hardly used again is kept
SAME_WAIT = 0.01  # part by which a passed wait may differ and still be the caller's usual one
ASKED_MOST = 1.25  # times the even part of the quotas: asked for more, all servers are taken for overloaded
SHARE_S = 5.0  # s over which a tenant's arrivals are held against its share
KNOWN_CALLERS = 200  # callers and classes whose patience is remembered; the oldest goes first
STORM = 0.6  # part of requests refused from which on repeats are best kept out by a full table; ends at half
UNREAD_PART = 0.5  # part of the cores that runs may take while arrivals wait unread past O
HABITS = 4  # waits of a class that are remembered at a time
RARE = 0.2  # part of the commonest wait's count below which a wait is no first try's
USUAL_AIM = 1100.0  # ms; where the tightest aim is shorter, call backoff and trials follow it
LOG_LINES = 150  # lines an instance may print in its life

NEW, HELD, ASIDE, LATE, JOINED, RUNNING, AT_CALL, CALLING, OVER, ROOMLESS = range(10)
FOR_ROOM = 1  # token of the ticks that are asked for only to start what the fleet has room for again
STARTED = (RUNNING, AT_CALL, CALLING)
NEVER_RAN = (RunOutcome.REJECTED, RunOutcome.UNREACHABLE, RunOutcome.MOOT)


class HeldRequest:
    """One request that was read here, until its memory is free again."""

    def __init__(self, event: api.Arrival, now: float) -> None:
        self.id, self.cls, self.kb = event.id, event.class_index, event.memory_kb
        self.sender, self.tenant, self.prior = event.sender, event.tenant, event.prior
        self.arrived = now - event.waited_ms
        self.lane, self.state, self.tries = 0, NEW, 0
        self.over = self.answered = self.kept = self.walked = False
        self.aim_at = self.due = self.expires = self.mark = self.core_ms = self.retry_at = 0.0
        hint = event.cost_hint_ms
        self.log_hint, self.size = math.log(hint) if 0 < hint < math.inf else math.nan, 1.0


class Policy:
    """The controller of one server: feed it events, carry out its actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.s, self.seed = settings, seed
        self.cores = max(1, settings.cores)
        self.tick_ms = min(TICK_MS, max(1.0, settings.answer_slack_ms / 2))
        self.now = self.born = self.last_tick = self.next_wake = self.room_wake = -1.0
        self.awake, self.still_ms, self.resumed = 0.0, 0.0, -math.inf
        self.out: list[api.Action] = []
        self.jobs: dict[str, HeldRequest] = {}
        self.due: list[tuple[float, int, HeldRequest]] = []
        self.useless: list[tuple[float, int, HeldRequest]] = []
        self.waits: list[tuple[float, int, HeldRequest]] = []
        self.serial = self.lines = self.arrivals = 0
        self.bound_told = float("-inf")
        lanes = 2 * len(settings.classes)
        self.hold: list[deque[HeldRequest]] = [deque() for _ in range(lanes)]
        self.aside: list[deque[HeldRequest]] = [deque() for _ in range(lanes)]
        self.late: deque[HeldRequest] = deque()
        self.held, self.put_aside = [0.0] * lanes, [0.0] * lanes  # sums of sizes, exact: see _size
        self.hint_mean = [math.nan] * len(settings.classes)
        self.hint_spread, self.hint_cost = 1.0, 0.0  # of log hints; of them with log costs
        self.at_call: deque[HeldRequest] = deque()
        self.scale = max(0.01, min(1.0, min(c.latency_objective_ms for c in settings.classes) / USUAL_AIM))
        part = INNER_AIM if settings.tier > 0 else 1.0
        self.aim = [c.latency_objective_ms * part for c in settings.classes]
        self.usual = [FIRST_COST * aim for aim in self.aim]
        self.elapsed = [2.0 * cost for cost in self.usual]
        self.runs_seen = [0] * len(settings.classes)
        self.pace = 1.0
        self.mean_cost = self.mean_worth = 0.0
        self.fleet: api.FleetLimitsPort | None = None  # limits that hold for all servers together, where there are any
        self.clock = 0.0  # core time given to each running request so far
        self.reading = 0.0
        self.on_core = self.waiters = 0
        self.memory = self.held_kb = 0.0
        self.keys: list[tuple[float, str]] = []
        self.key_ids: dict[str, float] = {}
        self.limit = float(self.cores)
        self.flag = self.stalled = self.slowed = self.cut_off = self.off = False
        self.cheap_starts = 0
        self.progress = 0.0
        self.unread_ms = 0.0
        self.level, self.said = 0.0, -1.0
        self.calls_mean = self.calls_failed = self.last_trial = 0.0
        self.calls_out, self.failing, self.last_try = 0, 0.0, 0.0
        self.lingering: deque[float] = deque()  # when abandoned calls may leave the dependency's hands
        even = [quota / max(1, settings.servers) for quota in settings.tenant_quotas]
        self.even = sum(even)
        self.gap_ms = 1000.0 / self.even if self.even > 0 else 0.0
        self.last_arrival, self.lean, self.storm, self.refused = -1.0, False, False, 0.0
        self.call_ms = [0.0] * len(settings.classes)
        self.open_by: dict[int, int] = {}
        self.first_waits: list[list[list[float]]] = [[] for _ in settings.classes]
        self.patience: dict[tuple[int, int], list[float]] = {}
        self.tokens = [self._depth(rate) for rate in even]
        self.pledged = [0] * len(settings.tenant_quotas)
        self.drain_at = self.kill_line = float("inf")
        self.handlers = {
            api.Arrival: self._arrival,
            api.RunEnded: self._run_ended,
            api.Tick: self._tick,
            api.CallNeeded: self._call_needed,
            api.CallEnded: self._call_ended,
            api.CallerGone: self._caller_gone,
            api.Drain: self._drain,
        }

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take what happened at `now`, return what to do about it."""
        if self.born < 0:
            self.born = self.last_tick = self.now = self.progress = self.awake = now
            self.out.append(api.SetHealth(True, True))  # from store: a deep check costs work and a call
        self._pass_time(now)
        for event in events:
            self.handlers[type(event)](event)  # type: ignore[operator]
        self._end_useless()
        self._answer_due()
        self._move_flag()
        if self.fleet:
            self._take_room()
        self._start_work()
        self._try_calls()
        if self.next_wake <= now:
            self.next_wake = now + self.tick_ms
            self.out.append(api.Wake(self.tick_ms, 0))
        if self.fleet:
            self._wake_for_room()
        out, self.out = self.out, []
        return out

    # What is known of time, cost and worth.

    def _pass_time(self, now: float) -> None:
        step = max(0.0, now - self.now)
        self.awake, self.now = self.now, max(now, self.now)
        self.still_ms = max(self.still_ms, step - self.tick_ms)
        if step > STILL * self.tick_ms:  # not the work alone stood still: no core time, no hang
            self.progress = self.resumed = now
        crowd = max(1.0, (self.on_core + self.reading) / self.cores)
        self.clock += min(step, STILL * self.tick_ms) / crowd
        over = max(1.0, self.s.calls_over_ms / 2)
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
        self.calls_mean += (self.calls_out + len(self.lingering) - self.calls_mean) * min(1.0, step / over)
        for tenant, quota in enumerate(self.s.tenant_quotas):
            rate = self._share_rate(quota)
            self.tokens[tenant] = min(self._depth(rate), self.tokens[tenant] + step * rate / 1000)
        while self.keys and self.keys[0][0] <= now:
            self._drop_key(heapq.heappop(self.keys)[1])

    def _share_rate(self, quota: float) -> float:
        """Requests a second within a tenant's share here: its part of the quota, or of what can be run here.

        Guards against callers that spread traffic unevenly: a busy server would see everybody overrun.
        """
        total = max(0.001, sum(self.s.tenant_quotas))
        return max(quota / max(1, self.s.servers), quota / total * self._able())

    def _depth(self, rate: float) -> float:
        # Twice the noise of chance arrivals: the few of a small share must not look like an overrun.
        return 1.0 + 2.0 * math.sqrt(SHARE_S * rate)

    def _others_may(self, job: HeldRequest) -> bool:
        """Others likely have room: this server cannot run its even part of the quotas, nor is asked for more.

        Guards against slow or cold servers that hold what faster ones would serve. Asked for far more, all
        are taken for overloaded; and a try that was turned away before is not sent on again.
        """
        return not job.walked and 0 < self._able() < self.even and self._asked_evenly()

    def _able(self) -> float:
        """Requests a second that the cores can run besides reading."""
        return 1000.0 * (self.cores - self.reading) / max(1.0, self.mean_cost) if self.mean_cost else 0.0

    def _asked_evenly(self) -> bool:
        """Asked for little more than its even part of the quotas: no flood, no overload of the fleet."""
        return ASKED_MOST * self.even * self.gap_ms > 1000.0

    def _size(self, job: HeldRequest) -> float:
        """Cost as a multiple of the class's mean, as far as hints have told costs of own runs apart.

        In sixteenths, so that sums of them are exact. Without hints or runs it is 1: the ordinary path.
        """
        mean = self.hint_mean[job.cls]
        if math.isnan(job.log_hint) or math.isnan(mean):
            return 1.0
        trust = max(0.0, min(self.hint_cost / self.hint_spread, 1.0))
        return max(1.0, round(16 * math.exp(trust * max(-4.0, min(job.log_hint - mean, 4.0))))) / 16

    def _learn_hint(self, job: HeldRequest, ratio: float) -> None:
        """How far hints predict: the slope of log costs over log hints, from none at the start."""
        if math.isnan(job.log_hint):
            return
        mean = self.hint_mean[job.cls]
        off = 0.0 if math.isnan(mean) else job.log_hint - mean
        self.hint_mean[job.cls] = job.log_hint if math.isnan(mean) else mean + FAST_LEARN * off
        weight = max(SLOW_LEARN, 1.0 / (SURE + sum(self.runs_seen)))
        self.hint_spread += weight * (off * off - self.hint_spread)
        self.hint_cost += weight * (off * math.log(max(0.01, ratio)) - self.hint_cost)

    def _cost(self, cls: int) -> float:
        return self.usual[cls] * self.pace

    def _worth(self, lane: int) -> float:
        return self.s.classes[lane >> 1].priority_weight * (self.s.over_quota_weight if lane & 1 else 1.0)

    def _density(self, lane: int) -> float:
        return self._worth(lane) / (1.0 if self.s.weight_by_work else max(0.001, self._cost(lane >> 1)))

    def _costly(self, lane: int) -> bool:
        # Cost per worth well above what arrives on average, or the highest of all classes.
        worst = min(self._density(2 * cls) for cls in range(len(self.s.classes)))
        mean = self.mean_worth / (1.0 if self.s.weight_by_work else max(0.001, self.mean_cost))
        return self._density(lane) <= worst or self._density(lane) * COSTLY < mean

    def _latest_start(self, job: HeldRequest) -> float:
        return min(job.aim_at, self.kill_line) - self.elapsed[job.cls] * job.size

    def _wait(self, with_aside: bool = True) -> float:
        """Time the work now waiting would need from all cores, and what arrivals waited unread."""
        work = sum(held * self._cost(lane >> 1) for lane, held in enumerate(self.held))
        if with_aside:
            work += sum(aside * self._cost(lane >> 1) for lane, aside in enumerate(self.put_aside))
        return work / self.cores + self.unread_ms

    def _overload_mark(self) -> float:
        """O, from the tightest class; a slowed server keeps a mark it can still get below."""
        slack = min(max(aim * 0.2, aim - spent) for aim, spent in zip(self.aim, self.elapsed, strict=True))
        return max(1.0, OVERLOAD_AT * slack)  # ms; an aim of nothing still leaves a mark

    def _survivable(self) -> float:
        """The crowd on the cores that this server survives, less while it may still be cold."""
        speed = 1.0
        if self.s.cold and self.s.warm_up_ms > 0:
            warmed = (self.now - self.born) / self.s.warm_up_ms
            speed = min(1.0, self.s.cold_from + (1 - self.s.cold_from) * warmed)
        return (1 + (self.s.fall_multiple - 1) * speed) * self.cores

    # Arrivals.

    def _arrival(self, event: api.Arrival) -> None:
        if event.id in self.jobs or not 0 <= event.class_index < len(self.s.classes):
            return
        job, kind = HeldRequest(event, self.now), self.s.classes[event.class_index]
        self.jobs[job.id] = job
        self._watch_callers(job.arrived)
        job.due = max(event.deadline if event.deadline > 0 else job.arrived + kind.client_timeout_ms, self.now)
        job.due = min(job.due, max(self.now, self.kill_line))
        age = self._age(job, event.deadline)
        job.walked = event.is_retry if self.s.marks_retries else age > 0
        first_sent = job.arrived - (age if job.walked else 0.0)
        job.size = self._size(job)
        waits, sure = self.patience.get((job.sender, job.cls), (0.0, 0.0))
        patient = waits if sure > PATIENCE_SURE else math.inf
        aim_at = job.due if self.s.tier > 0 and event.deadline > 0 else first_sent + self.aim[job.cls]
        job.aim_at = min(aim_at, job.arrived + patient, job.due)
        self._queue(self.due, job.due, job)
        self.memory += job.kb
        self.held_kb += job.kb
        self.open_by[job.sender] = self.open_by.get(job.sender, 0) + 1
        unread = self.now - max(job.arrived, self.resumed)  # a stillness of the process is no queue
        self.unread_ms += FAST_LEARN * (max(0.0, unread) - self.unread_ms)
        fed = self.fleet is None or self.fleet.record_attempt(
            event.is_retry
        )  # guards against repeats that feed an overload
        if job.prior:
            self._join(job)
        elif not fed:
            self._refuse(job, last=True)
        elif self._may_hold(job):
            self._hold(job)

    def _watch_callers(self, arrived: float) -> None:
        """Close idle connections early where a caller seldom comes back before it would close them.

        Guards against a table filled by many callers that come rarely: it takes work and keeps others out.
        """
        if self.last_arrival >= 0:
            self.gap_ms += FAST_LEARN / 3 * (max(0.0, arrived - self.last_arrival) - self.gap_ms)
        self.last_arrival = max(arrived, self.last_arrival)
        self.storm = self.refused > (STORM / 2 if self.storm else STORM)
        seldom = not self.storm and self.gap_ms * max(1, self.s.senders) > RETURN_PART * self.s.caller_idle_ms
        if self.lean != seldom and self.arrivals > SURE / 4:
            self.lean = not self.lean
            self.out.append(api.CloseIdle(SPARE_IDLE * min(self.aim) if self.lean else 0.0))

    def _age(self, job: HeldRequest, deadline: float) -> float:
        """How old a further try is, from a wait that no first try of its class has: what its caller has left.

        Guards against running repeats whose aim, counted from the first try, has passed. Learned from all
        callers, as a server may never see one of many twice; each habit has a wait of its own.
        """
        if deadline <= 0 or self.s.tier > 0:
            return 0.0
        wait, waits = deadline - job.arrived, self.first_waits[job.cls]
        near = [row for row in waits if abs(wait - row[0]) <= SAME_WAIT * row[0]]
        if near:
            near[0][1] = min(near[0][1] + 1.0, 5.0 * SURE)
        elif len(waits) < HABITS:
            waits.append([wait, 1.0])
        else:
            for row in waits:
                row[1] -= 1.0
            self.first_waits[job.cls] = [row for row in waits if row[1] > 0]
        most = max((row[1] for row in waits), default=0.0)
        if (near[0][1] if near else 0.0) <= RARE * most - 1.0:
            return max(0.0, self.s.classes[job.cls].client_timeout_ms - wait)
        return 0.0

    def _queue(self, heap: list[tuple[float, int, HeldRequest]], at: float, job: HeldRequest) -> None:
        self.serial += 1
        heapq.heappush(heap, (at, self.serial, job))

    def _give_up_at(self, job: HeldRequest) -> float:
        return min(job.expires or math.inf, self._latest_start(job))

    def _join(self, job: HeldRequest) -> None:
        """A repeat of a try that was kept here: it shares that try's one run, and is never run itself."""
        job.state = JOINED
        if self.memory > self.s.memory_kb * MEMORY_PART:
            return self._fail(job)
        self.out.append(api.Reuse(job.id))
        return None

    def _may_hold(self, job: HeldRequest) -> bool:
        """Turn away at once what must not or cannot be held: drain, hang, memory, no room for its key.

        So is all but a trial now and then while most own runs fail: never run, it may go elsewhere.
        So is what a slow server would start too late while others may have room: see `_others_may`.
        """
        keyed = self.s.classes[job.cls].effect is Effect.KEYED
        need = self.memory + (self.s.key_kb if keyed else 0.0)
        sick = self.failing > RUNS_BAD and self.now - self.last_try < PROBE_MS * self.scale
        full = need > self.s.memory_kb * MEMORY_PART or self.held_kb > self.s.memory_kb * HOLD_PART
        barred = self.stalled or job.arrived > self.drain_at + self.s.drain_grace_ms - self.s.round_ms
        if full:
            self._log_bound("memory")
        hopeless = self._wait() - self.unread_ms > T1_PART * (self._latest_start(job) - self.now) > 0
        if full or barred or sick or (hopeless and self._others_may(job)):
            self._refuse(job, last=False)
            return False
        self.last_try = self.now
        return True

    def _hold(self, job: HeldRequest) -> None:
        kind = self.s.classes[job.cls]
        shares = job.tenant < len(self.tokens)
        job.over = shares and self.tokens[job.tenant] - self.pledged[job.tenant] < 1.0
        job.lane = 2 * job.cls + int(job.over)
        self.arrivals += 1
        weight = max(SLOW_LEARN, 1.0 / self.arrivals)
        self.mean_cost += weight * (self._cost(job.cls) * job.size - self.mean_cost)
        self.mean_worth += weight * (self._worth(job.lane) - self.mean_worth)
        if kind.effect is Effect.KEYED:
            self._keep(job, kind.window_ms - (self.now - job.arrived) + self.s.round_ms)
        if shares and not job.over:
            self.pledged[job.tenant] += 1
        if self.flag and self._costly(job.lane):
            part = T1_PART / 3 if self._others_may(job) else T1_PART
            job.state, job.expires = ASIDE, self.now + part * max(0.0, self._latest_start(job) - self.now)
            self.aside[job.lane].append(job)
            self.put_aside[job.lane] += job.size
        else:
            job.state = HELD
            self.hold[job.lane].append(job)
            self.held[job.lane] += job.size
        self._queue(self.waits, self._give_up_at(job), job)

    def _keep(self, job: HeldRequest, for_ms: float) -> None:
        """Remember the key from the first sight on, so that a repeat of a held try is known too."""
        until = self.now + max(0.0, for_ms)
        job.kept = True
        self.out.append(api.Keep(job.id, max(0.0, for_ms)))
        self.key_ids[job.id] = until
        heapq.heappush(self.keys, (until, job.id))
        self.memory += self.s.key_kb

    def _drop_key(self, key: str) -> None:
        if self.key_ids.pop(key, None) is not None:
            self.memory -= self.s.key_kb

    # Final answers.

    def _leave_wait(self, job: HeldRequest) -> None:
        """Take a waiting request off the books of the hold; queues drop it when they meet it."""
        if job.state == HELD:
            self.held[job.lane] -= job.size
        elif job.state == ASIDE:
            self.put_aside[job.lane] -= job.size
        if job.state in (HELD, ASIDE) and not job.over and job.tenant < len(self.pledged):
            self.pledged[job.tenant] -= 1
        self.held_kb -= job.kb

    def _end(self, job: HeldRequest) -> None:
        """Nothing of the request is left but, perhaps, its key."""
        if job.state in STARTED:
            self.memory -= job.kb * self.s.run_memory_factor
        else:
            self.memory -= job.kb
        job.state = OVER
        del self.jobs[job.id]
        self._answered(job)

    def _answered(self, job: HeldRequest) -> None:
        if not job.answered:
            job.answered = True
            self.open_by[job.sender] -= 1
            if not self.open_by[job.sender]:
                del self.open_by[job.sender]

    def _drop_waiting(self, job: HeldRequest) -> None:
        if job.state != JOINED and job.kept:
            self.out.append(api.Forget(job.id))
            self._drop_key(job.id)
        if job.state == ROOMLESS and self.fleet:
            self.fleet.release(job.id)
        self._leave_wait(job)
        self._end(job)

    def _refuse(self, job: HeldRequest, last: bool, after: float = 0.0) -> None:
        """Only for what never ran here; `last` in overload, where another server would just read it. `after` is when
        a limit of the fleet may have room.
        """
        wait = after or max(self._wait(), self._overload_mark())  # as long as the waiting work needs
        last = last or (self.fleet is not None and not self.fleet.may_retry())
        self.out.append(api.Reject(job.id, min(self.s.max_retry_after_ms, wait), last))
        self.refused += SLOW_LEARN * (1.0 - self.refused)
        self._drop_waiting(job)

    def _fail(self, job: HeldRequest) -> None:
        self.out.append(api.Fail(job.id))
        self._close(job)

    def _close(self, job: HeldRequest) -> None:
        """No answer is owed any more; core, call and memory of a run are given back by its end."""
        if job.state not in STARTED:
            return self._drop_waiting(job)
        self._answered(job)
        if self.s.can_stop and job.state == RUNNING:  # over then: never started again, nor refused
            self.out.append(api.Stop(job.id))
            return None
        return None

    def _end_useless(self) -> None:
        """Fail what is of no use past its aim at once, where it waits for a call or can be stopped.

        Guards against runs that nobody can use keeping cores, memory and crowd, whatever made them late.
        """
        while self.useless and self.useless[0][0] <= self.now:
            job = heapq.heappop(self.useless)[2]
            if (self.s.can_stop or job.state in (AT_CALL, CALLING)) and not job.answered:
                self._fail(job)

    def _answer_due(self) -> None:
        """The hard deadline: what never ran is refused, what ran or joined a run is failed."""
        while self.due and self.due[0][0] <= self.now:
            job = heapq.heappop(self.due)[2]
            if job.state == OVER or job.answered or job.due > self.now:
                continue
            if job.state in (HELD, ASIDE, LATE, ROOMLESS):
                self._refuse(job, last=True)
            else:
                self._fail(job)

    # The flag and the hold.

    def _move_flag(self) -> None:
        wait, mark = self._wait(), self._overload_mark()
        if not self.flag and wait > mark:
            self.flag = True
            self._log(f"overload flag up: wait {wait:.0f} ms passed {mark:.0f} ms")
        elif self.flag and wait < ABATE_AT * mark:
            self.flag = False
            self._log(f"overload flag down: wait {wait:.0f} ms")

    def _expire(self) -> None:
        """Refuse what can no longer start in time (the sojourn bound) and what T1 has run out for."""
        while self.waits and self.waits[0][0] <= self.now:
            job = heapq.heappop(self.waits)[2]
            if job.state in (HELD, ASIDE, ROOMLESS) and (ends := self._give_up_at(job)) > self.now:
                self._queue(self.waits, ends, job)
            elif job.state == HELD:
                self._too_late(job)
            elif job.state == ASIDE:
                self._refuse(job, last=not self._others_may(job))
            elif job.state == ROOMLESS and self.fleet:
                self._refuse(job, False, self.fleet.reject(job.id, self._overload_mark()))
        while self.late and self.late[0].due - self.now < self.elapsed[self.late[0].cls]:
            if (late := self.late.popleft()).state == LATE:
                self._refuse(late, last=True)

    def _too_late(self, job: HeldRequest) -> None:
        """Past its aim a request is refused, unless a late answer has worth and there is no overload."""
        if self.s.classes[job.cls].late_weight > 0 and not self.flag and self.kill_line > job.due:
            self._leave_wait(job)
            self.held_kb += job.kb
            job.state = LATE
            self.late.append(job)
        else:
            if job.size <= 1 and self.now - job.arrived <= self.unread_ms + self.tick_ms:
                # Guards against one long run that shuts its class out, so that no other run corrects it.
                self.elapsed[job.cls] *= 1.0 - FAST_LEARN / 2
            self._refuse(job, last=not self._others_may(job))

    def _head(self, queues: list[deque[HeldRequest]], lane: int, state: int) -> HeldRequest | None:
        queue = queues[lane]
        while queue and queue[0].state != state:
            queue.popleft()
        return queue[0] if queue else None

    def _next(self) -> HeldRequest | None:
        """Cheap work first, by worth per cost in overload, by urgency else; set-aside work has its turn."""
        heads = [job for lane in range(len(self.hold)) if (job := self._head(self.hold, lane, HELD))]
        asides = [job for lane in range(len(self.aside)) if (job := self._head(self.aside, lane, ASIDE))]
        if asides and (not heads or self.cheap_starts >= FORCED_TURN):
            self.cheap_starts = 0
            return max(asides, key=lambda job: self._density(job.lane))
        if not heads:
            return next((job for job in self.late if job.state == LATE), None)
        self.cheap_starts += 1
        if self.flag:
            return max(heads, key=lambda job: (self._density(job.lane), -self._latest_start(job)))
        return min(heads, key=self._latest_start)

    def _start_work(self) -> None:
        """Start what the limit allows, less while arrivals wait unread past O.

        Guards against runs that slow reading, the one thing that all arrivals need, till all are late.
        """
        self._expire()
        crowd = self._survivable() * CROWD_PART
        limit = self.limit if self.unread_ms <= self._overload_mark() else UNREAD_PART * self.cores
        while self.on_core < limit and self.on_core + self.waiters + 1 <= crowd:
            job = self._next()
            if job is None:
                return None
            if self.memory + job.kb * (self.s.run_memory_factor - 1) > self.s.memory_kb * MEMORY_PART:
                return self._log_bound("memory")
            after = self.fleet.admit(job.id, job.cls, job.sender) if self.fleet else 0.0
            if after > 0:
                self._await_room(job, after)
            else:
                self._run(job)
        if self.on_core + self.waiters + 1 > crowd and sum(self.held) > 0:
            self._log_bound("crowd")
            return None
        return None

    def _await_room(self, job: HeldRequest, after: float) -> None:
        """Hold what the fleet will have room for in time, refuse the rest at once.

        Guards against room that lies free until the next request comes.
        """
        assert self.fleet is not None
        if job.state == LATE or self.now + after > self._give_up_at(job):
            return self._refuse(job, False, self.fleet.reject(job.id, after))
        self._leave_wait(job)  # it waits for no core
        self.held_kb += job.kb
        job.state = ROOMLESS
        self.fleet.enqueue(job.id, self._latest_start(job))
        return None

    def _take_room(self) -> None:
        """What the fleet has room for again stands in front of its lane, as it came before what is there."""
        assert self.fleet is not None
        for id in reversed(self.fleet.take_ready()):
            job = self.jobs[id]
            job.state = HELD
            self.held[job.lane] += job.size
            if not job.over and job.tenant < len(self.pledged):
                self.pledged[job.tenant] += 1
            self.hold[job.lane].appendleft(job)

    def _wake_for_room(self) -> None:
        after = self.fleet.next_ready_ms() if self.fleet else math.inf
        if self.now + after < self.next_wake and (self.now + after < self.room_wake or self.room_wake <= self.now):
            self.room_wake = self.now + after
            self.out.append(api.Wake(max(1.0, after), FOR_ROOM))

    def _run(self, job: HeldRequest) -> None:
        self._leave_wait(job)
        if job.tenant < len(self.tokens):
            self.tokens[job.tenant] = max(0.0, self.tokens[job.tenant] - 1.0)
        self.memory += job.kb * (self.s.run_memory_factor - 1)
        if not self.on_core:
            self.progress = self.now
        job.state, job.mark = RUNNING, self.clock
        self.on_core += 1
        if not self.s.classes[job.cls].late_weight:
            self._queue(self.useless, job.aim_at, job)
        self.out.append(api.Run(job.id))
        self.refused -= SLOW_LEARN * self.refused

    # Runs and calls.

    def _leave_core(self, job: HeldRequest) -> None:
        if job.state == RUNNING:
            self.on_core -= 1
            job.core_ms += self.clock - job.mark
        elif job.state in (AT_CALL, CALLING):
            self.waiters -= 1
            if job.state == CALLING:  # abandoned: it may stay in the dependency's hands for a while
                self.calls_out -= 1
                self._linger(job)
        self.progress = self.now
        if self.stalled:
            self.stalled = False
            self._log("runs move again")

    def _run_ended(self, event: api.RunEnded) -> None:
        job = self.jobs.get(event.id)
        if job is None:
            return None
        if job.state == JOINED:
            self.held_kb -= job.kb
            return self._end(job)
        if job.state not in STARTED:
            return None
        if self.fleet:
            self.fleet.release(job.id)
        self._leave_core(job)
        if event.outcome in (RunOutcome.OK, RunOutcome.ERROR) and not job.answered:
            self.failing += FAST_LEARN * (float(event.outcome is RunOutcome.ERROR) - self.failing)
        useless = event.outcome is RunOutcome.STOPPED and job.aim_at <= self.now  # it took at least so long
        if event.outcome is RunOutcome.OK or useless:
            self._learn(job, event.elapsed_ms)
        self._end(job)
        return None

    def _learn(self, job: HeldRequest, elapsed_ms: float) -> None:
        """Core time and elapsed time of a class, and how the present pace compares with the usual one."""
        cls = job.cls
        self.runs_seen[cls] += 1
        seen = self.runs_seen[cls]
        core_ms = job.core_ms / job.size
        self._learn_hint(job, job.core_ms / max(0.001, self._cost(cls)))
        self.usual[cls] += max(1.0 / seen, SLOW_LEARN) * (core_ms / self.pace - self.usual[cls])
        self.elapsed[cls] += max(1.0 / seen, FAST_LEARN / 2) * (elapsed_ms / job.size - self.elapsed[cls])
        if seen > SURE:
            ratio = min(20.0, core_ms / max(0.001, self.usual[cls]))
            self.pace += FAST_LEARN / 3 * (ratio - self.pace)
        if self.slowed != (self.pace > SLOWED):
            self.slowed = not self.slowed
            self._log(f"this server is {'slowed' if self.slowed else 'at its usual pace'}: {self.pace:.1f}")

    def _call_needed(self, event: api.CallNeeded) -> None:
        job = self.jobs.get(event.id)
        if job is None or job.state != RUNNING:
            return None
        self._leave_core(job)
        job.state, job.retry_at, job.tries = AT_CALL, self.now, 0
        self.waiters += 1
        if job.aim_at <= self.now and not self.s.classes[job.cls].late_weight and not job.answered:
            return self._fail(job)  # guards against calls and core time for what is of no use
        self.at_call.append(job)
        return None

    def _call_ended(self, event: api.CallEnded) -> None:
        job = self.jobs.get(event.id)
        if job is None or job.state != CALLING:
            return None
        self.calls_out -= 1
        good = event.outcome is RunOutcome.OK
        self._watch_dependency(job.cls, good, event.elapsed_ms)
        if event.outcome is RunOutcome.TIMED_OUT:
            self._linger(job)
        elif self.fleet:
            self.fleet.release_call(job.id, 0.0)
        job.state = AT_CALL
        if good:
            return self._return_to_core(job)
        kind = self.s.classes[job.cls]
        if job.answered:
            return None
        if kind.degraded_weight > 0:
            self._skip(job)
            return None
        if event.outcome in NEVER_RAN or kind.effect is Effect.SAFE:
            job.tries += 1
            job.retry_at = self.now + CALL_BACKOFF_MS * self.scale * 2**job.tries
            self.at_call.append(job)
            return None
        self._fail(job)
        return None

    def _watch_dependency(self, cls: int, good: bool, elapsed_ms: float) -> None:
        self.calls_failed += FAST_LEARN * ((0.0 if good else 1.0) - self.calls_failed)
        if good:
            self.call_ms[cls] += (FAST_LEARN if self.call_ms[cls] else 1.0) * (elapsed_ms - self.call_ms[cls])
        if self.cut_off != (self.calls_failed > DEPENDENCY_BAD):
            self.cut_off = not self.cut_off
            self._log("dependency cut off: calls fail" if self.cut_off else "dependency is back")

    def _return_to_core(self, job: HeldRequest) -> None:
        self.waiters -= 1
        self.on_core += 1
        job.state, job.mark = RUNNING, self.clock

    def _skip(self, job: HeldRequest) -> None:
        self.out.append(api.SkipCall(job.id))
        self._return_to_core(job)

    def _linger(self, job: HeldRequest) -> None:
        if self.fleet:
            self.fleet.release_call(job.id, self.s.linger_ms)
        if self.s.linger_ms > 0:
            self.lingering.append(self.now + self.s.linger_ms)

    def _room_to_call(self, at_once: int) -> bool:
        """Keep calls in hand well within the share in the mean, and at a moment within it or `at_once`.

        Guards against all servers filling their shares at once, given-up calls that linger included: the
        dependency counts an abandoned call for as long as it may keep it.
        """
        share = self.s.calls_share if self.s.shared_dependency and self.s.calls_share > 0 else math.inf
        held = self.calls_out + len(self.lingering)
        return held < max(at_once, share) and self.calls_mean < CALLS_PART * share

    def _pooled(self, job: HeldRequest) -> bool:
        """Room in what all servers together may have in the dependency's hands; the own share is a bound beside it."""
        return self.fleet is None or self.fleet.admit_call(job.id, job.cls)

    def _try_calls(self) -> None:
        for _ in range(len(self.at_call)):
            job = self.at_call.popleft()
            if job.state != AT_CALL or job.answered:
                continue
            if job.retry_at > self.now or not self._decide_call(job):
                self.at_call.append(job)

    def _decide_call(self, job: HeldRequest) -> bool:
        """Call, or go on without where that has worth and the call is unlikely to help; else wait."""
        share, limit = self.s.calls_share, job.due - self.now
        if not self.s.classes[job.cls].late_weight and self.s.passes_deadline:
            limit = job.aim_at - self.now  # passed on: what is called knows how long it is of use
        if self.s.classes[job.cls].degraded_weight > 0:
            limit = job.aim_at - self.now - self._cost(job.cls) / 2
            if self.call_ms[job.cls]:  # guards against calls that hang: the more fail, the shorter the wait
                limit = min(limit, self.call_ms[job.cls] / max(0.01, self.calls_failed))
            if 0 < share < self.cores:  # guards against calls that fill so small a share
                limit = min(limit, CALLS_PART * share * self.s.calls_over_ms / self.cores)
            off = self.cut_off and self.now - self.last_trial <= PROBE_MS * self.scale
            if off or limit < self.call_ms[job.cls] or not self._room_to_call(self.cores) or not self._pooled(job):
                self._skip(job)
                return True
        elif not self._room_to_call(1) or not self._pooled(job):
            return False
        self.last_trial = self.now
        job.state = CALLING
        self.calls_out += 1
        self.out.append(api.Call(job.id, max(self.s.round_ms, limit)))
        return True

    def _caller_gone(self, event: api.CallerGone) -> None:
        job = self.jobs.get(event.id)
        if job is None:
            return
        self._learn_patience(job)
        self._close(job)

    def _learn_patience(self, job: HeldRequest) -> None:
        """How long a caller waits for a class, where its departures agree: a low quantile of their ages.

        Guards against callers that give up before the aim; scattered departures (copies answered elsewhere)
        never agree and change nothing.
        """
        age = max(1.0, self.now - job.arrived)
        known = self.patience.setdefault((job.sender, job.cls), [age, 0.0])
        if len(self.patience) > KNOWN_CALLERS:
            self.patience.pop(next(iter(self.patience)))
        agrees = abs(age - known[0]) < PATIENCE_NEAR * known[0]
        known[1] += FAST_LEARN * (float(agrees) - known[1])
        known[0] += FAST_LEARN * (age - known[0]) * (1.0 if age < known[0] or agrees else 0.3)

    # Housekeeping, health, drain and what callers are told.

    def _tick(self, event: api.Tick) -> None:
        if event.token == FOR_ROOM:
            return
        step, self.last_tick = self.now - self.last_tick, self.now
        gauges = dict(zip(self.s.gauges, event.gauges, strict=False))
        others = gauges.get("runnable", self.on_core) - self.on_core
        self.reading += 0.3 * (max(0.0, min(others, self.cores)) - self.reading)
        self._move_limit(gauges.get("cpu_busy", 1.0))
        self._watch_progress()
        self.unread_ms *= 0.98
        self._leave_list()
        self._advertise(step)

    def _leave_list(self) -> None:
        """Report bad while arrivals wait unread past the whole slack, until they wait under O.

        Guards against callers that go on sending to a slowed or cold server; a flood would only move on.
        """
        slack = 1.0 / OVERLOAD_AT if self._asked_evenly() else math.inf
        off = self.unread_ms > self._overload_mark() * (1.0 if self.off else slack)
        if self.s.discovery_follows_health and off != self.off and self.drain_at > self.now:
            self.off = off
            self._log("off the list: what is read is too late" if off else "on the list again")
            self.out.append(api.SetHealth(not off, True))

    def _move_limit(self, busy: float) -> None:
        if busy < 0.92 and sum(self.held) + sum(self.put_aside) > 0:
            self.limit = min(self.limit + 1.0, LIMIT_MOST * self.cores, self._survivable())
        elif busy > 0.99:
            self.limit = max(float(self.cores), self.limit - 0.25)

    def _watch_progress(self) -> None:
        """Guards against cores that hang while events go on; few cores end few runs, so they wait longer."""
        longest = max(self.elapsed)
        if min(self.runs_seen) < SURE:
            longest = max(longest, max(self.aim))
        busy = min(self.on_core, self.cores)
        if busy and not self.stalled and (self.now - self.progress) * busy > STALL * longest:
            self.stalled = True
            self._log("no run moves: new work is turned away")

    def _advertise(self, step: float) -> None:
        if self.s.signal is Signal.NONE:
            return
        self._move_level(step)
        free = 0.0 if self.stalled or self.drain_at <= self.now else 1.0 - self.level
        if self.s.signal is Signal.LEVEL:
            value = 1.0 - free
        else:
            value = free if self.s.signal is Signal.WEIGHT else free * self._allowance()
        if abs(value - self.said) > 0.02 * max(1.0, value):
            self.said = value
            self.out.append(api.Advertise(value))

    def _move_level(self, step: float) -> None:
        """Up past O, down below A; where ranks no longer tell worth apart, cheap work alone moves it up."""
        mark, worths = self._overload_mark(), [c.priority_weight for c in self.s.classes]
        seconds = step / 1000
        useful = sum(priority_weight < max(worths) for priority_weight in worths) / len(worths)
        blind = self.s.signal is Signal.LEVEL and self.level >= useful
        pressure = self._wait(with_aside=False) - self.unread_ms if blind else self._wait()
        if pressure > mark:
            self.level += LEVEL_RISE * seconds * min(2.0, pressure / mark - 1)
        elif pressure < ABATE_AT * mark:
            self.level -= LEVEL_FALL * seconds
        self.level = max(0.0, min(self.level, LEVEL_MOST))

    def _allowance(self) -> float:
        """Requests each caller may have here: runs, calls and what can wait under O, split by use."""
        room = self.cores + self.waiters + self.cores * self._overload_mark() / max(1.0, self.mean_cost)
        used = self.open_by.values()
        spread = sum(used) ** 2 / sum(n * n for n in used) if used else float(self.s.senders)
        return room / max(1.0, spread)

    def _drain(self, event: api.Drain) -> None:
        """Advise callers to stay away; all answers are due a little before the kill.

        Guards against a process that stood still: the notice is taken for as old as the last moment seen
        awake, and answers are due before a stillness as long as the longest so far could cover the kill.
        """
        self.drain_at = min(self.drain_at, self.awake)
        margin = 3 * self.tick_ms + min(self.still_ms, max(0.0, event.kill_at - self.now) / 2)
        self.kill_line = min(self.kill_line, event.kill_at - margin)
        self._log(f"draining: {len(self.jobs)} requests to answer")
        self.out.append(api.SetHealth(False, True))
        for job in self.jobs.values():
            if not job.answered and job.due > self.kill_line:
                job.due = max(self.now, self.kill_line)
                self._queue(self.due, job.due, job)
        self._advertise(0.0)

    def _log_bound(self, name: str) -> None:
        """A bound that stays hit is told once every five seconds."""
        if self.now >= self.bound_told + 5000.0:
            self.bound_told = self.now
            self._log(f"{name} bound hit: {len(self.jobs)} requests here, {self.on_core} on the cores")

    def _log(self, text: str) -> None:
        if self.lines < LOG_LINES:
            self.lines += 1
            self.out.append(api.Log(f"{self.now:.0f} {text}"))
