"""When the bytes that a node reads were written, as far as it can tell."""

from __future__ import annotations

import pytest

from flaxstep.proxy.arrival_clock import TRANSFER_BYTES_PER_MS, ArrivalClock

MS_OF_TRANSFER = TRANSFER_BYTES_PER_MS

# Events, each with its time: bytes read (negative: more may wait), or a state of reading; then the time of
# writing of the byte that is read at 1000.
HELD_UP, CAUGHT_UP = "held up", "caught up"
CASES: dict[str, tuple[list[tuple[float, int | str]], float]] = {
    "all read at once": ([(10.0, 500), (20.0, 500)], 1000.0),
    "more waits since a read": ([(10.0, -1024)], 10.0 + 1024 / TRANSFER_BYTES_PER_MS),
    "reading has stopped": ([(10.0, 500), (30.0, HELD_UP)], 30.0),
    "stopped after more waited": ([(10.0, -1), (30.0, HELD_UP)], 10.0 + 1 / TRANSFER_BYTES_PER_MS),
    "the transfer itself takes time": ([(10.0, HELD_UP), (90.0, -80 * MS_OF_TRANSFER)], 90.0),
    "read faster than counted": ([(10.0, HELD_UP), (20.0, -5000 * MS_OF_TRANSFER)], 1000.0),
    "read to the end": ([(10.0, HELD_UP), (20.0, -1024), (30.0, 3)], 1000.0),
    "nothing had come meanwhile": ([(10.0, HELD_UP), (900.0, CAUGHT_UP)], 1000.0),
    "held up again": ([(10.0, HELD_UP), (20.0, CAUGHT_UP), (40.0, HELD_UP)], 40.0),
}


# Guards against: a client's time is counted from the node's reading, or from bytes that it had not written.
@pytest.mark.parametrize("name", CASES)
def test_time_of_writing(name: str) -> None:
    events, written_at = CASES[name]
    clock = ArrivalClock()
    for now, event in events:
        if event == HELD_UP:
            clock.on_held_up(now)
        elif event == CAUGHT_UP:
            clock.on_caught_up()
        elif isinstance(event, int):
            clock.on_read(now, abs(event), more_may_wait=event < 0)
    assert clock.written_at(1000.0) == pytest.approx(written_at)
