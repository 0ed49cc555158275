"""Encodes and decodes the simulator's wire protocol.

A frame consists of a header, records of fixed size and a tail of variable-length data to which records refer.
All numbers are big-endian.
"""

from __future__ import annotations

import json
import struct
from typing import Any

from flaxstep.routing.interface import (
    Action,
    Began,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    State,
    Subscribe,
    Timer,
    Wake,
    Withdrawn,
)

EVENT_SIZE_BYTES = 48
ACTION_SIZE_BYTES = 24
BATCH_HEADER = struct.Struct(">IIdI")
REPLY_HEADER = struct.Struct(">III")
ENTRY = struct.Struct(">IBHHBfd")

_SELECT = struct.Struct(">xH")
_INSTANCE_STARTED = struct.Struct(">xQII")
_LIST_ENTRIES = struct.Struct(">xIII")
_LIST = struct.Struct(">xBII")
_REQUEST = struct.Struct(">xQHIQddH")
_BEGAN = struct.Struct(">xQBId")
_OUTCOME = struct.Struct(">xQIBBBdB4f")
_WITHDRAWN = struct.Struct(">xQ")
_TIMER = struct.Struct(">xQ")
_PROBE_RESULT = struct.Struct(">xIBdB4f")
_PEER_MESSAGE = struct.Struct(">xIII")

_INSTANCE = struct.Struct(">BH21x")
_SEND = struct.Struct(">BQId3x")
_CANCEL = struct.Struct(">BQB14x")
_WAKE = struct.Struct(">BdQ7x")
_REFUSE = struct.Struct(">BQd7x")
_FAIL = struct.Struct(">BQ15x")
_SUBSCRIBE = struct.Struct(">BB22x")
_PROBE = struct.Struct(">BI19x")
_TEXT_ACTION = struct.Struct(">BII15x")

_STATES = {state.value: state for state in State}
_LIST_KINDS = {kind.value: kind for kind in ListKind}
_RESULTS = {result.value for result in Result}
_EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
_GROUPS = {group.value: group for group in Group}


class WireError(Exception):
    """A frame or the settings in it are malformed; the message says what is wrong and where."""


class InstanceStarted:
    """A node starts with a seed and settings of its own."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class InstanceStopped:
    """A node has stopped and loses its state."""

    __slots__ = ()


def read_settings(text: bytes) -> Settings:
    """Parse the settings object of an InstanceStarted event. Unknown keys are ignored."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    try:
        return _read_settings(raw)
    except KeyError as error:
        raise WireError(f"settings: {error} is missing or has an unknown value") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings: {error}") from None


def _read_class(raw: dict[str, Any]) -> RequestClass:
    effect = _EFFECTS[raw["Idempotency"]]
    # The group has no default for keyed requests: a wrong one would let a request run twice. Without a window
    # a keyed request is never repeated.
    group = _GROUPS[raw["Group"] if effect is Effect.KEYED else raw.get("Group", "all")]
    return RequestClass(
        aim=float(raw["Aim"]),
        deadline=float(raw["Deadline"]),
        worth=float(raw["Worth"]),
        effect=effect,
        group=group,
        window=float(raw.get("Window", 0.0)),
        late_value=float(raw.get("LateValue", 0.0)),
        in_order=bool(raw.get("SerialByKey", False)),
    )


def _read_settings(raw: dict[str, Any]) -> Settings:
    allowed, obligations = raw["Allowed"], raw["Obligations"]
    discovery = raw["Discovery"]
    if discovery not in ("push", "ask"):
        raise ValueError(f"Discovery can't be {discovery!r}")
    return Settings(
        classes=tuple(_read_class(cls) for cls in raw["Classes"]),
        zone=int(raw.get("MyZone", 0)),
        group_size=int(raw.get("GroupSize", 1)),
        me=int(raw.get("Me", 0)),
        quotas=tuple(float(tenant["QuotaPerS"]) for tenant in raw.get("Customers", ())),
        over_quota_worth=float(raw.get("OverShareWorth", 1.0)),
        warm_keys=bool(raw.get("Domain", {}).get("WarmKeys", False)),
        ask_for_list=discovery == "ask",
        ask_within=float(obligations.get("AskWithin", 10000.0)),
        tick=float(raw["Tick"]),
        may_cancel=bool(allowed.get("MayCancel", False)),
        max_attempts=int(allowed["MaxAttempts"]),
        max_retry_after=float(allowed["MaxRetryAfter"]) if allowed.get("RetryAfter") else 0.0,
        full_may_have_run=bool(obligations.get("ShedAfterStart", False)),
        key_rest=float(obligations.get("KeyRest", 0.0)),
        cold_from=float(obligations["ColdFrom"]),
        ramp_time=float(obligations["RampTime"]),
        tip_multiple=float(obligations.get("TipMultiple", 1.0)),
        tip_time=float(obligations.get("OverloadFor", 0.0)),
        drain_grace=float(obligations.get("DrainGrace", 0.0)),
    )


class Decoder:
    """Decodes batches. Keeps the numbered server lists, to which later batches may refer."""

    def __init__(self) -> None:
        self._lists: dict[int, list[ServerEntry]] = {}

    def decode_batch(
        self, frame: bytes
    ) -> tuple[int, float, list[tuple[int, Event | InstanceStarted | InstanceStopped]]]:
        """Return the batch number, the clock time, and the events, each with its instance."""
        if len(frame) < BATCH_HEADER.size:
            raise WireError(f"batch header: {len(frame)} bytes where {BATCH_HEADER.size} are needed")
        batch_number, length, now, count = BATCH_HEADER.unpack_from(frame)
        tail_start = BATCH_HEADER.size + count * EVENT_SIZE_BYTES
        if length != len(frame) or tail_start > length:
            raise WireError(f"batch {batch_number}: {count} records do not fit a frame of {length} bytes")
        events: list[tuple[int, Event | InstanceStarted | InstanceStopped]] = []
        instance = -1
        for offset in range(BATCH_HEADER.size, tail_start, EVENT_SIZE_BYTES):
            code = frame[offset]
            if code == 12:
                (instance,) = _SELECT.unpack_from(frame, offset)
                continue
            if code == 11:
                list_number, start, entries = _LIST_ENTRIES.unpack_from(frame, offset)
                data = self._read_tail(frame, tail_start, start, entries * ENTRY.size, batch_number, offset)
                self._lists[list_number] = [
                    self._decode_entry(row, batch_number) for row in ENTRY.iter_unpack(data)
                ]
                continue
            if instance < 0:
                raise WireError(f"batch {batch_number}, byte {offset}: event {code} before any Select")
            events.append((instance, self._decode_event(code, frame, offset, tail_start, batch_number)))
        return batch_number, now, events

    def _decode_event(
        self, code: int, frame: bytes, offset: int, tail_start: int, batch_number: int
    ) -> Event | InstanceStarted | InstanceStopped:
        if code == 3:
            request_id, cls, tenant, key, due, hint, flags = _REQUEST.unpack_from(frame, offset)
            return Request(request_id, cls, due, key, tenant, hint if flags & 1 else 0.0, bool(flags & 2))
        if code == 5:
            request_id, server, over, result, attempt, elapsed, report_length, *report = _OUTCOME.unpack_from(
                frame, offset
            )
            if result not in _RESULTS or report_length > 4:
                raise WireError(
                    f"batch {batch_number}, byte {offset}: "
                    f"unknown outcome {result} or report of {report_length}"
                )
            return Outcome(
                request_id,
                server,
                over != 0,
                result,
                attempt,
                elapsed,
                tuple(report[:report_length]) if report_length else (),
            )
        if code == 7:
            return Timer(_TIMER.unpack_from(frame, offset)[0])
        if code == 6:
            return Withdrawn(_WITHDRAWN.unpack_from(frame, offset)[0])
        if code == 8:
            server, result, elapsed, report_length, *report = _PROBE_RESULT.unpack_from(frame, offset)
            if result not in _RESULTS or report_length > 4:
                raise WireError(
                    f"batch {batch_number}, byte {offset}: "
                    f"unknown outcome {result} or report of {report_length}"
                )
            return ProbeResult(server, result, elapsed, tuple(report[:report_length]))
        if code == 2:
            kind, version, list_number = _LIST.unpack_from(frame, offset)
            if kind not in _LIST_KINDS:
                raise WireError(f"batch {batch_number}, byte {offset}: unknown list form {kind}")
            if kind == ListKind.FAILED:
                return ServerList(ListKind.FAILED, version, [])
            if list_number not in self._lists:
                raise WireError(f"batch {batch_number}, byte {offset}: list {list_number} was never given")
            return ServerList(_LIST_KINDS[kind], version, self._lists[list_number])
        if code == 1:
            seed, start, length = _INSTANCE_STARTED.unpack_from(frame, offset)
            text = self._read_tail(frame, tail_start, start, length, batch_number, offset)
            try:
                return InstanceStarted(seed, read_settings(text))
            except WireError as error:
                raise WireError(f"batch {batch_number}, byte {offset}: {error}") from None
        if code == 4:
            return Began(*_BEGAN.unpack_from(frame, offset))
        if code == 9:
            sender, start, length = _PEER_MESSAGE.unpack_from(frame, offset)
            return PeerMessage(
                sender, self._read_tail(frame, tail_start, start, length, batch_number, offset)
            )
        if code == 10:
            return InstanceStopped()
        raise WireError(f"batch {batch_number}, byte {offset}: unknown event code {code}")

    @staticmethod
    def _read_tail(
        frame: bytes, tail_start: int, start: int, length: int, batch_number: int, offset: int
    ) -> bytes:
        if tail_start + start + length > len(frame):
            raise WireError(
                f"batch {batch_number}, byte {offset}: tail reference {start}+{length} is out of range"
            )
        return frame[tail_start + start : tail_start + start + length]

    @staticmethod
    def _decode_entry(row: tuple[Any, ...], batch_number: int) -> ServerEntry:
        server, zone, kind, cell, state, size, started = row
        if state not in _STATES:
            raise WireError(f"batch {batch_number}: server {server} has unknown phase {state}")
        return ServerEntry(server, zone, kind, cell, _STATES[state], size, started)


class Encoder:
    """Collects the actions of one reply and encodes them."""

    def __init__(self, batch_number: int) -> None:
        self._batch_number = batch_number
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._instance = -1

    def add_actions(self, instance: int, actions: list[Action]) -> None:
        """Append the actions of an instance."""
        append = self._records.append
        if actions and instance != self._instance:
            append(_INSTANCE.pack(1, instance))
            self._instance = instance
        for action in actions:
            kind = type(action)
            if kind is Send:
                append(_SEND.pack(8, action.id, action.server, action.limit))  # type: ignore[union-attr]
            elif kind is Wake:
                append(_WAKE.pack(7, action.delay, action.token))  # type: ignore[union-attr]
            elif isinstance(action, Refuse):
                append(_REFUSE.pack(4, action.id, action.wait))
            elif isinstance(action, Fail):
                append(_FAIL.pack(6, action.id))
            elif isinstance(action, Cancel):
                append(_CANCEL.pack(3, action.id, action.attempt))
            elif isinstance(action, Probe):
                append(_PROBE.pack(11, action.server))
            elif isinstance(action, Subscribe):
                append(_SUBSCRIBE.pack(9, 1))
            elif isinstance(action, Log):
                self._add_text(10, action.text)
            else:
                raise TypeError(f"not an action: {action!r}")

    def add_fatal(self, instance: int, text: str) -> None:
        """Report that the decision code failed for an instance."""
        self._records.append(_INSTANCE.pack(1, instance))
        self._instance = instance
        self._add_text(12, text)

    def _add_text(self, code: int, text: str) -> None:
        data = text.encode()
        self._records.append(_TEXT_ACTION.pack(code, len(self._tail), len(data)))
        self._tail += data

    def to_frame(self) -> bytes:
        """Return the reply as a frame."""
        body = b"".join(self._records)
        length = REPLY_HEADER.size + len(body) + len(self._tail)
        return REPLY_HEADER.pack(self._batch_number, length, len(self._records)) + body + self._tail
