"""The log of commands to the execution engine: no effectful start is sent twice, and lost commands are abandoned."""

from __future__ import annotations

from myrtlespar.state_machines.command_log import Command, CommandLog, EndRun, RefuseStart, RequestMark, WriteCommand
from myrtlespar.state_machines.engine_link import LinkState


def test_a_lost_effectful_start_is_not_sent_again_when_a_mark_arrives() -> None:
    command_log = CommandLog(lambda request_id: True, 8)

    def connect() -> None:
        command_log.connected()
        mark = command_log.booted()[0]
        assert isinstance(mark, RequestMark)
        assert not [effect for effect in command_log.mark_received(mark.name) or [] if isinstance(effect, WriteCommand)]

    connect()
    assert isinstance(command_log.send(Command("a", b"", True))[0], WriteCommand)
    command_log.broken()
    connect()
    doubt = command_log.request_doubt_mark()[0]
    assert isinstance(doubt, RequestMark)
    assert command_log.mark_received(doubt.name) == []


def test_a_lost_start_that_no_client_waits_for_is_abandoned() -> None:
    command_log = CommandLog(lambda request_id: False, 8)
    command_log.state = LinkState.READY
    command_log.send(Command("a", b"", True))
    command_log.broken()
    command_log.connected()
    mark = command_log.booted()[0]
    assert isinstance(mark, RequestMark)
    assert command_log.mark_received(mark.name) == []
    doubt = command_log.request_doubt_mark()[0]
    assert isinstance(doubt, RequestMark)
    assert command_log.mark_received(doubt.name) == [EndRun("a")]


def test_a_start_that_is_not_allowed_is_rejected_and_one_in_doubt_is_not_sent_again() -> None:
    confirmed = {"a"}
    command_log = CommandLog(lambda request_id: True, 8, lambda request_id: request_id in confirmed)
    command_log.connected()
    mark = command_log.booted()[0]
    assert isinstance(mark, RequestMark)
    command_log.mark_received(mark.name)
    assert command_log.send(Command("b", b"", True)) == [RefuseStart("b")]
    assert "b" not in command_log.unconfirmed
    (sent,) = command_log.send(Command("a", b"", True, is_idempotent=True))
    assert isinstance(sent, WriteCommand)
    command_log.broken()
    confirmed.clear()
    command_log.connected()
    mark = command_log.booted()[0]
    assert isinstance(mark, RequestMark)
    assert command_log.mark_received(mark.name) == []
    assert "a" in command_log.unconfirmed
    assert command_log.send(Command("c", b"", False)) != []  # a reply to a dependency call needs no confirmation
