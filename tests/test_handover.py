"""What one process of a node hands to the next: the list, the drains and the lease, by a file.

Without it a new process brought drained endpoints back (`review/10`). Neither may a file that is half
written, spoilt, or of a process that has ended.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.proxy import handover_files
from flaxstep.proxy.handover_files import HandoverReader, HandoverWriter
from flaxstep.proxy.handover_records import EndRecord, Record, RecordCodec
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.member_list import HandedList, MemberListReader
from flaxstep.proxy.shared_state import HANDOVER_SUFFIX, SharedState
from flaxstep.proxy.wall_clock import WallClock
from flaxstep.routing.interface import LeaseState, ListKind
from tests.net import FakeServer, run_node
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_node import run

CODEC = RecordCodec({"a": 0}, {"m": 0})
LEASE = LeaseState(2000.0, 1000.0, float("inf"), float("-inf"), 7000.0, 1500.0, float("-inf"))
MAX_LINE_BYTES = 4096
LIST = HandedList(2, 2, True, [], [], 5e5)


def make_reader(clock_offset_ms: float = 0.0) -> MemberListReader:
    """A reader whose wall clock is so far ahead."""
    clock = WallClock(lambda: 1e6 + clock_offset_ms, lambda: 5e5)
    return MemberListReader({"a": 0}, {"m": 0}, clock, stable_id)


LISTS = st.lists(
    st.tuples(
        st.sampled_from([ListKind.FULL, ListKind.DELTA]),
        st.integers(1, 6),  # the version, also of replicas that are behind
        st.dictionaries(
            st.sampled_from("wxyz"),
            st.tuples(st.sampled_from(["active", "leaving", "left"]), st.sampled_from([0.0, 6.1e5, 6.2e5])),
            max_size=4,
        ),
    ),
    min_size=1,
    max_size=6,
)


def apply(reader: MemberListReader, drawn: tuple[ListKind, int, dict[str, Any]]) -> list[Any]:
    kind, version, states = drawn
    instances = [
        {"instanceId": name, "hostPort": "h:1", "zone": "a", "machineType": "m", "cell": 0}
        | {"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started}
        for name, (lifecycle, started) in states.items()
    ]
    return reader.read({"generation": version, "instances": instances}, kind).endpoints


@given(LISTS, LISTS, st.floats(0.0, 2e5))
def test_a_successor_resolves_all_later_lists_as_its_predecessor(
    before: list[Any], after: list[Any], clock_step_ms: float
) -> None:
    old, new = make_reader(), make_reader(clock_step_ms)
    apply(new, (ListKind.CACHED, *before[0][1:]))  # the list of the configuration may be old
    for drawn in before:
        apply(old, drawn)
    handed = CODEC.decode(CODEC.encode(old.export(None)))
    assert handed == old.export(None)
    assert isinstance(handed, HandedList) and new.adopt(handed, own_list_confirmed=False) is not None
    assert new.known_endpoints == old.known_endpoints
    for drawn in after:
        assert apply(new, drawn) == apply(old, drawn)


def test_an_older_list_is_not_taken_over_but_its_drains_are() -> None:
    old, new = make_reader(), make_reader()
    apply(old, (ListKind.FULL, 2, {"w": ("active", 0.0), "x": ("active", 0.0)}))
    apply(old, (ListKind.DELTA, 3, {"x": ("left", 0.0)}))
    apply(new, (ListKind.FULL, 4, {"w": ("leaving", 0.0)}))
    assert new.adopt(old.export(3), own_list_confirmed=True) is None
    (ready,) = apply(new, (ListKind.DELTA, 2, {"x": ("active", 0.0)}))  # from a replica that is behind
    assert ready.entry.state.name == "DRAINING"


def file_pair(folder: Path) -> tuple[HandoverWriter, HandoverReader]:
    return HandoverWriter(folder / "a.list", CODEC), HandoverReader(folder / "a.list", CODEC, MAX_LINE_BYTES)


def cut(line: bytes) -> bytes:
    return line[: len(line) // 2]


@pytest.mark.parametrize(
    ("damage", "read", "ended"),
    [
        (lambda lease: lease + CODEC.encode(EndRecord()), [LIST, LEASE, EndRecord()], True),
        (lambda lease: lease, [LIST, LEASE], False),
        (cut, [LIST], False),
        (lambda lease: cut(lease) + b"\n" + lease, [LIST], False),
        (lambda lease: lease.replace(b"7000.0", b"NaN") + CODEC.encode(EndRecord()), [LIST], False),
        (lambda lease: b'["lease"]\n["end"]\n', [LIST], False),
        (lambda lease: b'["list",3,3,true,[["x"]],[],0]\n["end"]\n', [LIST], False),
        (lambda lease: b"\xff\n" + lease, [LIST], False),
        (lambda lease: b"7\n" + lease, [LIST], False),
        (lambda lease: b" " * 2 * MAX_LINE_BYTES, [LIST], False),
    ],
)
def test_only_whole_records_are_read(
    tmp_path: Path, damage: Callable[[bytes], bytes], read: list[Record], ended: bool
) -> None:
    _, reader = file_pair(tmp_path)
    (tmp_path / "a.list").write_bytes(CODEC.encode(LIST) + damage(CODEC.encode(LEASE)))
    assert reader.read() == read and reader.ended == ended
    assert reader.read() == []


def test_a_file_that_could_not_be_written_is_written_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    writer, reader = file_pair(tmp_path)
    writer.rewrite([LIST, LEASE])
    assert reader.read() == [LIST, LEASE]
    whole_write = os.write

    def fail(descriptor: int, data: Any) -> int:
        if len(data) < 20:
            raise OSError(errno.ENOSPC, "no space left")
        return whole_write(descriptor, data[: len(data) // 2])

    monkeypatch.setattr(handover_files.os, "write", fail)
    writer.append(LEASE)
    assert not writer.is_open and not writer.needs_rewrite  # not again at once
    assert not writer.path.exists()  # another successor would miss what could not be written
    writer.append(EndRecord())
    monkeypatch.undo()
    assert reader.read() == [] and not reader.ended
    writer.rewrite([replace(LIST, version=3)])
    writer.append(EndRecord())
    assert reader.read() == [replace(LIST, version=3), EndRecord()] and reader.ended


def test_a_process_that_has_ended_hands_over_nothing(tmp_path: Path) -> None:
    killed, new = (SharedState(tmp_path, "n0", lambda old, new: None) for _ in range(2))
    left = killed.presence_file.with_suffix(HANDOVER_SUFFIX)
    left.write_bytes(CODEC.encode(LIST) + CODEC.encode(EndRecord()))
    killed.presence_file.touch()  # not locked
    new.start()
    assert new.find_predecessor() is None and not left.exists()


def test_nothing_is_written_without_a_successor_and_no_file_is_left(tmp_path: Path) -> None:
    def lists() -> list[Path]:
        return list(tmp_path.glob("*list"))

    async def test() -> None:
        server = await FakeServer().start()
        shared: dict[str, Any] = {"admin": ADMIN_ADDRESS, "shared_folder": tmp_path}
        async with run_node(server, **shared) as old:
            old.discovery.push_update(2, [server.list_entry("s-2")])
            await wait_until(lambda: len(old.node.endpoint_updates.listed) == 2)
            assert not lists()
            async with run_node(server, **shared) as new:
                await wait_until(lambda: new.node.policy.lease.heard_until > 0.0)
                assert len(new.node.endpoint_updates.listed) == 2 and len(lists()) == 1
            await wait_until(lambda: not old.node.shared_state.others_running)
            await wait_until(lambda: not lists())

    run(test())
