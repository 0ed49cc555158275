"""The adapter as a process: clean exits, clear errors, and Fatal when the decision module raises."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from flaxstep.routing import simulator_adapter
from flaxstep.routing.policy import Policy
from tests.test_simulator_wire import EVENTS

EMPTY_BATCH = bytes.fromhex("00000001 00000014 40c06e2000000000 00000000")


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "flaxstep.routing.simulator_adapter"],
        input=data,
        capture_output=True,
        check=False,
    )


def test_empty_batch_gets_an_empty_reply_and_the_adapter_exits_cleanly() -> None:
    process = run_adapter(EMPTY_BATCH)
    assert (process.returncode, process.stdout, process.stderr) == (
        0,
        bytes.fromhex("00000001 0000000c 00000000"),
        b"",
    )


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (EMPTY_BATCH[:7], b"header"),
        (EMPTY_BATCH[:7] + b"\x02" + EMPTY_BATCH[8:], b"shorter"),
        (EVENTS[:100], b"ends inside"),
        (EVENTS, b"instance 3 was never started"),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_error_line(data: bytes, message: bytes) -> None:
    process = run_adapter(data)
    assert process.returncode == 2
    assert process.stdout == b""
    assert message in process.stderr
    assert process.stderr.count(b"\n") == 1


def test_exception_in_the_decision_module_is_reported_as_fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    from tests.test_simulator_wire import SETTINGS, json, struct

    def broken(self: Policy, now: float, event: object) -> list[object]:
        raise KeyError("broken on purpose")

    monkeypatch.setattr(Policy, "handle", broken)
    text = json.dumps(SETTINGS).encode()
    started = b"\x01" + struct.pack(">QII", 9, 0, len(text)) + bytes(31)
    timer = b"\x07" + bytes(47)
    frame = struct.pack(">IIdI", 1, 164 + len(text), 1.0, 3) + EVENTS[20:68] + started + timer + text
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(frame), sink)
    reply = sink.getvalue()
    assert reply[12 + 24] == 12
    assert b"KeyError: 'broken on purpose'" in reply
