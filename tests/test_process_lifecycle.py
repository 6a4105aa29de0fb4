"""The lifecycle of the server process: it ends only when no answer is outstanding."""

from __future__ import annotations

from myrtlespar.state_machines.process import ProcessAction, ProcessEvent, ProcessLifecycle, ProcessState


def new_lifecycle(stop_ms: float = 3000.0) -> ProcessLifecycle:
    return ProcessLifecycle(stop_ms=stop_ms, grace_ms=1000.0, overdue_check_ms=50.0, flush_ms=300.0, crossing_ms=50.0)


def test_the_process_ends_only_when_no_answer_is_outstanding() -> None:
    process = new_lifecycle()
    process.begin_graceful_shutdown(0.0)
    assert not process.poll(1001.0, 1)
    assert process.poll(1001.0, 0)
    assert not process.poll(1060.0, 1)
    assert process.poll(1060.0, 0)
    process.handle(ProcessEvent.FLUSHED)
    assert process.state == ProcessState.STOPPED


def test_a_shutdown_during_a_handover_adds_its_grace_and_its_stop_time_but_gives_no_more_time() -> None:
    """Guards against a second signal, behind a hand-over whose replacement has died, that sets no deadline."""
    process = new_lifecycle()
    assert ProcessAction.CLOSE_LISTENERS in process.handover(0.0, 3700.0)
    process.begin_graceful_shutdown(200.0)
    assert process.kill_at == 3200.0
    assert process.may_start(1200.0)
    assert not process.may_start(1201.0)
    process.begin_graceful_shutdown(900.0)  # a further signal changes nothing
    assert process.kill_at == 3200.0
    later = new_lifecycle()
    later.handover(0.0, 3700.0)
    later.begin_graceful_shutdown(2000.0)
    assert later.kill_at == 3700.0


def test_the_earlier_of_two_possible_kills_counts() -> None:
    process = new_lifecycle()
    process.begin_graceful_shutdown(0.0, 1200.0)
    assert process.kill_at == 1200.0
    process = new_lifecycle(stop_ms=1000.0)
    process.begin_graceful_shutdown(0.0, 1200.0)
    assert process.kill_at == 1000.0


def test_answers_are_due_early_enough_for_the_keys_that_are_unwritten() -> None:
    process = new_lifecycle()
    process.handover(0.0, 3700.0)
    assert process.answer_deadline(4) == 3600.0
    process.publish_reserve_ms = 100.0
    process.average_key_ms = 0.5
    process.unwritten_keys = 996
    assert process.answer_deadline(4) == 2500.0
    process.unwritten_keys = 0
    assert process.answer_deadline(0) == 3500.0


def test_each_stage_ends_in_time_for_the_keys_although_requests_keep_coming() -> None:
    process = new_lifecycle()
    process.begin_graceful_shutdown(0.0)
    process.average_key_ms = 0.5
    process.unwritten_keys = 1990
    assert process.poll(849.0, unanswered=10) == ()
    assert process.poll(851.0, unanswered=10) == (ProcessAction.CLOSE_LISTENERS, ProcessAction.ASK_CLIENTS)
    assert process.poll(900.0, unanswered=10) == ()
    assert process.poll(901.0, unanswered=10) == (ProcessAction.FLUSH,)
    assert process.state == ProcessState.FLUSHING


def test_requests_that_cross_the_close_are_awaited_also_with_little_time() -> None:
    process = new_lifecycle()
    process.handover(0.0, 120.0)
    assert process.poll(49.0, unanswered=1) == ()
    assert process.poll(50.0, unanswered=1) == (ProcessAction.FLUSH,)
