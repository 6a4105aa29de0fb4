"""The lifecycle of the server process: it ends only when no answer is outstanding."""

from __future__ import annotations

from myrtlespar.state_machines.process import ProcessAction, ProcessEvent, ProcessLifecycle, ProcessState


def test_the_process_ends_only_when_no_answer_is_outstanding() -> None:
    process = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    process.begin_graceful_shutdown(0.0)
    assert not process.poll(1001.0, 1)
    assert process.poll(1001.0, 0)
    assert not process.poll(1060.0, 1)
    assert process.poll(1060.0, 0)
    process.handle(ProcessEvent.FLUSHED)
    assert process.state == ProcessState.STOPPED


def test_a_shutdown_during_a_handover_adds_its_grace_and_its_stop_time_but_gives_no_more_time() -> None:
    """Guards against a second signal, behind a hand-over whose replacement has died, that sets no deadline."""
    process = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    assert ProcessAction.CLOSE_LISTENERS in process.handover(0.0, 3700.0)
    process.begin_graceful_shutdown(200.0)
    assert process.kill_at == 3200.0
    assert process.may_start(1200.0)
    assert not process.may_start(1201.0)
    process.begin_graceful_shutdown(900.0)  # a further signal changes nothing
    assert process.kill_at == 3200.0
    later = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    later.handover(0.0, 3700.0)
    later.begin_graceful_shutdown(2000.0)
    assert later.kill_at == 3700.0


def test_the_earlier_of_two_possible_kills_counts() -> None:
    process = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    process.begin_graceful_shutdown(0.0, 1200.0)
    assert process.kill_at == 1200.0
    process = ProcessLifecycle(1000.0, 1000.0, 50.0, 300.0, 50.0)
    process.begin_graceful_shutdown(0.0, 1200.0)
    assert process.kill_at == 1000.0
