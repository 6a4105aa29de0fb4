"""The lifecycle of the server process: it ends only when no answer is outstanding."""

from __future__ import annotations

from myrtlespar.state_machines.process import ProcessEvent, ProcessLifecycle, ProcessState


def test_the_process_ends_only_when_no_answer_is_outstanding() -> None:
    process = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    process.begin_graceful_shutdown(0.0)
    assert not process.poll(1001.0, 1)
    assert process.poll(1001.0, 0)
    assert not process.poll(1060.0, 1)
    assert process.poll(1060.0, 0)
    process.handle(ProcessEvent.FLUSHED)
    assert process.state == ProcessState.STOPPED
