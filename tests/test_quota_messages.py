"""Encoding of messages about limits, and of the budget journal's file."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from myrtlespar.net import budget_file
from myrtlespar.net.codec.limits import MAX_KEY_LENGTH, LimitDatagram, decode, encode
from myrtlespar.net.codec.peer import MAX_DATAGRAM_BYTES, MalformedPeerMessageError
from myrtlespar.quota.budget import BudgetPeriod
from myrtlespar.quota.grant_exchange import MAX_DEMANDS_PER_REQUEST
from myrtlespar.quota.messages import GrantRequest, GrantResponse, KeyDemand, LeaseVote
from myrtlespar.quota.settings import MAX_AMOUNT
from myrtlespar.quota.shard_leadership import MAX_ALLOWANCES_PER_VOTE

LONGEST_KEY = "k" * MAX_KEY_LENGTH
LARGE_NUMBER = 2**40
LARGEST_DEMAND = KeyDemand(LONGEST_KEY, MAX_AMOUNT, LARGE_NUMBER, MAX_AMOUNT, MAX_AMOUNT)
LARGEST_MESSAGES = (
    GrantRequest(3, LARGE_NUMBER, (LARGEST_DEMAND,) * MAX_DEMANDS_PER_REQUEST),
    GrantResponse(3, LARGE_NUMBER, LARGE_NUMBER, 600_000, ((LONGEST_KEY, MAX_AMOUNT),) * MAX_DEMANDS_PER_REQUEST),
    LeaseVote(3, LARGE_NUMBER, True, LARGE_NUMBER, True, ((LONGEST_KEY, MAX_AMOUNT),) * MAX_ALLOWANCES_PER_VOTE),
)


def test_the_largest_amount_is_ten_million() -> None:
    assert MAX_AMOUNT == 10**7


def test_every_message_about_limits_fits_a_datagram_and_is_decoded_unchanged() -> None:
    random = Random(1)
    for message in LARGEST_MESSAGES:
        datagram = LimitDatagram("f" * 48, "n" * 48, 2**45, message)
        data = encode(datagram)
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert decode(data) == datagram
        for _ in range(200):
            corrupt = bytearray(data)
            corrupt[random.randrange(len(data))] ^= 1 << random.randrange(8)
            with pytest.raises(MalformedPeerMessageError):
                decode(bytes(corrupt))
    with pytest.raises(MalformedPeerMessageError):
        decode(encode(LimitDatagram("f", "n", 1, GrantResponse(0, 1, 1, 1, (("k", -1),)))))


def test_a_budget_journal_is_read_unchanged_or_rejected(tmp_path: Path) -> None:
    path = tmp_path / "budgets.bin"
    totals = {BudgetPeriod("x", 20_000): 17, BudgetPeriod("x/shop", 20_000): 2**40}
    assert budget_file.read(path) == {}
    budget_file.write(path, totals)
    assert budget_file.read(path) == totals
    data = path.read_bytes()
    for position in range(len(data)):
        truncated = data[:position]
        corrupt = truncated + bytes([data[position] ^ 4]) + data[position + 1 :]
        for damaged in (truncated, corrupt):
            path.write_bytes(damaged)
            with pytest.raises(budget_file.CorruptBudgetFileError):
                budget_file.read(path)
