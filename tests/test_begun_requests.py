"""The table of ids that have begun, and what the decisions do with an id that comes again."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from flaxstep.routing.begun_requests import (
    BYTES_PER_WORD,
    HEADER_WORDS,
    MAX_FILL_DENOMINATOR,
    MAX_FILL_NUMERATOR,
    BegunRequests,
    BegunRequestTable,
    table_words,
)
from flaxstep.routing.interface import (
    Fail,
    Group,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    ServerList,
)
from flaxstep.routing.policy import Policy
from tests.support import KEYED, START, make_server_entry, make_settings


def make_table(memory_mb: int = 1) -> BegunRequestTable:
    return BegunRequestTable(memoryview(bytearray(table_words(memory_mb) * BYTES_PER_WORD)).cast("Q"))


@pytest.mark.parametrize("seed", range(3))
def test_table_remembers_the_latest_ids_and_no_others(seed: int) -> None:
    rng, table = random.Random(seed), make_table()
    ids = [rng.randrange(1, 1 << 64) for _ in range(2000)]
    kept = (table_words(1) - HEADER_WORDS) // 2 * MAX_FILL_NUMERATOR // MAX_FILL_DENOMINATOR
    for position, request_id in enumerate(ids):
        assert request_id not in table
        table.add(request_id)
        table.add(request_id)  # takes no second slot
        assert all(recent in table for recent in ids[max(0, position + 1 - kept) : position + 1])
    assert sum(request_id in table for request_id in ids) <= 2 * kept


def test_of_two_processes_that_begin_the_same_id_at_most_one_sends_it() -> None:
    old, new = make_table(), make_table()
    first, second = BegunRequests(old, [new]), BegunRequests(new, [old])
    assert 7 not in first and 7 not in second  # both look before either writes
    assert first.begin(7) and not second.begin(7)
    assert 7 in first and 7 in second


# Guards against: an id that came again is sent, or its answer promises that it did not run.
@pytest.mark.parametrize(
    ("cls", "group", "answer"),
    [(0, Group.ALL, Refuse), (1, Group.ALL, Refuse), (1, Group.CELL, Fail), (2, Group.ALL, Fail)],
)
@pytest.mark.parametrize(
    "first_result", [Result.OK, Result.TIMEOUT, None], ids=["served", "timed out", "open"]
)
def test_id_that_comes_again_is_answered_unsent(
    cls: int, group: Group, answer: type, first_result: Result | None
) -> None:
    settings = make_settings()
    keyed = replace(KEYED, group=group)
    settings = replace(settings, classes=(settings.classes[0], keyed, settings.classes[2]))
    policy = Policy(settings, 1, BegunRequests(make_table()))
    policy.handle(START, ServerList(ListKind.CACHED, 1, [make_server_entry(i) for i in range(8)]))
    (sent,) = policy.handle(START, Request(1, cls, START + 900, client_id=99))
    assert isinstance(sent, Send)
    if first_result is not None:
        policy.handle(START + 50, Outcome(1, sent.server, True, first_result, 0, 50.0))
    (action,) = policy.handle(START + 60, Request(2, cls, START + 900, client_id=99))
    assert type(action) is answer
    (action,) = policy.handle(START + 60, Request(3, cls, START + 900, client_id=98))
    assert isinstance(action, Send)
